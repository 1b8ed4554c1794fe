from __future__ import annotations

from dataclasses import replace

import hypothesis.strategies as st
import pytest
from hypothesis import given

from ..configuration import (
    Configuration,
    ConfigurationBuilder,
    RoutingPolicyName,
    Service,
    ServiceKind,
    Spill,
    SubmissionOutcome,
    Workspace,
    Zone,
    decode_configuration,
    describe_difference,
    hash_token,
    render_configuration,
    submit,
)
from ..configuration.document import decode_stored, encode_configuration
from ..configuration.submission import CONFIGURATION_KEY
from ..errors import ConfigurationError, StaleBaseError, StoreError
from .fakes import FakeStore

NAMES = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,20}", fullmatch=True)
POSITIVE = st.floats(0.001, 1e6)
COUNTS = st.integers(1, 512)


def unique_by_name(items):
    return st.lists(items, max_size=4, unique_by=lambda item: item.name).map(tuple)


ZONES = st.builds(Zone, NAMES, NAMES, st.booleans())
WORKSPACES = st.builds(
    Workspace,
    NAMES,
    st.integers(0, 9),
    POSITIVE,
    st.lists(st.text().map(hash_token), max_size=2).map(tuple),
)
SERVICES = st.builds(
    Service,
    name=NAMES,
    kind=st.just(ServiceKind.MODEL),
    pool=NAMES,
    hosts_per_replica=COUNTS,
    model=st.text(min_size=1, max_size=20),
    model_version=st.text(max_size=5),
    cold_cap=COUNTS,
    warm_cap=COUNTS,
    checks_fencing=st.booleans(),
    routing=st.sampled_from(RoutingPolicyName),
    spill=st.sampled_from(Spill),
    timeout_s=POSITIVE,
    max_wait_s=POSITIVE,
    spare_hosts=st.integers(0, 9),
)
CONFIGURATIONS = st.builds(
    Configuration,
    revision=st.integers(0, 10**9),
    zones=unique_by_name(ZONES),
    workspaces=unique_by_name(WORKSPACES),
    services=unique_by_name(SERVICES),
    submissions=st.lists(st.text(max_size=10), max_size=3).map(tuple),
)


def build(*names: str, base: Configuration | None = None) -> Configuration:
    builder = ConfigurationBuilder(base)
    for name in names:
        builder.add_workspace(name, priority=0)
    return builder.build()


def read_stored(store: FakeStore) -> Configuration:
    return decode_stored(store.entries[CONFIGURATION_KEY].value)


@given(CONFIGURATIONS)
def test_configuration_survives_a_round_trip(cfg):
    assert decode_configuration(render_configuration(cfg)) == cfg
    assert decode_stored(encode_configuration(cfg)) == cfg


@given(st.text(max_size=200))
def test_any_text_is_parsed_or_rejected(text):
    try:
        decode_configuration(text)
    except ConfigurationError as exc:
        assert exc.code == 4002


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ('{"zones": [{"name": "a"}]}', ["line 1", "zones[0]", "region"]),
        ('{\n"revision": "x"}', ["line 2", "'revision'", "'x'"]),
        (
            '{"services": [{"name": "a", "kind": "x", "pool": "p"}]}',
            ["'services[0].kind'", "'x'", "'model', 'plain'"],
        ),
        ('{"workspaces": [{"name": "w", "priority": 12}]}', ["12", "0 to 9"]),
        ('{"workspaces": [{"name": "W", "priority": 1}]}', ["'W'", "lower-case"]),
        ('{"zones": [}', ["line 1"]),
    ],
)
def test_error_names_the_invalid_value(text, parts):
    with pytest.raises(ConfigurationError) as caught:
        decode_configuration(text, source="school.jsonc")
    for part in parts:
        assert part in caught.value.message


def test_submission_is_accepted_once():
    store = FakeStore()
    first = submit(store, build("a"), submission_id="s1")
    again = submit(store, build("a"), submission_id="s1")
    assert (first.revision, first.outcome) == (1, SubmissionOutcome.ACCEPTED)
    assert (again.revision, again.outcome) == (1, SubmissionOutcome.ALREADY_ACCEPTED)
    assert read_stored(store).revision == 1


def test_submission_is_recognized_after_a_lost_answer(monkeypatch):
    monkeypatch.setattr("waxwingpitch.configuration.submission.RETRY_PAUSE_S", 0.001)
    store = FakeStore()
    store.lose_answers = 1
    result = submit(store, build("a"), submission_id="s1")
    assert result.outcome is SubmissionOutcome.ALREADY_ACCEPTED
    assert read_stored(store).submissions == ("s1",)


def test_delayed_write_is_not_applied_twice(monkeypatch):
    monkeypatch.setattr("waxwingpitch.configuration.submission.RETRY_PAUSE_S", 0.001)
    store = FakeStore()
    store.delay_writes = 1
    assert submit(store, build("a"), submission_id="s1").revision == 1
    store.apply_delayed_write()
    assert read_stored(store).revision == 1
    assert read_stored(store).submissions == ("s1",)


def test_error_for_a_stale_base_lists_the_differences():
    store = FakeStore()
    submit(store, build("a"))
    with pytest.raises(StaleBaseError) as caught:
        submit(store, build("b"))
    assert "workspaces: a was added" in caught.value.message
    assert [item.name for item in read_stored(store).workspaces] == ["a"]


def test_error_for_an_unavailable_service_names_the_submission():
    store = FakeStore()
    store.down = True
    with pytest.raises(StoreError) as caught:
        submit(store, build("a"), submission_id="s1", deadline=0.0)
    assert "s1" in caught.value.message
    assert not store.entries


def test_difference_covers_zones_and_workspaces():
    left = build("a", "b")
    right = replace(build("b", "c"), zones=(Zone("z", "r"),))
    assert list(describe_difference(left, right)) == [
        "zones: z was added",
        "workspaces: a is not there",
        "workspaces: c was added",
    ]


def test_builder_error_names_an_unknown_zone():
    with pytest.raises(ConfigurationError, match="valid: none are configured"):
        ConfigurationBuilder().set_zone_in_service("dar-a", False)
