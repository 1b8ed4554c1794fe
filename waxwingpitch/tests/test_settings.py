from __future__ import annotations

import json

import hypothesis.strategies as st
import pytest
from hypothesis import given

from .. import jsonc
from ..errors import SettingsError
from ..settings import EntrySettings, load_entry_settings

VALID = {
    "id": "dar-a-entry-0",
    "zone": "dar-a",
    "mesh": {"key": "0123456789abcdef"},
    "platform": {"store": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:2"},
    "operator_token": "0123456789",
}


def load(tmp_path, text: str) -> EntrySettings:
    path = tmp_path / "entry.jsonc"
    path.write_text(text)
    return load_entry_settings(path)


def test_comments_and_defaults(tmp_path):
    text = json.dumps(VALID, indent=1).replace('"zone"', '// Zone.\n /* x */ "zone"')
    settings = load(tmp_path, text)
    assert settings.zone == "dar-a"
    assert settings.limits.body_bytes == 4 * 1024 * 1024


@pytest.mark.parametrize(
    ("change", "parts"),
    [
        ({"id": "Dar"}, ["'id'", "'Dar'", "lower-case"]),
        ({"log_level": "loud"}, ["'log_level'", "'loud'", "'debug', 'info'"]),
        ({"http": {"port": 70000}}, ["'http.port'", "70000", "0 to 65535"]),
        ({"http": {"port": "x"}}, ["'http.port'", "'x'", "int"]),
        ({"mesh": {"key": "short"}}, ["'mesh.key'", "16"]),
        ({"mesh": {"key": "0" * 16, "seeds": ["a:1"]}}, ["'mesh.seeds'", "IP:port"]),
        ({"platform": {"store": "x", "hosts": "http://h"}}, ["platform.store", "URL"]),
    ],
)
def test_error_names_the_invalid_value(tmp_path, change, parts):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, json.dumps({**VALID, **change}, indent=1))
    assert "entry.jsonc" in caught.value.message
    assert "line " in caught.value.message
    for part in parts:
        assert part in caught.value.message


def test_error_names_the_line_of_a_value_of_the_wrong_type(tmp_path):
    text = '{\n  // Id.\n  "id": 7\n}'
    with pytest.raises(SettingsError, match=r"line 3, key 'id'"):
        load(tmp_path, text)


def test_error_names_the_line_of_a_value_out_of_range(tmp_path):
    text = json.dumps({**VALID, "http": {"port": 70000}}, indent=1)
    line = 1 + text[: text.index('"port"')].count("\n")
    with pytest.raises(SettingsError, match=rf"line {line}, key 'http.port'"):
        load(tmp_path, text)


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="can't be read"):
        load_entry_settings(tmp_path / "none.jsonc")


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**15), 10**15)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


@given(JSON_VALUES)
def test_value_survives_a_round_trip(value):
    assert jsonc.decode(jsonc.render({"value": value}), dict)["value"] == value


@given(st.text(max_size=120))
def test_any_text_is_parsed_or_rejected(text):
    try:
        jsonc.decode(text, EntrySettings)
    except SettingsError as exc:
        assert exc.message
