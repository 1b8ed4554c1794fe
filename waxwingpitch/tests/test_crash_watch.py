"""Tests of which requests become suspects after a target's crash."""

from __future__ import annotations

from ..requests.crash_watch import CRASH_DETECTION_S, CrashWatch


def test_restart_makes_requests_in_flight_suspects():
    watch = CrashWatch()
    watch.record_broken("a", "t1", 5, now=1.0)
    watch.record_broken("b", "t2", 5, now=1.0)
    found = watch.find_crashes("t1", 6, now=2.0)
    assert [crash.fingerprint for crash in found] == ["a"]
    assert watch.find_crashes("t1", 7, now=2.5) == ()


def test_broken_connection_to_a_running_target_makes_no_suspects():
    watch = CrashWatch()
    watch.record_broken("a", "t1", 5, now=1.0)
    assert watch.find_crashes("t1", 5, now=2.0) == ()


def test_unannounced_removal_makes_suspects():
    watch = CrashWatch()
    watch.record_broken("a", "t1", 5, now=1.0)
    assert len(watch.find_crashes("t1", None, now=4.0)) == 1


def test_restart_after_the_detection_time_makes_no_suspects():
    watch = CrashWatch()
    watch.record_broken("a", "t1", 5, now=1.0)
    assert watch.find_crashes("t1", 6, now=1.5 + CRASH_DETECTION_S) == ()
