"""Decoded agreed documents of one process, as an immutable snapshot."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace

from ..agreed import Document
from ..configuration import Configuration
from ..configuration.document import decode_stored
from ..configuration.submission import CONFIGURATION_KEY
from ..errors import ConfigurationError
from ..groups import GroupTable, decode_table
from ..groups.table import TABLE_PREFIX
from ..membership import MemberList, decode_members
from ..membership.members import MEMBERS_PREFIX

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AgreedState:
    """Latest known agreed documents, decoded.

    Attributes
    ----------
    lists
        Member list of each zone.
    tables
        Group table of each fabric domain.
    """

    cfg: Configuration
    lists: dict[str, MemberList]
    tables: dict[str, GroupTable]


def apply_document(agreed: AgreedState, doc: Document) -> AgreedState:
    """Return the state with a newer version of a document applied.

    Raises
    ------
    WaxwingpitchError
        The document can't be decoded, or its configuration revision is not higher.
    """
    if doc.key == CONFIGURATION_KEY:
        return _apply_configuration(agreed, doc)
    if doc.key.startswith(MEMBERS_PREFIX):
        members = decode_members(doc.value)
        return replace(agreed, lists={**agreed.lists, members.zone: members})
    if doc.key.startswith(TABLE_PREFIX):
        table = decode_table(doc.value)
        return replace(agreed, tables={**agreed.tables, table.domain: table})
    return agreed


def _apply_configuration(agreed: AgreedState, doc: Document) -> AgreedState:
    cfg = decode_stored(doc.value)
    if cfg.revision <= agreed.cfg.revision:
        raise ConfigurationError(
            f"configuration revision {cfg.revision} is not above the revision "
            f"{agreed.cfg.revision} in force"
        )
    logger.info("configuration in force", extra={"revision": cfg.revision})
    return replace(agreed, cfg=cfg)
