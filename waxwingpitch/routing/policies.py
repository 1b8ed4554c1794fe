"""Routing policies as data classes, chosen by ``match``."""

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
    """Any target with room."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each target in turn."""


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """The target with the fewest requests from this entry host."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less pressed of two random targets."""


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """The target that holds most of the prompt, unless it is pressed.

    Attributes
    ----------
    slack
        Pressure above the mean at which affinity is given up.
    min_blocks
        Fewest matching blocks that count as affinity.
    """

    slack: float = 0.25
    min_blocks: int = 2


Policy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices | PrefixAffinity


def build_policy(service: Service) -> Policy:
    """Return the policy that a service asks for."""
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
        Estimate of the targets' prefix caches.
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
        """Return one of the candidates, of which there is at least one."""
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
                return self._choose_of_two(candidates)
            case PrefixAffinity():
                return self._choose_by_prefix(policy, req, candidates)

    def _by_outstanding(self, candidate: Candidate) -> tuple[int, float]:
        return candidate.outstanding, self._rng.random()

    def _choose_of_two(self, candidates: Sequence[Candidate]) -> Candidate:
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda item: item.pressure)

    def _choose_by_prefix(
        self,
        policy: PrefixAffinity,
        req: RoutingRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        mean = sum(item.pressure for item in candidates) / len(candidates)
        relaxed = [item for item in candidates if item.pressure <= mean + policy.slack]
        matched = {
            item.target.id: self._prefixes.matched(item.target.id, req.blocks)
            for item in relaxed
        }
        best = max(relaxed, key=lambda item: (matched[item.target.id], -item.pressure))
        if matched[best.target.id] >= policy.min_blocks:
            return best
        if len(req.blocks) >= policy.min_blocks:
            return self._choose_home(policy, req, relaxed)
        return self._choose_of_two(candidates)

    def _choose_home(
        self,
        policy: PrefixAffinity,
        req: RoutingRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Choose by hash, so that all entry hosts send a new prefix to one target."""
        by_id = {item.target.id: item for item in candidates}
        head = req.blocks[policy.min_blocks - 1]
        return by_id[rank_by_rendezvous(head, by_id)[0]]
