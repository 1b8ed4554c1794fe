"""Decoded agreed documents of one process, replaced as a whole at each change."""

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
    """What is agreed, as far as this process knows."""

    cfg: Configuration
    lists: dict[str, MemberList]
    tables: dict[str, GroupTable]


def apply_document(agreed: AgreedState, doc: Document) -> AgreedState:
    """Return what is agreed after a newer version of a document.

    Raises
    ------
    WaxwingpitchError
        The document can't be decoded, or its revision is not above the known.
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
            f"revision {cfg.revision} is not above {agreed.cfg.revision}"
        )
    logger.info("configuration in force", extra={"revision": cfg.revision})
    return replace(agreed, cfg=cfg)
