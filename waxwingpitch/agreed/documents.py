"""Latest known versions of the agreed documents in one process.

The key-value service orders all writes, so the version of a key only increases. A
document is accepted only if its version is higher than the known one, so that late
watch events, stale peers and repeated messages can't restore an older version.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

AGREED_PREFIX = "agreed/"


@dataclass(frozen=True, slots=True)
class Document:
    """One version of an agreed document.

    Attributes
    ----------
    key
        Key in the key-value service, below ``agreed/``.
    version
        Version that the key-value service assigned to the write.
    """

    key: str
    version: int
    value: bytes


class AgreedDocuments:
    """Latest known version of each agreed document.

    Examples
    --------
    >>> docs = AgreedDocuments()
    >>> docs.merge([Document("agreed/a", 2, b"new"), Document("agreed/a", 1, b"old")])
    (Document(key='agreed/a', version=2, value=b'new'),)
    """

    def __init__(self):
        self._known: dict[str, Document] = {}

    def merge(self, docs: Iterable[Document]) -> tuple[Document, ...]:
        """Merge documents and return those that were newer than the known ones."""
        return tuple(doc for doc in docs if self._merge_one(doc))

    def _merge_one(self, doc: Document) -> bool:
        if not doc.key.startswith(AGREED_PREFIX):
            return False
        known = self._known.get(doc.key)
        if known is not None and known.version >= doc.version:
            return False
        self._known[doc.key] = doc
        return True

    def get(self, key: str) -> Document | None:
        """Return the latest known version of a document."""
        return self._known.get(key)

    def digest(self) -> dict[str, int]:
        """Return the known version of each key."""
        return {key: doc.version for key, doc in self._known.items()}

    def newer_than(self, digest: Mapping[str, int]) -> Iterator[Document]:
        """Yield the documents that are newer here than in a peer's digest."""
        for key, doc in self._known.items():
            if digest.get(key, 0) < doc.version:
                yield doc

    def lacks(self, digest: Mapping[str, int]) -> bool:
        """Return whether a peer's digest has a newer version of any document."""
        return any(
            version > self._version(key)
            for key, version in digest.items()
            if key.startswith(AGREED_PREFIX)
        )

    def _version(self, key: str) -> int:
        known = self._known.get(key)
        return known.version if known is not None else 0
