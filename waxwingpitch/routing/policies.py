"""Routing policies and the router that applies them."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..configuration import RoutingPolicyName, Service
from ..membership import rank_by_rendezvous
from .common import Candidate, RoutingRequest
from .prefixes import PrefixIndex


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """A random target with free capacity."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each target in turn, ordered by id."""


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """The target with the fewest requests in flight from this entry host."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less utilised of two random targets."""


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """The target that has most of the prompt cached, unless it is overloaded.

    Attributes
    ----------
    slack
        Excess over the mean utilisation above which a target is not considered.
    min_blocks
        Fewest matching leading blocks for which affinity applies.
    """

    slack: float = 0.25
    min_blocks: int = 2


Policy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices | PrefixAffinity


def build_policy(service: Service) -> Policy:
    """Return the routing policy that a service configures."""
    match service.routing:
        case RoutingPolicyName.RANDOM:
            return RandomChoice()
        case RoutingPolicyName.ROUND_ROBIN:
            return RoundRobin()
        case RoutingPolicyName.LEAST_OUTSTANDING:
            return LeastOutstanding()
        case RoutingPolicyName.TWO_CHOICES:
            return TwoChoices()
        case RoutingPolicyName.PREFIX_AFFINITY:
            return PrefixAffinity()


class Router:
    """Chooses a target for each request.

    Parameters
    ----------
    prefixes
        Estimate of the contents of the targets' prefix caches.
    rng
        Source of random choices.
    """

    def __init__(self, prefixes: PrefixIndex, rng: random.Random):
        self._prefixes = prefixes
        self._rng = rng
        self._turn = 0

    def choose(
        self, policy: Policy, req: RoutingRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return one of the candidates; there must be at least one."""
        match policy:
            case RandomChoice():
                return self._rng.choice(candidates)
            case RoundRobin():
                self._turn += 1
                ordered = sorted(candidates, key=lambda item: item.target.id)
                return ordered[self._turn % len(ordered)]
            case LeastOutstanding():
                return min(candidates, key=self._by_outstanding)
            case TwoChoices():
                return self._choose_from_two(candidates)
            case PrefixAffinity():
                return self._choose_by_prefix(policy, req, candidates)

    def _by_outstanding(self, candidate: Candidate) -> tuple[int, float]:
        return candidate.outstanding, self._rng.random()

    def _choose_from_two(self, candidates: Sequence[Candidate]) -> Candidate:
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda item: item.utilisation)

    def _choose_by_prefix(
        self,
        policy: PrefixAffinity,
        req: RoutingRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        mean = sum(item.utilisation for item in candidates) / len(candidates)
        eligible = [
            item for item in candidates if item.utilisation <= mean + policy.slack
        ]
        matched = {
            item.target.id: self._prefixes.count_matching(item.target.id, req.blocks)
            for item in eligible
        }
        best = max(
            eligible, key=lambda item: (matched[item.target.id], -item.utilisation)
        )
        if matched[best.target.id] >= policy.min_blocks:
            return best
        if len(req.blocks) >= policy.min_blocks:
            return self._choose_by_hash(policy, req, eligible)
        return self._choose_from_two(candidates)

    def _choose_by_hash(
        self,
        policy: PrefixAffinity,
        req: RoutingRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Choose by hash, so that all entry hosts send a prefix to the same target."""
        by_id = {item.target.id: item for item in candidates}
        block = req.blocks[policy.min_blocks - 1]
        return by_id[rank_by_rendezvous(block, by_id)[0]]
