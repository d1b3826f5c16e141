"""Asks runners when they started, which tells a process from the one before it.

A runner can start again under its name and address as another software version, and
serve before its entry in the runner list says so.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yarl import URL

from primroseford.bounded_http import read_limited
from primroseford.platform.runner_calls import REPORT_PATH
from primroseford.platform.runner_calls import REPORT_STATUS
from primroseford.platform.runner_calls import decode_start

if TYPE_CHECKING:
    import aiohttp

    from primroseford.gateway.runners import RunnerEntry

MAX_REPORT_BYTES = 256 * 1024
"""Longest report: some hundred bytes, and some dozen for each request in progress."""


async def ask_start(
    session: aiohttp.ClientSession, entry: RunnerEntry, timeout: aiohttp.ClientTimeout
) -> int | None:
    """Return when the process at a runner's address started.

    :returns: Unix time in milliseconds; ``None`` if it does not tell
    :raises Exception: one of ``EXCHANGE_ERRORS`` or ``TimeoutError`` if there is no
        complete response
    """
    url = URL(f"http://{entry.address}{REPORT_PATH}", encoded=True)
    async with session.get(url, timeout=timeout, allow_redirects=False) as response:
        if response.status != REPORT_STATUS:
            return None
        return decode_start(await read_limited(response, MAX_REPORT_BYTES))
