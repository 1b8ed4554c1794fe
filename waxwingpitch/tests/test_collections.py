"""Garbage collections while tests run."""

from __future__ import annotations

import gc


def test_collection_does_not_stop_gateways_to_traverse_what_other_modules_left():
    assert gc.get_freeze_count() > 4 * len(gc.get_objects())
