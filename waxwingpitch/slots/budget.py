"""Retry budget of one owner of slots, a part of the budget of a service.

A service has one owner of slots for each zone and model. Each holds a part of the slack
and lends of it to the others, so that what all of them spend never adds up to more than
the whole, however late or rarely they hear of each other. An owner that stops hands
over what it has spent. One that takes over without that, as its predecessor is lost,
spends no slack until all that may have been spent or lent is out of the window.

For each window: retries <= ratio x first attempts + slack, over all owners.
"""

from __future__ import annotations

import enum
import math
from collections import Counter, deque
from dataclasses import dataclass

BUCKETS = 20
# Time for which a retry that another owner lent may be used.
LOAN_TTL_S = 1.0
# Time from the grant of a retry's slot until the retry reaches its target. Slack stays
# used for so much longer, as late and early ones of two windows may arrive in one.
ARRIVAL_S = 0.05
# Share of the slack that bounds the retries earned by first attempts and not used yet.
EARNED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """First attempts and retries within the window."""

    requests: int = 0
    retries: int = 0


@dataclass(frozen=True, slots=True)
class RetryPayments:
    """Retries used since the owner was created, by what they were paid from.

    Attributes
    ----------
    before
        Used at an owner that had handed the key over, and counted by the next one.
    returned
        Given back after they were used, as the slot was not.
    """

    earned: int = 0
    slack: int = 0
    loan: int = 0
    before: int = 0
    returned: int = 0


class RetrySource(enum.Enum):
    """What a retry is paid from."""

    EARNED = "earned"
    SLACK = "slack"
    LOAN = "loan"


@dataclass(frozen=True, slots=True)
class RetryPermit:
    """A retry that is reserved until its slot is granted, and used from then on.

    Attributes
    ----------
    number
        Number among the permits of its budget.
    era
        Number of the take-over of the budget before which it was given.
    expires_at
        Monotonic time by which it must be used.
    """

    number: int
    source: RetrySource
    era: int
    expires_at: float = math.inf


@dataclass(frozen=True, slots=True)
class RetryState:
    """What an owner hands over to the next one, which then decides in its place.

    Attributes
    ----------
    earned
        Retries earned and not used.
    used_ages_s
        Ages of the retries that were paid from the slack, in seconds; negative for
        those that were lent or reserved and are used at the latest then.
    slack_after_s
        Time after which slack may be spent, in seconds.
    """

    earned: float
    used_ages_s: tuple[float, ...]
    slack_after_s: float


class _Bucket:
    """Counts of a part of the window."""

    def __init__(self, start: float):
        self.start = start
        self.requests = 0
        self.retries = 0


