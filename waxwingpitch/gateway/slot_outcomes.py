"""What the owners in this process learn from how slots were used."""

from __future__ import annotations

import logging

from ..mesh.fleet_messages import SlotRelease
from ..slots import Outcome, SlotOwner
from ..targets.progress import ProgressBook

# Time after which a plain target that refused a connection is tried again.
REFUSING_TTL_S = 0.5

logger = logging.getLogger(__name__)


class SlotOutcomes:
    """Records progress and suspicions of targets by the outcomes of their slots."""

    def __init__(self, progress: ProgressBook):
        self._progress = progress
        self._new_suspicions: list[tuple[str, int]] = []

    def accepts(self, target: str, epoch: int, now: float) -> bool:
        """Return whether a target may get requests."""
        return not self._progress.is_suspected(target, epoch, now)

    def record(
        self, owner: SlotOwner, peer: str, message: SlotRelease, now: float
    ) -> None:
        """Learn from the release of a slot that an owner here granted."""
        match Outcome(message.outcome):
            case Outcome.SERVED:
                owner.record_times(
                    message.service_s,
                    message.first_s,
                    client=peer,
                    number=message.number,
                )
                self._progress.record_progress(message.target, message.epoch, now)
            case Outcome.UNREACHABLE if not message.epoch:
                self._pause_refusing(message.target, now)
            case Outcome.MISDIRECTED | Outcome.STALLED | Outcome.UNREACHABLE:
                self.suspect(message.target, message.epoch, now)

    def suspect(self, target: str, epoch: int, now: float) -> None:
        """Give a replica no new requests for a while, and tell the peers."""
        if self._progress.suspect(target, epoch, now):
            self._new_suspicions.append((target, epoch))
            logger.info("target suspected", extra={"target": target, "epoch": epoch})

    def take_new_suspicions(self) -> tuple[tuple[str, int], ...]:
        """Return the targets suspected since the last call, with their epochs."""
        suspicions, self._new_suspicions = tuple(self._new_suspicions), []
        return suspicions

    def _pause_refusing(self, target: str, now: float) -> None:
        """Give a plain target that refuses connections nothing for a moment.

        It answers faster than those that work, and would get most requests as the
        least loaded one. The other zones' owners find out by their own requests.
        """
        if self._progress.suspect(target, 0, now, is_local=True, ttl_s=REFUSING_TTL_S):
            logger.info("plain target refuses connections", extra={"target": target})
