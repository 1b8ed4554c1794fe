from __future__ import annotations

from pathlib import Path

from ..errors import RESULTS, ResultCode, render_result_table

DOCS = Path(__file__).parents[2] / "docs"


def test_every_code_has_a_result_info():
    assert set(RESULTS) == set(ResultCode)


def test_table_in_docs_is_up_to_date():
    assert render_result_table() in (DOCS / "ERRORS.md").read_text()
