"""Requests that wait for tokens, and the permits they receive."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.limits import requester

if TYPE_CHECKING:
    from collections import deque

    from primroseford.clock import Clock
    from primroseford.limits.bucket import BucketKey


@dataclass
class Permit:
    """Tokens taken for one request.

    :param taken: tokens taken, each with the grant they came from
    :param clock: local time
    """

    taken: list[requester.TakenTokens]
    clock: Clock

    def refund(self) -> None:
        """Refund the tokens of a request that did not run; further calls do nothing."""
        taken, self.taken = self.taken, []
        requester.refund(taken, self.clock())


@dataclass
class Waiter:
    """A request that waits for tokens.

    :param queued_at: local time from which it waits
    :param deadline: local time at which it is refused
    """

    key: BucketKey
    amount: int
    queued_at: float
    deadline: float
    future: asyncio.Future[Permit]


@dataclass
class Group:
    """This host's requests for tokens of one group of organisations.

    :param state: state of the protocol with the owner
    :param waiters: waiting requests by bucket, oldest first
    :param wake: set when a request is queued, so that the task continues
    :param task: exchange with the owner, if one is running
    :param failed_attempts: failed attempts to find the owner since its last answer
    :param requested_at: local time of the last request to the owner
    """

    state: requester.RequesterState
    waiters: dict[BucketKey, deque[Waiter]] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    failed_attempts: int = 0
    requested_at: float = float("-inf")
