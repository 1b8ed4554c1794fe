"""Targets that state a limit of requests a second for all gateways together."""

from __future__ import annotations

import pytest

from ..forwarding import AnswerHead
from ..platform import HeaderNames, decode_rate_limit


@pytest.mark.parametrize(
    "values, expected",
    [
        ((), None),
        ((b"1.5",), 1.5),
        ((b"0",), 0.0),
        ((b"1e9",), 1e9),
        ((b"3", b"2"), 2.0),
        ((b"nan", b"2"), 2.0),
    ],
)
def test_lowest_rate_limit_of_an_answer_is_read(values, expected):
    head = AnswerHead(200, tuple((b"Server-Limit", value) for value in values))
    assert decode_rate_limit(head.find_all(HeaderNames.RATE_LIMIT)) == expected


@pytest.mark.parametrize("value", [b"nan", b"-1", b"inf", b"", b"many"])
def test_rate_limit_that_is_no_number_is_not_taken_for_none(value):
    with pytest.raises(ValueError, match="rate limit"):
        decode_rate_limit([value])
