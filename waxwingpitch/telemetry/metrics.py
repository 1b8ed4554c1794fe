"""OpenTelemetry metrics of the entry and gateway daemons, in Prometheus text format."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from ..memory import CallerAccount
from ..slots import Forwarded
from ..targets.liveness import Verdict

GAIN_BUCKETS = (0.3, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0)
SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


def _build_meter() -> Meter:
    """Return a meter whose instruments Prometheus can scrape."""
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()],
        views=[
            View(
                instrument_name="waxwingpitch_*_seconds",
                aggregation=ExplicitBucketHistogramAggregation(SECONDS_BUCKETS),
            )
        ],
    )
    return provider.get_meter("waxwingpitch")


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)


class GatewayMetrics:
    """Instruments of one gateway, by route, target and outcome."""

    def __init__(self):
        self._meter = meter = _build_meter()
        self._requests = meter.create_counter(
            "waxwingpitch_requests", description="Requests by route and outcome"
        )
        self._attempts = meter.create_counter(
            "waxwingpitch_attempts", description="Sends by target and outcome"
        )
        self._answer_s = meter.create_histogram(
            "waxwingpitch_answer_seconds", description="Time to the whole answer"
        )
        self._first_event_s = meter.create_histogram(
            "waxwingpitch_first_event_seconds", description="Time to the first event"
        )
        self._configuration_wait_s = meter.create_histogram(
            "waxwingpitch_configuration_wait_seconds",
            description="Wait for the first configuration after a start",
        )
        self._slot_wait_s = meter.create_histogram(
            "waxwingpitch_slot_wait_seconds", description="Wait for a replica's slot"
        )
        self._passed_on = meter.create_counter(
            "waxwingpitch_requests_passed_on",
            description="Requests passed on to another zone, by zone and reason",
        )
        self._passed_on_gain = meter.create_histogram(
            "waxwingpitch_passed_on_gain",
            description="Expected gain of requests that left a zone with replicas",
            explicit_bucket_boundaries_advisory=GAIN_BUCKETS,
        )
        self._taken_back = meter.create_counter(
            "waxwingpitch_requests_taken_back",
            description="Requests that another zone declined or did not answer",
        )
        self._orders = meter.create_counter(
            "waxwingpitch_orders", description="Orders to targets by kind and status"
        )

        self._verdicts = meter.create_counter(
            "waxwingpitch_target_verdicts",
            description="Changed judgements of targets without an entry, by state",
        )
        self._store_restored = meter.create_counter(
            "waxwingpitch_store_restored",
            description="Times that the store came back from an older copy",
        )
        self._leaving_answers = meter.create_counter(
            "waxwingpitch_leaving_answers",
            description="Targets whose answer said that they leave",
        )
        self._pauses = meter.create_counter(
            "waxwingpitch_target_pauses",
            description="Times that a target asked for a pause, by target",
        )
        self._rate_limits = meter.create_counter(
            "waxwingpitch_target_rate_limits",
            description="Changes of the rates that targets state, by target",
        )
        self._store_calls = meter.create_counter(
            "waxwingpitch_store_calls", description="Calls to the store by kind"
        )
        self._oversized = meter.create_counter(
            "waxwingpitch_oversized_answers",
            description="Answers of targets that were over a limit",
        )

    def observe_memory(
        self, measure: Callable[[], Mapping[str, int]], callers: CallerAccount
    ) -> None:
        """Read what is held for callers at each scrape.

        Parameters
        ----------
        measure
            Returns the bytes that are held, by kind.
        """

        def _read_bytes(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(size, {"kind": kind}) for kind, size in measure().items()
            ]

        def _read_connections(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(callers.connections)]

        def _read_rejections(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(count, {"reason": reason.value})
                for reason, count in callers.rejections.items()
            ]

        self._meter.create_observable_gauge(
            "waxwingpitch_held_bytes",
            callbacks=[_read_bytes],
            description="Memory that is held for callers, by kind",
        )
        self._meter.create_observable_gauge(
            "waxwingpitch_caller_connections",
            callbacks=[_read_connections],
            description="Open connections of callers",
        )
        self._meter.create_observable_counter(
            "waxwingpitch_caller_rejections",
            callbacks=[_read_rejections],
            description="Requests and connections that were rejected, by reason",
        )

    def count_verdict(self, verdict: Verdict) -> None:
        """Count a changed judgement of a target whose entry is missing."""
        self._verdicts.add(1, {"state": verdict.state.value})

    def count_store_restored(self) -> None:
        """Count that the store came back from an older copy."""
        self._store_restored.add(1)

    def count_store_call(self, kind: str) -> None:
        """Count a call to the store."""
        self._store_calls.add(1, {"kind": kind})

    def count_leaving_answer(self) -> None:
        """Count that a target said in an answer that it leaves."""
        self._leaving_answers.add(1)

    def count_pause(self, target: str) -> None:
        """Count that a target asked for a pause."""
        self._pauses.add(1, {"target": target})

    def count_rate_limit(self, target: str) -> None:
        """Count that a target stated another limit of requests a second, or none."""
        self._rate_limits.add(1, {"target": target})

    def count_oversized_answer(self) -> None:
        """Count an answer that was over a limit."""
        self._oversized.add(1)

    def count_request(self, route: str, outcome: str, took_s: float) -> None:
        """Count a request that has ended, and record its duration."""
        labels = {"route": route, "outcome": outcome}
        self._requests.add(1, labels)
        self._answer_s.record(took_s, labels)

    def count_attempt(self, target: str, outcome: str) -> None:
        """Count one attempt at a target."""
        self._attempts.add(1, {"target": target, "outcome": outcome})

    def record_first_event(self, route: str, took_s: float) -> None:
        """Record the time to a stream's first event."""
        self._first_event_s.record(took_s, {"route": route})

    def record_configuration_wait(self, took_s: float) -> None:
        """Record the time that a request waited for the first configuration."""
        self._configuration_wait_s.record(took_s)

    def record_slot_wait(self, service: str, took_s: float) -> None:
        """Record the time that a request waited for a slot."""
        self._slot_wait_s.record(took_s, {"service": service})

    def count_passed_on(self, decision: Forwarded) -> None:
        """Count a request that is passed on to another zone, and its expected gain."""
        labels = {"zone": decision.zone, "reason": decision.reason}
        self._passed_on.add(1, labels)
        if math.isfinite(decision.gain):
            self._passed_on_gain.record(decision.gain, labels)

    def count_taken_back(self, zone: str) -> None:
        """Count a request that another zone declined or did not answer."""
        self._taken_back.add(1, {"zone": zone})

    def count_order(self, kind: str, status: int) -> None:
        """Count an order to a target."""
        self._orders.add(1, {"order": kind, "status": str(status)})


class EntryMetrics:
    """Instruments of one entry daemon."""

    def __init__(self):
        self._meter = _build_meter()
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

    def add_gauge(
        self, name: str, description: str, read: Callable[[], Iterable[Observation]]
    ) -> None:
        """Add a gauge whose value is read at each scrape."""

        def _read(options: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_gauge(
            f"waxwingpitch_{name}", callbacks=[_read], description=description
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render_metrics()
