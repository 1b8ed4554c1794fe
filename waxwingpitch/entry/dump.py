"""State dump of an entry daemon, for operators."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from ..configuration.model import Configuration
from .common import DaemonState


def render_state(daemon: DaemonState) -> bytes:
    """Return the state as JSON, without tokens, hashes or keys."""
    view, now = daemon.view, time.monotonic()
    state = {
        "id": view.me.id,
        "zone": view.me.zone,
        "incarnation": view.me.incarnation,
        "started_at": daemon.started_at,
        "stopping": view.stopping,
        "unready": daemon.find_unready_reason(),
        "store_up": daemon.watcher.store_up,
        "configuration": _describe_configuration(view.cfg),
        "members": {zone: item for zone, item in view.agreed.lists.items()},
        "peers": _describe_peers(daemon),
        "groups": {domain: item.groups for domain, item in view.agreed.tables.items()},
        "controls": daemon.controller.held_domains,
        "observes": sorted(host.id for host in daemon.observer.select_hosts()),
        "evidence": _describe_evidence(daemon, now),
        "services": _describe_services(daemon, now),
        "suspects": [
            {
                "fingerprint": item.fingerprint,
                "crashes": len(item.crashes),
                "left_s": round(item.until - now, 1),
            }
            for item in view.suspects.iter_records(now)
        ],
        "in_progress": daemon.in_progress,
        "open_claim_documents": daemon.claims.open_documents,
    }
    return msgspec.json.encode(state)


def _describe_configuration(cfg: Configuration) -> dict[str, Any]:
    return {
        "revision": cfg.revision,
        "zones": cfg.zones,
        "workspaces": [
            {"name": item.name, "priority": item.priority, "share": item.share}
            for item in cfg.workspaces
        ],
        "services": cfg.services,
    }


def _describe_peers(daemon: DaemonState) -> dict[str, Any]:
    revisions = daemon.coordination.revisions
    sent_messages, sent_bytes = daemon.mesh.sent
    return {
        "connected": sorted(daemon.mesh.peers),
        "revisions": revisions,
        "sent_messages": sent_messages,
        "sent_bytes": sent_bytes,
    }


def _describe_evidence(daemon: DaemonState, now: float) -> list[dict[str, Any]]:
    hosts = [host.id for host in daemon.view.hosts]
    return [
        {
            "host": item.host,
            "health": item.health.name.lower(),
            "age_s": round(now - item.observed_at, 3),
            "fresh": now < item.valid_until,
            "report": item.report,
        }
        for item in daemon.view.evidence.select(hosts)
    ]


def _describe_services(daemon: DaemonState, now: float) -> dict[str, Any]:
    described = {}
    for service in daemon.view.cfg.services:
        usable = list(daemon.view.directory.find_usable(service, now))
        dispatcher = daemon.dispatchers.get(service.name)
        described[service.name] = {
            "targets": daemon.view.directory.count_all(service),
            "usable": usable,
            "queued": len(dispatcher.queue) if dispatcher else 0,
            "outstanding": dict(dispatcher.outstanding) if dispatcher else {},
        }
    return described
