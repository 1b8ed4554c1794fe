"""Groups of the product's own interface that are drained before they are dissolved."""

from __future__ import annotations

from types import SimpleNamespace

from ..groups.planner import DomainView, HostView, PlannerPolicy, plan_domain
from ..groups.table import Group, GroupMember, GroupTable
from ..targets.evidence import Health


def test_entry_daemon_waits_for_a_draining_leader_that_is_silent_for_a_moment():
    members = tuple(GroupMember(name, f"{name}:1", "i") for name in ("a", "b"))
    group = Group("g", "chat", "m", "1", 1, members, draining=True, drain_until=600.0)
    service = SimpleNamespace(
        name="chat", model="m", model_version="1", hosts_per_replica=2, pool="p"
    )
    service.spare_hosts = 0
    state = {"pool": "p", "group": "g", "epoch": 1, "incarnation": "i", "load": 3}
    hosts = (
        HostView("a", "a:1", health=Health.SILENT, since=99.9, **state),
        HostView("b", "b:1", health=Health.UP, **state),
    )
    table = GroupTable("d", "z", 1, (group,))
    view = DomainView(table, hosts, (service,), now=100.0, wall=100.0)
    assert plan_domain(view, PlannerPolicy()) == ()
