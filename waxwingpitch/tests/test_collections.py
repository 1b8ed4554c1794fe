"""Garbage collections while tests run."""

from __future__ import annotations

import gc

_kept: list[list] = []


def test_collection_does_not_stop_gateways_to_traverse_what_other_modules_left():
    _kept.append([_kept])
    assert any(item is _kept[0] for item in gc.get_objects())
    assert gc.get_freeze_count() > 4 * len(gc.get_objects())


def test_collection_does_not_stop_gateways_to_traverse_what_earlier_tests_left():
    assert _kept
    assert not any(item is _kept[0] for item in gc.get_objects())
