"""Slots that are held, by entry host and by replica."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

# Age of a grant below which a client's report may have been sent before it arrived.
REPORT_DELAY_S = 0.6


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot that a client holds, since its grant or its first report.

    Attributes
    ----------
    tokens
        Tokens of the replica's memory that its request occupies; 0 if not told.
    """

    target: str
    since: float
    tokens: int = 0


class SlotLedger:
    """Slots held by each client, corrected by the clients' own reports.

    Examples
    --------
    >>> ledger = SlotLedger()
    >>> ledger.add("host", 1, "t", now=0.0)
    >>> ledger.count("t")
    1
    >>> ledger.reconcile("host", {2: "u"}, now=5.0)
    >>> ledger.count("t"), ledger.count("u")
    (0, 1)
    """

    def __init__(self):
        self._by_client: dict[str, dict[int, HeldSlot]] = defaultdict(dict)
        self._in_flight: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()
        self._untold: Counter[str] = Counter()

    def add(
        self, client: str, number: int, target: str, now: float, tokens: int = 0
    ) -> None:
        """Record that a client holds a slot."""
        self.remove(client, number)
        self._by_client[client][number] = HeldSlot(target, now, tokens)
        self._in_flight[target] += 1
        self._tokens[target] += tokens
        self._untold[target] += not tokens

    def remove(self, client: str, number: int) -> HeldSlot | None:
        """Record that a client released a slot; return it if it held one."""
        held = self._by_client[client].pop(number, None)
        if held is not None:
            self._in_flight[held.target] -= 1
            self._tokens[held.target] -= held.tokens
            self._untold[held.target] -= not held.tokens
            if not self._in_flight[held.target]:
                del self._in_flight[held.target]
                del self._tokens[held.target], self._untold[held.target]
        return held

    def reconcile(
        self,
        client: str,
        held: Mapping[int, str],
        now: float,
        *,
        tokens: Mapping[int, int] | None = None,
    ) -> None:
        """Adopt a client's report of the slots that it holds.

        A slot granted within ``REPORT_DELAY_S`` may be missing from the report.

        Parameters
        ----------
        tokens
            Tokens of the requests that tell them, by number.
        """
        known = self._by_client[client]
        for number, item in list(known.items()):
            if number not in held and now - item.since > REPORT_DELAY_S:
                self.remove(client, number)
        for number, target in held.items():
            if number not in known:
                self.add(client, number, target, now, (tokens or {}).get(number, 0))

    def drop_client(self, client: str) -> None:
        """Forget a client that is gone."""
        for number in list(self._by_client.get(client, ())):
            self.remove(client, number)
        self._by_client.pop(client, None)

    def find_target(self, client: str, number: int) -> str | None:
        """Return the replica whose slot a client holds under a number."""
        held = self._by_client.get(client, {}).get(number)
        return None if held is None else held.target

    def count(self, target: str) -> int:
        """Return the number of requests in flight at a replica."""
        return self._in_flight[target]

    def count_tokens(self, target: str) -> tuple[int, int]:
        """Return the tokens held at a replica, and the requests that don't tell any."""
        return self._tokens[target], self._untold[target]
