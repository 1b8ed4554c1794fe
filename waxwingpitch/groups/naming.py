"""Names of replica groups, which contain the id and the address of the head.

A process that started after the head left the list can thus still ask the head
whether the group serves.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_NAME = re.compile(r"^g(\d+)_(.+)_([0-9.]+)_(\d+)$")


@dataclass(frozen=True, slots=True)
class GroupHead:
    """Id of a group's head and its address as ``IP:port``."""

    id: str
    address: str


def name_group(epoch: int, head: GroupHead) -> str:
    """Return the name of a group.

    Examples
    --------
    >>> name_group(7, GroupHead("i-1", "10.0.0.1:80"))
    'g7_i-1_10.0.0.1_80'
    """
    host, _, port = head.address.rpartition(":")
    return f"g{epoch}_{head.id}_{host}_{port}"


def parse_head(group: str) -> GroupHead | None:
    """Return the head named in a group's name, or None for a name of another form.

    Examples
    --------
    >>> parse_head("g7_i-1_10.0.0.1_80")
    GroupHead(id='i-1', address='10.0.0.1:80')
    """
    found = _NAME.match(group)
    if found is None:
        return None
    return GroupHead(found[2], f"{found[3]}:{found[4]}")
