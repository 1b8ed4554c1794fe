"""OpenTelemetry metrics of the entry daemon, with a scrape endpoint."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


class EntryMetrics:
    """Instruments of one entry daemon."""

    def __init__(self):
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            views=[
                View(
                    instrument_name="waxwingpitch_*_seconds",
                    aggregation=ExplicitBucketHistogramAggregation(SECONDS_BUCKETS),
                )
            ],
        )
        self._meter = provider.get_meter("waxwingpitch")
        self.answers = self._meter.create_counter(
            "waxwingpitch_answers", description="Answers by service, code and ran"
        )
        self.tokens = self._meter.create_counter(
            "waxwingpitch_tokens", description="Tokens passed to callers"
        )
        self.retries = self._meter.create_counter(
            "waxwingpitch_retries", description="Attempts after the first"
        )
        self.first_token = self._meter.create_histogram(
            "waxwingpitch_first_token_seconds", description="Time to the first token"
        )
        self.queue_wait = self._meter.create_histogram(
            "waxwingpitch_queue_wait_seconds", description="Wait for a target"
        )

    def observe(
        self, name: str, description: str, read: Callable[[], Iterable[Observation]]
    ) -> None:
        """Add a gauge that is read at each scrape."""

        def _read(options: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_gauge(
            f"waxwingpitch_{name}", callbacks=[_read], description=description
        )

    def render(self) -> bytes:
        """Return all metrics in the text format that scrapers read."""
        return generate_latest(REGISTRY)
