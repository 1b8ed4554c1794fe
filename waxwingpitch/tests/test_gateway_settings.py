"""Settings file of the gateway: the switch for requests that leave their zone."""

from __future__ import annotations

import pytest

from ..errors import SettingsError
from ..platform import load_platform_settings
from .test_process_gateway import SETTINGS


def load(tmp_path, line: str):
    path = tmp_path / "system.toml"
    text = SETTINGS.format(
        ip="127.0.0.1", front=1, ready=2, peers=3, store="127.0.0.1:4"
    )
    path.write_text(f"{line}\n{text}")
    return load_platform_settings(str(path))


@pytest.mark.parametrize(
    "line, may_leave",
    [("", True), ("zone_spillover = true", True), ("zone_spillover = false", False)],
)
def test_choice_of_another_zone_can_be_switched_off(tmp_path, line, may_leave):
    assert load(tmp_path, line).may_leave_zone is may_leave


# Guards against a text that is taken for true, so that the switch has no effect.
def test_switch_that_is_neither_true_nor_false_is_named(tmp_path):
    with pytest.raises(SettingsError, match="zone_spillover: 'false'.*true or false"):
        load(tmp_path, 'zone_spillover = "false"')
