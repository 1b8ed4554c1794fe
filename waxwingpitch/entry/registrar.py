"""Registrar task: keeps this process in its zone's member list.

Each process writes a record under a lease. The member of the zone that ranks first
removes the members whose record has been missing for a grace period and prunes prior
lists that no member can still use.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from ..errors import StoreConflictError, StoreError
from ..membership import MemberList, decode_members, encode_members, rank_by_rendezvous
from ..membership.members import members_key
from ..ports import KeyValueStore
from ..task import PeriodicTask
from .coordination import Coordination
from .view import EntryView

LEASE_TTL_S = 15.0
TICK_S = 2.0
RENEW_EVERY_TICKS = 2
# Time for which a member's record must be missing before the member is removed.
ABSENT_GRACE_S = 10.0
# Compare-and-swap attempts at a change of the member list.
JOIN_ATTEMPTS = 50
LEAVE_ATTEMPTS = 5

logger = logging.getLogger(__name__)

Change = Callable[[MemberList], MemberList]


class Registrar(PeriodicTask):
    """Renews this process's lease and changes the member list.

    Attributes
    ----------
    lease
        Id of the lease in the key-value service, or None.
    lease_until
        Monotonic time until which the lease is known to be valid.
    """

    interval_s = TICK_S

    def __init__(
        self, view: EntryView, store: KeyValueStore, coordination: Coordination
    ):
        super().__init__()
        self.lease: str | None = None
        self.lease_until = 0.0
        self._view = view
        self._store = store
        self._coordination = coordination
        self._absent_since: dict[str, float] = {}
        self._ticks = 0

    def tick(self) -> None:
        """Renew the lease, then join the list or, as its maintainer, clean it up."""
        self._ticks += 1
        try:
            self._keep_lease()
            if self._view.me not in self._view.own_list.members:
                self._change_list(lambda members: members.join(self._view.me))
            elif self._is_list_maintainer():
                self._clean_list()
        except StoreError as exc:
            logger.debug(
                "could not renew the lease or change the list: %s", exc.message
            )

    def leave(self) -> None:
        """Record in the list that this process has stopped; best effort."""
        try:
            self._change_list(
                lambda members: members.leave(self._view.me), LEAVE_ATTEMPTS
            )
            entry = self._store.get(self._record_key)
            if entry is not None:
                self._store.delete(self._record_key, expect=entry.version)
        except StoreError as exc:
            logger.warning(
                "could not leave the member list", extra={"why": exc.message}
            )

    @property
    def _record_key(self) -> str:
        return f"alive/{self._view.me.zone}/{self._view.me.id}"

    def _keep_lease(self) -> None:
        if self.lease is None:
            self._register()
        elif self._ticks % RENEW_EVERY_TICKS == 0:
            sent_at = time.monotonic()
            if self._store.renew_lease(self.lease):
                self.lease_until = sent_at + LEASE_TTL_S
            else:
                self.lease = None
                self._register()

    def _register(self) -> None:
        sent_at = time.monotonic()
        lease = self._store.grant_lease(LEASE_TTL_S)
        entry = self._store.get(self._record_key)
        expect = entry.version if entry else 0
        value = self._view.me.incarnation.encode()
        self._store.put(self._record_key, value, expect=expect, lease=lease)
        self.lease, self.lease_until = lease, sent_at + LEASE_TTL_S

    def _is_list_maintainer(self) -> bool:
        ranked = rank_by_rendezvous("tidy", self._view.alive_in_zone())
        return ranked[0] == self._view.me.id

    def _clean_list(self) -> None:
        records = self._store.list(f"alive/{self._view.me.zone}/").entries
        present = {entry.key.rsplit("/", 1)[1] for entry in records}
        removed = self._find_absent_members(present)
        unlisted = self._find_unlisted()
        confirmed = dict(self._coordination.confirmed)
        me = self._view.me
        confirmed[(me.id, me.incarnation)] = self._coordination.confirmed_version
        cleaned = self._view.own_list.remove(removed).prune_prior_lists(
            confirmed, unlisted
        )
        if cleaned != self._view.own_list:
            self._change_list(
                lambda members: members.remove(removed).prune_prior_lists(
                    confirmed, unlisted
                )
            )

    def _find_absent_members(self, present: set[str]) -> set[str]:
        now = time.monotonic()
        ids = {member.id for member in self._view.own_list.members}
        absent = ids - present - {self._view.me.id}
        self._absent_since = {
            item: self._absent_since.get(item, now) for item in absent
        }
        return {
            item
            for item, since in self._absent_since.items()
            if now - since >= ABSENT_GRACE_S
        }

    def _find_unlisted(self) -> set[str]:
        """Return the hosts that the platform listed before and no longer lists."""
        listed = {host.id for host in self._view.hosts}
        return self._view.ever_listed - listed

    def _change_list(self, change: Change, attempts: int = JOIN_ATTEMPTS) -> None:
        key = members_key(self._view.me.zone)
        for _ in range(attempts):
            entry = self._store.get(key)
            current = (
                decode_members(entry.value) if entry else MemberList(self._view.me.zone)
            )
            changed = change(current)
            if changed == current:
                return
            try:
                expect = entry.version if entry else 0
                self._store.put(key, encode_members(changed), expect=expect)
                return
            except StoreConflictError:
                continue
