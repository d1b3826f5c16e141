"""Decodes the entries with which runners register in the platform's store."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING
from typing import Any

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.ids import FailureDomainId
from primroseford.ids import PoolName
from primroseford.ids import RunnerName
from primroseford.ids import SoftwareVersion
from primroseford.platform.objects import DECODING_ERRORS

if TYPE_CHECKING:
    from primroseford.platform.objects import PlatformObject

RUNNER_KIND = "servers"
"""The platform calls runners ``servers``."""
MAX_SLOTS = 100_000
MAX_COLD_MS = 600_000
MAX_BORN = 2**63 - 1
MAX_PORT = 65_535
MAX_TEXT_LENGTH = 256
HOST_PATTERN = re.compile(r"[0-9A-Za-z.-]+")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def decode_runner(item: PlatformObject) -> RunnerEntry | None:
    """Decode a runner; return none if the entry is not a usable runner.

    Other writers can create entries with missing fields or wrong types.

    :param item: object of the runner list
    """
    spec = item.spec
    try:
        host, port = spec["address"].rsplit(":", 1)
        slots = spec["slots"]
        born = spec.get("born", 0)
        version = spec["version"]
        strings = (host, spec["service"], spec["zone"], spec["state"], version)
        numbers = ((slots, 1, MAX_SLOTS), (born, 0, MAX_BORN), (int(port), 1, MAX_PORT))
        if not all(
            isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH
            for value in strings
        ):
            return None
        if not HOST_PATTERN.fullmatch(host) or not PORT_PATTERN.fullmatch(port):
            return None
        if not all(
            type(value) is int and least <= value <= most
            for value, least, most in numbers
        ):
            return None
        return RunnerEntry(
            RunnerKey(RunnerName(item.name), born),
            PoolName(spec["service"]),
            f"{host}:{int(port)}",
            FailureDomainId(spec["zone"]),
            slots,
            RunnerStage(spec["state"]),
            SoftwareVersion(version),
            _decode_cold_seconds(spec.get("cold_left_ms")),
        )
    except DECODING_ERRORS:
        return None


def _decode_cold_seconds(value: Any) -> float:
    """Return for how long a runner stays cold; 0 if the value is no such time.

    The runner can be used without it.
    """
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        return 0.0
    return min(value, MAX_COLD_MS) / 1000
