"""Decodes the entries with which runners register in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.ids import FailureDomainId
from primroseford.ids import PoolName
from primroseford.ids import RunnerName
from primroseford.platform.objects import DECODING_ERRORS

if TYPE_CHECKING:
    from primroseford.platform.objects import PlatformObject

RUNNER_KIND = "servers"
"""The platform calls runners ``servers``."""


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
        strings = (host, spec["service"], spec["zone"], spec["state"])
        numbers = (slots, born)
        if not all(isinstance(value, str) and value for value in strings):
            return None
        if not all(type(value) is int for value in numbers) or slots < 1:
            return None
        return RunnerEntry(
            RunnerKey(RunnerName(item.name), born),
            PoolName(spec["service"]),
            f"{host}:{int(port)}",
            FailureDomainId(spec["zone"]),
            slots,
            RunnerStage(spec["state"]),
        )
    except DECODING_ERRORS:
        return None
