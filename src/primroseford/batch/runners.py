"""Sends items to runners over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from primroseford.batch.results import MAX_ANSWER_BYTES
from primroseford.configuration.tables import PoolKind
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.exchange import Attempt
from primroseford.online.exchange import RunnerRequest
from primroseford.online.exchange import send_and_read

if TYPE_CHECKING:
    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Runner

CANCEL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class ItemRequest:
    """A request that sends one item to a runner.

    :param request_id: equal on each attempt, so that a runner recognises a repeat
    """

    pool: Pool
    runner: Runner
    path: str
    body: dict
    request_id: str
    timeout_seconds: float


@dataclass(frozen=True)
class ItemAnswer:
    """Answer to an item, or the failure to get one.

    :param status: HTTP status; 0 without an answer
    :param outcome: whether the item ran
    :param died: the connection broke or the answer timed out
    :param too_large: the runner ran the item, but its answer is too large to store
    :param retry_after: the runner's ``Retry-After`` in seconds, if any
    """

    status: int
    body: bytes
    outcome: Outcome
    died: bool = False
    too_large: bool = False
    retry_after: float | None = None


RunItem = Callable[[ItemRequest], Awaitable[ItemAnswer]]


def create_run_item(session: aiohttp.ClientSession) -> RunItem:
    """Return a function that posts one item to a runner.

    If the call is cancelled or fails after sending, the item is cancelled there.

    :param session: from :func:`primroseford.online.exchange.create_runner_session`
    """

    async def run_item(request: ItemRequest) -> ItemAnswer:
        attempt = Attempt()
        try:
            reply = await send_and_read(session, _runner_call(request), attempt)
        except PrimrosefordError as error:
            if attempt.sent:
                await _cancel(session, request)
            return _error_answer(error)
        except asyncio.CancelledError:
            if attempt.sent:
                await asyncio.shield(_cancel(session, request))
            raise
        body = b"" if reply.outcome is Outcome.NOT_RUN else reply.body
        return ItemAnswer(
            reply.status, body, reply.outcome, retry_after=reply.retry_after
        )

    return run_item


def _runner_call(request: ItemRequest) -> RunnerRequest:
    return RunnerRequest(
        "POST",
        f"http://{request.runner.address}{request.path}",
        {"Content-Type": "application/json"},
        json.dumps(request.body).encode(),
        request.request_id,
        request.timeout_seconds,
        requires_echo=request.pool.runner_kind is PoolKind.ENGINE,
        not_run_statuses=request.pool.not_run_statuses,
        max_response_bytes=MAX_ANSWER_BYTES,
    )


def _error_answer(error: PrimrosefordError) -> ItemAnswer:
    too_large = error.code is ResultCode.RESULT_TOO_LARGE
    return ItemAnswer(
        0,
        b"",
        error.outcome,
        died=not too_large and error.code is not ResultCode.ANSWER_MISMATCHED,
        too_large=too_large,
    )


async def _cancel(session: aiohttp.ClientSession, request: ItemRequest) -> None:
    url = f"http://{request.runner.address}/v1/streams/{request.request_id}"
    timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
    try:
        async with session.delete(url, timeout=timeout):
            pass
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
