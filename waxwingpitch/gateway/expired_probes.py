"""Probes of the targets whose entries were deleted."""

from __future__ import annotations

import logging
import math
import time
from collections import Counter

import gevent
from gevent.lock import BoundedSemaphore

from ..forwarding import (
    ConnectionPool,
    TargetBrokenError,
    TargetTimeoutError,
    UnreachableError,
)
from ..targets.liveness import REACHED_TTL_S, EvidenceKind
from .beliefs import GatewayView
from .probing import AnotherTargetError, fetch_report
from .replicas import KnownTarget

# Time between two probes of a target. It grows with the number of targets, to bound the
# processor time, up to half the age at which an answer no longer counts.
PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = REACHED_TTL_S / 2
PROBES_PER_S = 100.0
# Longest time between two probes of a target that does not answer. It doubles with each
# failure, so that targets of a zone without power are not probed twice a second.
MAX_RETRY_INTERVAL_S = 4.0
# Targets that are probed at the same time; see ``probing.MAX_CONCURRENT_CONTACTS``.
MAX_CONCURRENT_PROBES = 8

logger = logging.getLogger(__name__)


class ExpiredProbes:
    """Finds out which targets without an entry still answer, itself or by peers."""

    def __init__(self, pool: ConnectionPool, view: GatewayView):
        self._pool = pool
        self._view = view
        self._probed_at: dict[str, float] = {}
        self._failures: Counter[str] = Counter()
        self._in_progress: set[str] = set()
        self._contacts = BoundedSemaphore(MAX_CONCURRENT_PROBES)

    def tick(self, now: float) -> None:
        """Start the probes that are due, and judge the targets by what is known."""
        self._view.judge_expired()
        due = {known.record.id: known for known in self._view.expired.list_probed()}
        for target in self._probed_at.keys() - due.keys():
            del self._probed_at[target]
            del self._failures[target]
        interval_s = find_probe_interval_s(len(due))
        for target, known in due.items():
            is_due = now - self._probed_at.get(target, -math.inf) >= min(
                MAX_RETRY_INTERVAL_S, interval_s * 2 ** self._failures[target]
            )
            if is_due and target not in self._in_progress:
                self._probed_at[target] = now
                self._in_progress.add(target)
                gevent.spawn(self._probe, known)

    def _probe(self, known: KnownTarget) -> None:
        target, address = known.record.id, known.record.address
        expired = self._view.expired
        try:
            with self._contacts:
                report = fetch_report(
                    self._pool,
                    target,
                    address,
                    on_leaving=lambda: self._view.mark_leaving(target),
                )
        except AnotherTargetError:
            expired.record_failure(target, EvidenceKind.REPLACED, time.monotonic())
        except TargetTimeoutError:
            self._failures[target] += 1
            expired.record_failure(target, EvidenceKind.SILENT, time.monotonic())
        except (UnreachableError, TargetBrokenError):
            self._failures[target] += 1
            expired.record_failure(target, EvidenceKind.UNREACHED, time.monotonic())
        except ValueError as exc:
            logger.info(
                "report of a target without an entry can't be decoded",
                extra={"target": target, "reason": str(exc)},
            )
        else:
            self._failures[target] = 0
            self._view.record_answer(target, report)
        finally:
            self._in_progress.discard(target)


def find_probe_interval_s(count: int) -> float:
    """Return the time between two probes of each of a number of targets.

    Examples
    --------
    >>> [find_probe_interval_s(count) for count in (12, 80, 400)]
    [0.5, 0.8, 1.0]
    """
    interval_s = max(PROBE_INTERVAL_S, count / PROBES_PER_S)
    return min(MAX_PROBE_INTERVAL_S, interval_s)
