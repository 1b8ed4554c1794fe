"""A small deployment before model workers, some of whose requests crash them."""

from __future__ import annotations

import itertools
import random
import time
from pathlib import Path

import gevent

from waxwingpitch.tests import platform_standin
from waxwingpitch.tests.platform_standin import PlatformFake

from .stage import CannotRunError, Stage, call

# Bound of the settings (contact_ms), in seconds.
CONTACT_S = 3.0
MODELS = ("quad", "pair")
GROUPS_S = 30.0
# Time after which a crashed worker is back; the pages say some seconds.
RESTART_S = 3.0
# Requests with the part that may arrive after the time in the rule.
ALLOWED_LATE = 3


class CrashStage(Stage):
    """Three machines before 40 model workers that crash on one part of prompts."""

    bad_part = "bad0"

    def __init__(self, folder: Path):
        platform_standin.RESTART_S = RESTART_S
        self.platform = PlatformFake(size=40)
        self.platform.configure()
        self.platform.crashing_parts = {self.bad_part}
        super().__init__(folder, self.platform.store)
        self._numbers = itertools.count(1)
        self._random = random.Random(1)
        self.answers: dict[tuple[bool, int], int] = {}
        self.stopping = False

    def await_groups(self) -> None:
        """Wait until a group of each model is open."""
        deadline = time.monotonic() + GROUPS_S
        for model in MODELS:
            while not self._has_group(model):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"no group of {model}")
                gevent.sleep(0.1)

    def _has_group(self, model: str) -> bool:
        try:
            self.platform.find_group(model)
        except AssertionError:
            return False
        return True

    def send(self, shared: list[str], *, is_bad: bool) -> None:
        """Send a request; no two have the same body or the same last part.

        Parameters
        ----------
        shared
            Parts of its prompt before the last one.
        """
        number = next(self._numbers)
        name = f"{'bad' if is_bad else 'sound'}-{number}"
        parts = [*shared, f"e{number:x}"]
        headers = {
            "Model": self._random.choice(MODELS),
            "Token-Counts": "100,50",
            "Prompt-Prefix": ",".join(f"{part}:5" for part in parts),
        }
        status, _, _ = call(
            self,
            self._random.choice(self.gateways),
            "/chat/x",
            name,
            headers=headers,
            body=name.encode() * 20,
        )
        self.answers[is_bad, status] = self.answers.get((is_bad, status), 0) + 1

    def keep_sending(self, shared: list[str], *, is_bad: bool, per_s: float) -> None:
        """Send requests at a rate until the stage stops."""
        while not self.stopping:
            gevent.spawn(self.send, shared, is_bad=is_bad)
            gevent.sleep(1 / per_s)

    def list_late(self, in_touch_from: float = 0.0) -> list[str]:
        """Return the requests with the part that arrived too late to be sent.

        Parameters
        ----------
        in_touch_from
            Monotonic time before which no machine is in touch.
        """
        crashes = sorted(self.platform.crashed_at)
        began_at = crashes[0] if crashes else 0.0
        for at in crashes:
            self.record.write(f"worker crashed {at - began_at:.2f} s after the first")
        for at, request in self.platform.sends:
            if request.startswith("bad"):
                self.record.write(
                    f"{request} reached a worker {at - began_at:.2f} s after it"
                )
        if len(crashes) < 5:
            return []
        since = max(crashes[4] + CONTACT_S, in_touch_from)
        self.record.write(f"counted from {since - began_at:.2f} s after it")
        return [
            request
            for at, request in self.platform.sends
            if request.startswith("bad") and at > since
        ]

    def tell(self, late: list[str]) -> bool:
        """Print and record the result; return whether the rule was broken."""
        text = (
            f"{len(self.platform.crashed_at)} crashes; {len(late)} requests with the "
            f"part arrived later than allowed ({ALLOWED_LATE} may); answers: "
            f"{self.answers}"
        )
        print(text)
        self.record.write(text)
        return len(late) > ALLOWED_LATE
