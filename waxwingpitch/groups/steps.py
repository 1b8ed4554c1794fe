"""Steps of a plan, and how each changes the group table."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .table import Group, GroupMember, GroupTable, check_table


@dataclass(frozen=True, slots=True)
class FormGroup:
    """Forms a new group of spare hosts."""

    group: str
    service: str
    model: str
    model_version: str
    members: tuple[GroupMember, ...]


@dataclass(frozen=True, slots=True)
class SwapMembers:
    """Replaces lost members by spare hosts, in place."""

    group: str
    replacements: tuple[tuple[str, GroupMember], ...]


@dataclass(frozen=True, slots=True)
class RejoinGroup:
    """Readmits members that restarted on their hosts."""

    group: str
    members: tuple[GroupMember, ...]


@dataclass(frozen=True, slots=True)
class DrainGroup:
    """Assigns no new requests to a group until it is dissolved."""

    group: str
    until: float


@dataclass(frozen=True, slots=True)
class DissolveGroup:
    """Makes the hosts of a group spare."""

    group: str


Step = FormGroup | SwapMembers | RejoinGroup | DrainGroup | DissolveGroup


def apply_step(table: GroupTable, step: Step) -> GroupTable:
    """Return the table after a step.

    Raises
    ------
    GroupRuleError
        The step would put a host into two groups.
    """
    epoch = table.epoch + 1
    match step:
        case FormGroup():
            group = Group(
                id=step.group,
                service=step.service,
                model=step.model,
                model_version=step.model_version,
                epoch=epoch,
                members=step.members,
            )
            changed = replace(table, epoch=epoch, groups=(*table.groups, group))
        case SwapMembers():
            swaps = dict(step.replacements)
            changed = _replace_members(table, step.group, swaps, epoch)
        case RejoinGroup():
            swaps = {member.host: member for member in step.members}
            changed = _replace_members(table, step.group, swaps, epoch)
        case DrainGroup():
            groups = tuple(
                (
                    replace(group, draining=True, drain_until=step.until)
                    if group.id == step.group
                    else group
                )
                for group in table.groups
            )
            changed = replace(table, groups=groups)
        case DissolveGroup():
            kept = tuple(group for group in table.groups if group.id != step.group)
            changed = replace(table, epoch=epoch, groups=kept)
    check_table(changed)
    return changed


def _replace_members(
    table: GroupTable, group_id: str, swaps: dict[str, GroupMember], epoch: int
) -> GroupTable:
    groups = tuple(
        _swap(group, swaps, epoch) if group.id == group_id else group
        for group in table.groups
    )
    return replace(table, epoch=epoch, groups=groups)


def _swap(group: Group, swaps: dict[str, GroupMember], epoch: int) -> Group:
    members = tuple(swaps.get(member.host, member) for member in group.members)
    return replace(group, epoch=epoch, members=members)
