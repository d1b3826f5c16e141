"""What runners say about themselves in the heads of their responses."""

from __future__ import annotations

from dataclasses import dataclass


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
