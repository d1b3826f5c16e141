"""Requests that wait for tokens, and what they get."""

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

    :param taken: the grants that they came from
    :param clock: local time
    """

    taken: list[requester.Taken]
    clock: Clock

    def refund(self) -> None:
        """Give the tokens back because the request did not run; once only."""
        taken, self.taken = self.taken, []
        requester.refund(taken, self.clock())


@dataclass
class Waiter:
    """A request that waits for tokens."""

    key: BucketKey
    amount: int
    since: float
    deadline: float
    future: asyncio.Future[Permit]


@dataclass
class Group:
    """The requesting side of one group.

    :param state: pure state
    :param waiters: waiting requests by account, oldest first
    :param turn: number of failed attempts to find the owner
    :param asked_at: local time of the last request
    """

    state: requester.RequesterState
    waiters: dict[BucketKey, deque[Waiter]] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    turn: int = 0
    asked_at: float = float("-inf")
