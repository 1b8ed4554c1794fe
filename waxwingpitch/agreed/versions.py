"""Versions of stored keys: the store's era in the upper bits, the revision below.

A store that comes back from an older copy gives out revisions again and begins a new
era. A version of a later era is higher than all of earlier eras, so that versions,
fencing tokens and epochs derived from them are compared as plain numbers.
"""

from __future__ import annotations

REVISION_BITS = 40
_REVISION_MASK = (1 << REVISION_BITS) - 1


def combine_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era.

    Examples
    --------
    >>> combine_version(0, 7)
    7
    >>> combine_version(1, 1) > combine_version(0, 999)
    True
    """
    return era << REVISION_BITS | revision


def get_era(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def get_revision(version: int) -> int:
    """Return the store's revision of a version.

    Examples
    --------
    >>> get_revision(combine_version(3, 7))
    7
    """
    return version & _REVISION_MASK
