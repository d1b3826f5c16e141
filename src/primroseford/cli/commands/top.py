"""``top``: what the entry hosts of a fleet do now."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING

import aiohttp
from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.cli.base import usage_error
from primroseford.cli.exits import Exit
from primroseford.cli.rates import growth
from primroseford.cli.rates import rates
from primroseford.cli.rates import read_samples

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseford.cli.rates import Rates
    from primroseford.cli.rates import Samples

READ_SECONDS = 2.0
"""Time for a host's metrics, which are ready at once."""
MAX_PAUSE_SECONDS = 3600.0
HEAD = "  req/s  good  p50 ms  p99 ms  refused/s  retries/s  items/s  calls/s"


class TopCommand(BaseCommand):
    """Reads the metrics of hosts again and again."""

    name = "top"
    description = "Show what the entry hosts of a fleet do a second"
    arguments = [argument("urls", "URLs of the hosts' metrics", multiple=True)]
    options = [
        *common_options(),
        option("seconds", None, "time between two readings", flag=False, default="2"),
        option("count", None, "number of views; 0 until ended", False, default="0"),
    ]

    async def work(self) -> Answer:
        """Show views, and return the last one."""
        seconds = self._number("seconds", 0.1, MAX_PAUSE_SECONDS)
        count = int(self._number("count", 0, 1e9))
        urls: list[str] = self.argument("urls")
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            before, shown = await _read_all(session, urls), 0
            while True:
                await asyncio.sleep(seconds)
                after = await _read_all(session, urls)
                answer = describe(urls, before, after, seconds)
                shown += 1
                if count and shown >= count:
                    return answer
                if self.option("format") == "text":
                    for line in [*answer.lines, ""]:
                        self.write_plain(line)
                before = after

    def _number(self, name: str, least: float, most: float) -> float:
        """Return a numeric option.

        :raises PrimrosefordError: MISSING_FIELD
        """
        try:
            found = float(self.option(name))
        except ValueError:
            found = float("nan")
        if not least <= found <= most:
            raise usage_error(
                f"--{name} is no number in {least} to {most}", f"--{name}"
            )
        return found


def describe(
    urls: Sequence[str],
    before: Sequence[Samples | None],
    after: Sequence[Samples | None],
    seconds: float,
) -> Answer:
    """Return the view of all hosts, one line each, and of all together.

    :param before: first readings; nothing from a host that did not answer
    :param after: second readings
    :param seconds: time between them
    """
    grown = [
        None if old is None or new is None else growth(old, new)
        for old, new in zip(before, after, strict=True)
    ]
    answered = [found for found in grown if found is not None]
    total = rates(answered, seconds)
    summary = f"{len(answered)} of {len(urls)} hosts"
    width = max(map(len, [summary, *urls]))
    lines, hosts = [f"{'host':<{width}}{HEAD}"], {}
    for url, found in zip(urls, grown, strict=True):
        if found is None:
            hosts[url] = None
            lines.append(f"{url:<{width}}  does not answer")
        else:
            figures = rates([found], seconds)
            hosts[url] = asdict(figures)
            lines.append(f"{url:<{width}}{_line(figures)}")
    lines.append(f"{summary:<{width}}{_line(total)}")
    body = {"hosts": hosts, "total": asdict(total)}
    return Answer(body, lines, Exit.OK if answered else Exit.UNAVAILABLE)


def _line(found: Rates) -> str:
    good = "" if found.good is None else f"{found.good:.0%}"
    return (
        f"{found.requests:>7.1f}{good:>6}"
        f"{_ms(found.median):>8}{_ms(found.p99):>8}{found.refused:>11.1f}"
        f"{found.retries:>11.1f}{found.items:>9.1f}{found.calls:>9.1f}"
    )


def _ms(seconds: float | None) -> str:
    return "" if seconds is None else f"{seconds * 1000:.0f}"


async def _read_all(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> list[Samples | None]:
    return await asyncio.gather(*(_read(session, url) for url in urls))


async def _read(session: aiohttp.ClientSession, url: str) -> Samples | None:
    """Return a host's metrics; nothing if it does not answer with any."""
    try:
        async with session.get(url) as answer:
            return read_samples(await answer.text()) if answer.status == 200 else None
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        # The view says that this host does not answer.
        return None
