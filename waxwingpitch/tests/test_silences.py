"""Targets that leave probes unanswered: silent for a moment, or ended."""

from __future__ import annotations

from ..targets.silences import MAX_PROBE_GAP_S, SOUND_SILENCE_S, SilenceBook


def play(*probes: tuple[float, bool]) -> list[bool]:
    """Return for each unanswered probe whether the target has ended by it."""
    book = SilenceBook()
    ended = []
    for now, is_answered in probes:
        if is_answered:
            book.record_answered("t")
        else:
            ended.append(book.record_unanswered("t", now))
    return ended


# Guards against a third target for a request whose first two are only silent.
def test_silence_of_a_sound_target_is_no_end():
    assert play((0.0, False), (0.6, False), (1.3, False)) == [False] * 3


def test_two_silences_with_an_answer_between_do_not_add_up():
    probes = ((0.0, False), (1.0, False), (1.3, True), (1.6, False), (2.7, False))
    assert not any(play(*probes))


def test_two_silences_without_a_probe_between_do_not_add_up():
    later = 1.0 + MAX_PROBE_GAP_S + 0.1
    assert not any(play((0.0, False), (1.0, False), (later, False)))


def test_target_that_answers_nothing_for_long_has_ended():
    assert play((0.0, False), (0.8, False), (SOUND_SILENCE_S, False))[-1]


def test_silences_are_forgotten():
    book = SilenceBook()
    book.record_unanswered("t", 0.0)
    book.expire(MAX_PROBE_GAP_S + 0.1)
    assert not book._silences
