"""Outcomes of a load run and the report on them."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000
PERCENTILES = (50.0, 95.0, 99.0)


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    SERVED = "served"
    NOT_RUN = "refused as not run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete and said so"
    WRONG = "wrong or shortened"
    LOST = "no final answer"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request.

    Attributes
    ----------
    at_s
        Due time, in seconds after the start of the run.
    first_token_s
        Time from the due time to the first token, in seconds; 0 without a token.
        Measuring from the due time corrects for coordinated omission.
    gaps_s
        Times between the tokens, in seconds.
    """

    number: int
    at_s: float
    priority: int
    ending: Ending
    first_token_s: float = 0.0
    gaps_s: tuple[float, ...] = ()
    mark: str = ""
    code: int = 0


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Median, 95th and 99th percentile, in milliseconds."""

    p50_ms: float
    p95_ms: float
    p99_ms: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Totals of a load run.

    Attributes
    ----------
    doubled
        Number of marks that took effect more than once.
    lost_marks
        Number of marks that were answered with success but took no effect.
    false_not_run
        Number of marks that were only refused as not run, but took effect.
    """

    requests: int
    endings: dict[str, int]
    codes: dict[int, int]
    served_share: float
    first_token: dict[int, Quantiles]
    between_tokens: Quantiles
    doubled: int
    lost_marks: int
    false_not_run: int

    @property
    def guarantee_violations(self) -> int:
        """Number of violations of the guarantees on answers and on marks."""
        wrong = self.endings.get(Ending.WRONG, 0) + self.endings.get(Ending.LOST, 0)
        return wrong + self.doubled + self.lost_marks + self.false_not_run


def build_report(outcomes: Iterable[Outcome], effects: Counter[str]) -> LoadReport:
    """Summarize the outcomes.

    Parameters
    ----------
    effects
        How often each mark took effect.
    """
    outcomes = list(outcomes)
    endings = Counter(str(item.ending) for item in outcomes)
    first_tokens_s: dict[int, list[float]] = {}
    all_gaps_s: list[float] = []
    for item in outcomes:
        if item.ending is Ending.SERVED and not item.mark:
            first_tokens_s.setdefault(item.priority, []).append(item.first_token_s)
            all_gaps_s.extend(item.gaps_s)
    endings_by_mark: dict[str, set[Ending]] = {}
    for item in outcomes:
        if item.mark:
            endings_by_mark.setdefault(item.mark, set()).add(item.ending)
    return LoadReport(
        requests=len(outcomes),
        endings=dict(endings),
        codes=dict(Counter(item.code for item in outcomes if item.code)),
        served_share=endings[Ending.SERVED] / max(1, len(outcomes)),
        first_token={
            key: _compute_quantiles(values)
            for key, values in sorted(first_tokens_s.items())
        },
        between_tokens=_compute_quantiles(all_gaps_s),
        doubled=sum(count > 1 for count in effects.values()),
        lost_marks=sum(
            Ending.SERVED in mark_endings and not effects[mark]
            for mark, mark_endings in endings_by_mark.items()
        ),
        false_not_run=sum(
            mark_endings == {Ending.NOT_RUN} and effects[mark] > 0
            for mark, mark_endings in endings_by_mark.items()
        ),
    )


def _compute_quantiles(values_s: list[float]) -> Quantiles:
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in values_s:
        histogram.record_value(min(MAX_LATENCY_US, max(1, int(value * 1e6))))
    return Quantiles(
        *(
            round(histogram.get_value_at_percentile(item) / 1000, 2)
            for item in PERCENTILES
        )
    )


def render_report(report: LoadReport) -> str:
    """Return a report as a text table."""
    lines = [f"requests {report.requests}, served {report.served_share:.1%}"]
    lines += [f"  {name:24} {count}" for name, count in sorted(report.endings.items())]
    lines += [
        f"  code {code:19} {count}" for code, count in sorted(report.codes.items())
    ]
    lines.append("first token (ms)     p50      p95      p99")
    for priority, item in report.first_token.items():
        lines.append(f"  priority {priority}   {_render_quantiles(item)}")
    lines.append(f"between tokens {_render_quantiles(report.between_tokens)}")
    lines.append(
        f"doubled {report.doubled}, lost marks {report.lost_marks}, "
        f"false not-run {report.false_not_run}"
    )
    return "\n".join(lines)


def _render_quantiles(item: Quantiles) -> str:
    return f"{item.p50_ms:8.1f} {item.p95_ms:8.1f} {item.p99_ms:8.1f}"