class SharedRetryBudget:
    """Limits retries to a share of the requests of all owners, and some besides.

    Parameters
    ----------
    ratio
        Retries allowed for each first attempt.
    slack
        Retries that are allowed in a window besides, for all owners together.
    window_s
        Length of the window.
    owners
        Number of owners that share the budget.

    Attributes
    ----------
    share
        Share of this owner's part that it uses, from 0 to 1.

    Examples
    --------
    >>> budget = SharedRetryBudget(ratio=0.0, slack=2.0, window_s=10.0, owners=1)
    >>> [budget.spend(0.0) for _ in range(3)]
    [True, True, False]
    >>> budget.spend(11.0)
    True
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float, owners: int):
        self._ratio = ratio
        self._window_s = window_s
        self._buckets: deque[_Bucket] = deque()
        self._numbers = 0
        self._era = 0
        self._slack_from = -math.inf
        self._earned = 0.0
        self._reserved: dict[int, RetrySource] = {}
        # Times at which slack was used, or a loan of it is used at the latest.
        self._slack_used: dict[int, float] = {}
        self._loans: list[float] = []
        self._lent_earned: list[float] = []
        # Permits given before the key was handed over, and until when they hold.
        self._old_permits: dict[int, float] = {}
        self._inherited: tuple[float, RetryState] | None = None
        self.share = 1.0
        self._paid: Counter[str] = Counter()
        self.set_part(slack / max(1, owners))

    def set_part(self, slack: float) -> None:
        """Set this owner's part of the slack."""
        earned_share = EARNED_SHARE if self._ratio else 0.0
        self._max_earned = slack * earned_share
        self._max_slack = slack - self._max_earned

    def take_over(self, now: float, *, has_predecessor: bool = True) -> None:
        """Begin to decide for all requests of the key.

        Parameters
        ----------
        has_predecessor
            Whether another process may have decided within the window.
        """
        self.hand_over(now)
        self._slack_from = now
        if has_predecessor:
            self._slack_from += self._window_s + LOAN_TTL_S
        if self._inherited is not None:
            at, state = self._inherited
            self._inherited = None
            if now - at < LOAN_TTL_S:
                self.adopt(state, now)

    def hand_over(self, now: float) -> RetryState:
        """Decide from now on for requests only that reach this owner by mistake.

        Returns what the next owner needs to go on, which has to be given to one only.
        """
        until = now + LOAN_TTL_S
        self._measure_slack(now)
        state = RetryState(
            self._earned,
            (
                *(now - at for at in self._slack_used.values()),
                *(-LOAN_TTL_S for _ in (*self._reserved, *self._lent_earned)),
            ),
            max(0.0, self._slack_from - now),
        )
        self._old_permits = dict.fromkeys(self._reserved, until)
        self._era += 1
        self._earned = 0.0
        self._reserved.clear()
        self._loans.clear()
        self._lent_earned.clear()
        self._slack_from = math.inf
        return state

    def adopt(self, state: RetryState, now: float) -> None:
        """Go on from what the last owner handed over."""
        if self._slack_from == math.inf:
            self._inherited = now, state
            return
        for age_s in state.used_ages_s:
            self._numbers += 1
            self._slack_used[self._numbers] = now - age_s
        self._add_earned(state.earned)
        self._slack_from = min(self._slack_from, now + state.slack_after_s)

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._find_bucket(now).requests += 1
        if self._lent_earned:
            self._lent_earned = [until for until in self._lent_earned if until > now]
        self._add_earned(self._ratio)

    def reserve(self, now: float) -> RetryPermit | None:
        """Take one retry for a request that asks for a slot; None if none is left."""
        self._loans = [until for until in self._loans if until > now]
        expires_at = math.inf
        if self._loans:
            source, expires_at = RetrySource.LOAN, self._loans.pop(0)
        elif self._earned >= 1.0:
            source = RetrySource.EARNED
            self._earned -= 1.0
        elif self._measure_slack(now) >= 1.0:
            source = RetrySource.SLACK
        else:
            return None
        self._numbers += 1
        self._reserved[self._numbers] = source
        return RetryPermit(self._numbers, source, self._era, expires_at)

    def use(self, permit: RetryPermit, now: float) -> bool:
        """Count a reserved retry, whose slot is granted; return False if it is void."""
        if permit.era != self._era:
            is_valid = now < self._old_permits.pop(permit.number, -math.inf)
            self._paid["before"] += is_valid
            return is_valid
        if self._reserved.pop(permit.number, None) is None:
            return True
        if permit.expires_at <= now:
            return False
        if permit.source is RetrySource.SLACK:
            self._slack_used[permit.number] = now
        self._find_bucket(now).retries += 1
        self._paid[permit.source.value] += 1
        return True

    def cancel(self, permit: RetryPermit) -> None:
        """Return a retry whose request got no slot, or did not use it."""
        if permit.era != self._era:
            return
        was_reserved = self._reserved.pop(permit.number, None) is not None
        self._paid["returned"] += not was_reserved
        self._slack_used.pop(permit.number, None)
        match permit.source:
            case RetrySource.EARNED:
                self._add_earned(1.0)
            case RetrySource.LOAN:
                self._loans.append(permit.expires_at)

    def spend(self, now: float) -> bool:
        """Take and use one retry; return False if none is left."""
        permit = self.reserve(now)
        return permit is not None and self.use(permit, now)

    def has_left(self, now: float) -> bool:
        """Return whether a retry is left."""
        has_loan = any(until > now for until in self._loans)
        return has_loan or self._earned >= 1.0 or self._measure_slack(now) >= 1.0

    def count_wanted(self, now: float) -> int:
        """Return the retries to borrow of each other owner, 0 if enough are left."""
        part = (self._max_slack + self._max_earned) * self.share
        loans = sum(until > now for until in self._loans)
        left = loans + self._earned + max(0.0, self._measure_slack(now))
        return math.ceil(part / 2) if left < part / 2 else 0

    def lend(self, wanted: int, now: float) -> int:
        """Give retries to another owner, at most half of what is left here.

        They count here until they are out of the window, used or not.
        """
        left = max(0, math.floor(self._measure_slack(now)))
        lent = min(wanted, math.ceil(left / 2))
        for _ in range(lent):
            self._numbers += 1
            self._slack_used[self._numbers] = now + LOAN_TTL_S
        lent_earned = min(wanted - lent, math.floor(self._earned / 2))
        self._earned -= lent_earned
        self._lent_earned = [until for until in self._lent_earned if until > now]
        self._lent_earned += [now + LOAN_TTL_S] * lent_earned
        return lent + lent_earned

    def borrow(self, lent: int, asked_at: float) -> None:
        """Take retries that another owner lent since a monotonic time."""
        self._loans.extend([asked_at + LOAN_TTL_S] * lent)

    @property
    def payments(self) -> RetryPayments:
        """What the retries were paid from."""
        return RetryPayments(**self._paid)

    def count(self, now: float) -> RetryCounts:
        """Return this owner's counts."""
        self._drop_old(now)
        return RetryCounts(
            sum(bucket.requests for bucket in self._buckets),
            sum(bucket.retries for bucket in self._buckets),
        )

    def _add_earned(self, retries: float) -> None:
        taken = self._count_reserved(RetrySource.EARNED) + len(self._lent_earned)
        limit = self._max_earned * self.share - taken
        self._earned = max(0.0, min(self._earned + retries, limit))

    def _count_reserved(self, source: RetrySource) -> int:
        return sum(item is source for item in self._reserved.values())

    def _measure_slack(self, now: float) -> float:
        """Return the slack that is left."""
        if now < self._slack_from:
            return 0.0
        oldest = now - self._window_s - ARRIVAL_S
        for number, at in list(self._slack_used.items()):
            if at < oldest:
                del self._slack_used[number]
        taken = len(self._slack_used) + self._count_reserved(RetrySource.SLACK)
        return self._max_slack * self.share - taken

    def _find_bucket(self, now: float) -> _Bucket:
        self._drop_old(now)
        if (
            not self._buckets
            or now - self._buckets[-1].start > self._window_s / BUCKETS
        ):
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s * (1.0 + 1.0 / BUCKETS)
        while self._buckets and self._buckets[0].start < oldest:
            self._buckets.popleft()
