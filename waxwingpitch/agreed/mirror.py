"""Copy of the key-value service's keys, from whoever knows a higher version."""

from __future__ import annotations

from collections.abc import Iterator

from ..ports import StoredChange, StoredDeletion, StoredEntry

MAX_TOMBSTONES = 4096


class StoreMirror:
    """Keys with the version of their last change; only higher versions replace.

    Examples
    --------
    >>> mirror = StoreMirror()
    >>> mirror.note_synced("a/", 7)
    >>> mirror.note_synced("b/", 5)
    >>> mirror.version
    5
    """

    def __init__(self):
        self._entries: dict[str, StoredEntry] = {}
        self._deleted: dict[str, int] = {}
        self._synced: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version up to which everything is known below all prefixes followed."""
        return min(self._synced.values(), default=0)

    def note_synced(self, prefix: str, version: int) -> None:
        """Note that everything below a prefix is known up to a version."""
        self._synced[prefix] = max(version, self._synced.get(prefix, 0))

    def note_all_synced(self, version: int) -> None:
        """Note that everything is known up to a version."""
        for prefix in self._synced:
            self.note_synced(prefix, version)

    def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def iter_prefix(self, prefix: str) -> Iterator[StoredEntry]:
        """Yield the entries whose keys start with a prefix."""
        for key, entry in self._entries.items():
            if key.startswith(prefix):
                yield entry

    def apply(self, change: StoredChange) -> list[str]:
        """Take in changes and return the keys that they changed."""
        changed = [entry.key for entry in change.entries if self._put(entry)]
        changed += [item.key for item in change.deletions if self._delete(item)]
        return changed

    def apply_list(self, prefix: str, listed: StoredChange) -> list[str]:
        """Take in all entries below a prefix; those that are missing are gone."""
        present = {entry.key for entry in listed.entries}
        missing = [
            StoredDeletion(key, listed.version)
            for key, entry in self._entries.items()
            if key.startswith(prefix)
            and key not in present
            and entry.version <= listed.version
        ]
        return self.apply(StoredChange(listed.version, listed.entries, tuple(missing)))

    def list_after(self, version: int) -> StoredChange:
        """Return what changed after a version; everything after version 0."""
        return StoredChange(
            self.version,
            tuple(item for item in self._entries.values() if item.version > version),
            tuple(
                StoredDeletion(key, at)
                for key, at in self._deleted.items()
                if at > version
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
        return True

    def _delete(self, item: StoredDeletion) -> bool:
        known = self._entries.get(item.key)
        if known is not None and known.version > item.version:
            return False
        self._deleted[item.key] = max(item.version, self._deleted.get(item.key, 0))
        self._evict_tombstones(self._deleted)
        if known is None:
            return False
        del self._entries[item.key]
        return True

    @staticmethod
    def _evict_tombstones(deleted: dict[str, int]) -> None:
        while len(deleted) > MAX_TOMBSTONES:
            del deleted[next(iter(deleted))]
