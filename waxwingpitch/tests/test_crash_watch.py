"""Tests of which requests become suspects after a target's crash."""

from __future__ import annotations

from ..requests.crash_watch import CRASH_DETECTION_S, BrokenAttempt, CrashWatch


def build_attempt(fingerprint: str, target: str, broken_at: float = 1.0):
    return BrokenAttempt(("part", fingerprint), target, 5, 0.5, broken_at)


def test_restart_makes_requests_in_flight_suspects():
    watch = CrashWatch()
    watch.add(build_attempt("a", "t1"))
    watch.add(build_attempt("b", "t2"))
    found = watch.find_crashes("t1", 6, now=2.0)
    assert [crash.fingerprint for crash in found] == ["a"]
    assert found[0].keys == ("part", "a") and found[0].sent_at == 0.5
    assert watch.find_crashes("t1", 7, now=2.5) == ()


def test_broken_connection_to_a_running_target_makes_no_suspects():
    watch = CrashWatch()
    watch.add(build_attempt("a", "t1"))
    assert watch.find_crashes("t1", 5, now=2.0) == ()


def test_unannounced_removal_makes_suspects():
    watch = CrashWatch()
    watch.add(build_attempt("a", "t1"))
    assert len(watch.find_crashes("t1", None, now=4.0)) == 1


def test_restart_after_the_detection_time_makes_no_suspects():
    watch = CrashWatch()
    watch.add(build_attempt("a", "t1"))
    assert watch.find_crashes("t1", 6, now=1.5 + CRASH_DETECTION_S) == ()


def test_attempt_at_a_target_that_answered_afterwards_is_no_suspect():
    watch = CrashWatch()
    watch.add(build_attempt("reset", "t1"))
    watch.add(build_attempt("other", "t2"))
    watch.discard("t1", 5, before=2.0)
    watch.add(build_attempt("in flight", "t1", broken_at=3.0))
    found = watch.find_crashes("t1", None, now=3.1)
    assert [crash.fingerprint for crash in found] == ["in flight"]
    assert len(watch.find_crashes("t2", None, now=3.1)) == 1


def test_answer_of_a_restarted_target_clears_no_attempt_at_the_one_before():
    watch = CrashWatch()
    watch.add(build_attempt("a", "t1"))
    watch.discard("t1", 9, before=2.0)
    assert len(watch.find_crashes("t1", 9, now=3.1)) == 1


def test_attempt_reported_after_its_targets_crash_was_found_is_a_suspect():
    watch = CrashWatch()
    watch.add(build_attempt("a", "t1"))
    assert len(watch.find_crashes("t1", None, now=1.1)) == 1
    late = watch.add(build_attempt("b", "t1", broken_at=1.2))
    assert [crash.fingerprint for crash in late] == ["b"]
    assert watch.add(BrokenAttempt(("c",), "t1", 9, 1.3, 1.4)) == ()
