"""Load profiles, in JSON with comments."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from ..errors import SettingsError
from ..jsonc import read_file


class Arrival(enum.StrEnum):
    """Distribution of the times between requests."""

    POISSON = "poisson"
    EVEN = "even"


@dataclass(frozen=True, slots=True)
class LoadWorkspace:
    """A workspace that sends a share of the load.

    Attributes
    ----------
    weight
        Share of all requests, relative to the weights of the other workspaces.
    priority
        Priority of the workspace in the configuration; only groups the report.
    """

    name: str
    token: str
    weight: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """Load to generate.

    Attributes
    ----------
    rate
        Requests per second.
    duration_s
        Time for which requests are sent, in seconds.
    marks
        Share of the requests that are non-idempotent calls (attendance marks).
    repeats
        Share of those calls that are sent as two concurrent copies with the same
        idempotency key, as by a caller that retries too early.
    prefixes
        Number of shared prompt prefixes.
    prefix_words, prompt_words, answer_tokens
        Lengths in words and tokens; the last two are means of an exponential
        distribution.
    timeout_s
        Time that a caller waits for a complete answer, in seconds.
    """

    rate: float
    duration_s: float
    workspaces: tuple[LoadWorkspace, ...]
    model: str
    service: str
    arrival: Arrival = Arrival.POISSON
    marks: float = 0.1
    repeats: float = 0.2
    prefixes: int = 16
    prefix_words: int = 60
    prompt_words: int = 20
    answer_tokens: int = 40
    timeout_s: float = 30.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to send.

    Attributes
    ----------
    at_s
        Due time, in seconds after the start of the run.
    mark
        Name of the attendance mark; empty for a model request.
    copies
        Number of copies sent concurrently with the same idempotency key.
    """

    number: int
    at_s: float
    workspace: LoadWorkspace
    prompt: str = ""
    max_tokens: int = 0
    mark: str = ""
    copies: int = 1


def read_profile(path: str | Path) -> LoadProfile:
    """Read and check a profile.

    Raises
    ------
    SettingsError
        A value is invalid; the message names the key and the valid values.
    """
    profile = read_file(path, LoadProfile)
    for key in ("rate", "duration_s", "timeout_s"):
        if getattr(profile, key) <= 0:
            raise SettingsError(f"{path}: key '{key}': must be above 0")
    for key in ("marks", "repeats"):
        if not 0 <= getattr(profile, key) <= 1:
            raise SettingsError(f"{path}: key '{key}': valid: 0 to 1")
    if not profile.workspaces:
        raise SettingsError(f"{path}: key 'workspaces': valid: 1 or more")
    return profile


def plan_requests(profile: LoadProfile) -> Iterator[PlannedRequest]:
    """Yield all requests of a profile; the same seed gives the same requests."""
    rng = random.Random(profile.seed)
    weights = [workspace.weight for workspace in profile.workspaces]
    at_s, number = 0.0, 0
    while True:
        at_s += _draw_gap_s(profile, rng)
        if at_s >= profile.duration_s:
            return
        workspace = rng.choices(profile.workspaces, weights)[0]
        if rng.random() < profile.marks:
            copies = 2 if rng.random() < profile.repeats else 1
            mark = f"mark-{profile.seed}-{number}"
            yield PlannedRequest(number, at_s, workspace, mark=mark, copies=copies)
        else:
            yield _plan_model_request(profile, rng, number, at_s, workspace)
        number += 1


def _draw_gap_s(profile: LoadProfile, rng: random.Random) -> float:
    match profile.arrival:
        case Arrival.POISSON:
            return rng.expovariate(profile.rate)
        case Arrival.EVEN:
            return 1.0 / profile.rate


def _plan_model_request(
    profile: LoadProfile,
    rng: random.Random,
    number: int,
    at_s: float,
    workspace: LoadWorkspace,
) -> PlannedRequest:
    prefix = rng.randrange(profile.prefixes)
    words = 1 + int(rng.expovariate(1.0 / profile.prompt_words))
    tokens = 1 + int(rng.expovariate(1.0 / profile.answer_tokens))
    head = f"somo-{prefix} " * profile.prefix_words
    prompt = f"{head}swali-{number} " + "neno " * words
    return PlannedRequest(number, at_s, workspace, prompt, tokens)
