"""Sends one item to a runner over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from primroseford.batch.results import MAX_ANSWER_BYTES
from primroseford.errors import Outcome

if TYPE_CHECKING:
    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Runner

CANCEL_SECONDS = 2.0


@dataclass(frozen=True)
class ItemRequest:
    """One item on its way to a runner.

    :param request_id: the same on each attempt, so that a runner can tell
    """

    pool: Pool
    runner: Runner
    path: str
    body: dict
    request_id: str
    timeout_seconds: float


@dataclass(frozen=True)
class ItemAnswer:
    """What came of sending an item.

    :param status: HTTP status; 0 if no answer arrived
    :param outcome: whether the item ran
    :param died: the connection broke or the answer never came
    """

    status: int
    body: bytes
    outcome: Outcome
    died: bool = False


RunItem = Callable[[ItemRequest], Awaitable[ItemAnswer]]


def create_run_item(session: aiohttp.ClientSession) -> RunItem:
    """Return a function that posts one item to a runner.

    A cancelled call also cancels the item at the runner.

    :param session: HTTP session towards runners
    """

    async def run_item(request: ItemRequest) -> ItemAnswer:
        url = f"http://{request.runner.address}"
        try:
            return await _post(session, url, request)
        except aiohttp.ClientConnectorError:
            return ItemAnswer(0, b"", Outcome.NOT_RUN, died=True)
        except (aiohttp.ClientError, TimeoutError, OSError):
            await _cancel(session, url, request.request_id)
            return ItemAnswer(0, b"", Outcome.MAY_HAVE_RUN, died=True)
        except asyncio.CancelledError:
            await asyncio.shield(_cancel(session, url, request.request_id))
            raise

    return run_item


async def _post(
    session: aiohttp.ClientSession, url: str, request: ItemRequest
) -> ItemAnswer:
    headers = {"X-Request-Id": request.request_id, "Content-Type": "application/json"}
    async with session.post(
        url + request.path,
        data=json.dumps(request.body).encode(),
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=request.timeout_seconds),
    ) as answer:
        answered = answer.headers.get("X-Request-Id", request.request_id)
        if answered != request.request_id:
            answer.close()
            return ItemAnswer(0, b"", Outcome.MAY_HAVE_RUN)
        if answer.status in request.pool.not_run_statuses:
            return ItemAnswer(answer.status, b"", Outcome.NOT_RUN)
        body = b""
        async for block in answer.content.iter_any():
            body += block
            if len(body) > MAX_ANSWER_BYTES:
                answer.close()
                break
        return ItemAnswer(answer.status, body, Outcome.RAN)


async def _cancel(session: aiohttp.ClientSession, url: str, request_id: str) -> None:
    timeout = aiohttp.ClientTimeout(total=CANCEL_SECONDS)
    try:
        async with session.delete(f"{url}/v1/streams/{request_id}", timeout=timeout):
            pass
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
