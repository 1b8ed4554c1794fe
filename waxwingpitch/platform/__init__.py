"""Adapter to the platform on which a gateway runs: its names, formats and calls.

Translates between the platform's formats and waxwingpitch's own types. The adapter
makes no decisions, does not retry and supplies no defaults; no other package uses the
platform's names.
"""

from __future__ import annotations

from .documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    TARGET_PREFIX,
    decode_evacuated_zone,
    decode_routed_configuration,
    decode_target_id,
    decode_target_record,
)
from .headers import HeaderNames, decode_rate_limit
from .orders import ORDER_PATH, REPORT_PATH, decode_report, encode_order
from .ready import READY_PATH
from .settings import load_platform_settings
from .store import PlatformStore

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "HeaderNames",
    "OPERATOR_PREFIX",
    "ORDER_PATH",
    "PlatformStore",
    "READY_PATH",
    "REPORT_PATH",
    "TARGET_PREFIX",
    "decode_evacuated_zone",
    "decode_rate_limit",
    "decode_report",
    "decode_routed_configuration",
    "decode_target_id",
    "decode_target_record",
    "encode_order",
    "load_platform_settings",
]
