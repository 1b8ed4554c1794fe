"""Local copy of entries of the key-value service, updated by the store and peers."""

from __future__ import annotations

from collections.abc import Iterator

from ..ports import StoredChange, StoredDeletion, StoredEntry
from .versions import get_era

MAX_TOMBSTONES = 4096


class StoreMirror:
    """Entries and tombstones; an entry is replaced only by a higher version.

    A version of a later era is higher than all of earlier ones. Entries of an earlier
    era are deleted once the list of their prefix in the later era lacks them.

    Examples
    --------
    >>> mirror = StoreMirror()
    >>> mirror.mark_synced("a/", 7)
    >>> mirror.get_synced("a/"), mirror.get_synced("b/")
    (7, 0)
    """

    def __init__(self):
        self._entries: dict[str, StoredEntry] = {}
        self._deleted: dict[str, int] = {}
        self._synced: dict[str, int] = {}
        self._latest_change: dict[str, int] = {}
        self._history_since: dict[str, int] = {}
        self._evicted_version = 0
        self._era = 0

    @property
    def era(self) -> int:
        """Latest era of a change that was applied."""
        return self._era

    @property
    def is_empty(self) -> bool:
        """Whether no entry is known."""
        return not self._entries

    def mark_synced(self, prefix: str, version: int) -> None:
        """Record that all changes below a prefix are known up to a version.

        The prefix counts as watched from the first call.
        """
        self._synced[prefix] = max(version, self._synced.get(prefix, 0))

    def get_synced(self, prefix: str) -> int:
        """Return the version up to which all changes below a prefix are known."""
        return self._synced.get(prefix, 0)

    def get_latest_change(self, prefix: str) -> int:
        """Return the version of the last known change below a top-level prefix."""
        return self._latest_change.get(prefix, 0)

    def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def iter_prefix(self, prefix: str) -> Iterator[StoredEntry]:
        """Yield the entries whose keys start with a prefix."""
        for key, entry in self._entries.items():
            if key.startswith(prefix):
                yield entry

    def apply(self, change: StoredChange) -> list[str]:
        """Apply changes and return the keys that were changed by them."""
        self._era = max(self._era, get_era(change.version))
        changed = [entry.key for entry in change.entries if self._put(entry)]
        changed += [item.key for item in change.deletions if self._delete(item)]
        return changed

    def apply_list(self, prefix: str, listed: StoredChange) -> list[str]:
        """Merge a complete list of the entries below a prefix.

        Known entries that are missing from the list are deleted, unless their version
        is higher than that of the list. Returns the keys that changed.
        """
        self._history_since[prefix] = listed.version
        present = {entry.key for entry in listed.entries}
        missing = [
            StoredDeletion(key, listed.version)
            for key, entry in self._entries.items()
            if key.startswith(prefix)
            and key not in present
            and entry.version <= listed.version
        ]
        return self.apply(StoredChange(listed.version, listed.entries, tuple(missing)))

    def has_history(self, prefix: str, version: int) -> bool:
        """Return whether all deletions below a prefix after a version are known."""
        since = max(self._history_since.get(prefix, 0), self._evicted_version)
        return version >= since

    def list_after(self, prefix: str, version: int) -> StoredChange:
        """Return the changes below a prefix after a version; 0 returns everything."""
        return StoredChange(
            self.get_synced(prefix),
            tuple(item for item in self.iter_prefix(prefix) if item.version > version),
            tuple(
                StoredDeletion(key, deleted_version)
                for key, deleted_version in self._deleted.items()
                if deleted_version > version and key.startswith(prefix)
            ),
        )

    def _put(self, entry: StoredEntry) -> bool:
        known = self._entries.get(entry.key)
        if known is not None and known.version >= entry.version:
            return False
        if self._deleted.get(entry.key, 0) >= entry.version:
            return False
        self._deleted.pop(entry.key, None)
        self._entries[entry.key] = entry
        self._note_change(entry.key, entry.version)
        return True

    def _delete(self, item: StoredDeletion) -> bool:
        known = self._entries.get(item.key)
        if known is not None and known.version > item.version:
            return False
        self._deleted[item.key] = max(item.version, self._deleted.get(item.key, 0))
        self._note_change(item.key, item.version)
        self._evict_tombstones()
        if known is None:
            return False
        del self._entries[item.key]
        return True

    def _note_change(self, key: str, version: int) -> None:
        prefix = key[: key.find("/") + 1]
        self._latest_change[prefix] = max(version, self.get_latest_change(prefix))

    def _evict_tombstones(self) -> None:
        while len(self._deleted) > MAX_TOMBSTONES:
            version = self._deleted.pop(next(iter(self._deleted)))
            self._evicted_version = max(version, self._evicted_version)
