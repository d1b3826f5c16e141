"""What runners say about themselves in the heads of their responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class RunnerNotice:
    """Notice of a runner in one response.

    :param request_limit: requests per second that the runner accepts from all hosts
        together; ``None`` if it names no limit
    :param invalid_limit: value that is no rate, as it was received
    :param leaving: whether the runner leaves and must get no new requests
    """

    request_limit: float | None = None
    invalid_limit: str = ""
    leaving: bool = False


class ReportedLoad(NamedTuple):
    """Load that a runner reports in one response.

    It is no part of :class:`RunnerNotice`, whose changes are logged.

    :param running: requests in its slots
    :param waiting: requests in its own queue
    :param slots: requests that it processes concurrently
    :param slowness: time that work takes there at the moment, in hundredths of the
        usual time; ``None`` if it does not tell
    """

    running: int
    waiting: int
    slots: int
    slowness: int | None = None
