"""Tests of how news of crashes reaches all gateways."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from ..gateway import peers as peers_module
from ..gateway.peers import PeerTask
from ..mesh import decode_message
from ..mesh.fleet_messages import CrashedAttemptItem, CrashNews
from ..mesh.node import LinkUp, Received

NEWS = CrashNews((CrashedAttemptItem("t:1", ("part", "f"), 1.0, 0.5),))
ZONES = {"gw-y-1": "y", "gw-y-2": "y", "gw-y-3": "y", "gw-z-1": "z"}


class NodeFake:
    """Links to all peers; remembers what is sent on them."""

    def __init__(self, identity: SimpleNamespace, *args, **kwargs):
        self._name = identity.name
        self.sent: list[tuple[str, object]] = []

    def list_peers_in(self, zone: str) -> list[str]:
        return [
            name
            for name, other in ZONES.items()
            if other == zone and name != self._name
        ]

    def multicast(self, message, peer_ids) -> None:
        self.sent.extend((peer, message) for peer in peer_ids)

    def send(self, peer: str, message) -> bool:
        self.sent.append((peer, message))
        return True


def build_peer_task(monkeypatch, name: str) -> PeerTask:
    """Return the task of a gateway of zone y, which gw-y-1 leads."""
    monkeypatch.setattr(peers_module, "MeshNode", NodeFake)
    monkeypatch.setattr(
        peers_module, "Identity", lambda name, *args: SimpleNamespace(name=name)
    )
    settings = SimpleNamespace(
        name=name,
        zone="y",
        zones=("y", "z"),
        store="",
        peers=SimpleNamespace(host="", port=0),
    )
    heads = {"y": "gw-y-1", "z": "gw-z-1"}
    roster = SimpleNamespace(find_head=heads.get, record_heard=lambda peer: None)
    local = SimpleNamespace(name=name, zone="y", incarnation="1")
    return PeerTask(settings, local, roster, None, None, None, lambda *args: True)


@pytest.mark.parametrize(
    ("local", "teller", "told"),
    [
        ("gw-y-1", "gw-z-1", {"gw-y-2", "gw-y-3"}),
        ("gw-y-1", "gw-y-2", set()),
        ("gw-y-2", "gw-z-1", set()),
    ],
)
def test_zone_that_was_cut_off_is_told_what_its_head_was_told(
    monkeypatch, local, teller, told
):
    task = build_peer_task(monkeypatch, local)
    heard = []
    task.on_crash_news = lambda news, at: heard.append(news)
    peer = SimpleNamespace(id=teller, zone=ZONES[teller])
    task._deliver(LinkUp(peer))
    task._deliver(Received(peer=peer, message=NEWS, at=1.0))
    sent = {name: decode_message(news.data) for name, news in task._node.sent}
    assert heard == [NEWS]
    assert sent == dict.fromkeys(told, NEWS)
