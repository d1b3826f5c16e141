"""``top``: show current rates of the entry hosts."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING

import aiohttp
from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.base import usage_error
from primroseford.cli.exits import Exit
from primroseford.cli.rates import compute_rates
from primroseford.cli.rates import counter_increases
from primroseford.cli.rates import read_samples

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseford.cli.rates import Rates
    from primroseford.cli.rates import Samples

FETCH_TIMEOUT_SECONDS = 2.0
"""Timeout of a scrape; hosts return their metrics without delay."""
MAX_INTERVAL_SECONDS = 3600.0
STATE_GAUGES = (
    ("gateway_evacuated_domains", "evacuated failure domains"),
    ("gateway_held_bytes", "bytes held for callers, at most by one host"),
    ("gateway_cold_runners", "cold runners"),
    ("gateway_paced_runners", "runners ramping up"),
)
"""Gauges of the state of the whole fleet that are shown below the rates if any host has
another value than 0, and their titles."""
COLUMN_TITLES = "  req/s  good  p50 ms  p99 ms  refused/s  retries/s  items/s  calls/s"


class TopCommand(BaseCommand):
    """Scrapes the metrics of hosts periodically and shows rates."""

    name = "top"
    description = "Show rates per second of the entry hosts"
    arguments = [argument("urls", "URLs of the hosts' metrics", multiple=True)]
    options = [
        *common_options(),
        option("seconds", None, "time between two scrapes", flag=False, default="2"),
        option("count", None, "number of views; 0 for no limit", False, default="0"),
    ]

    async def handle_async(self) -> CommandResult:
        """Show a view after each interval, and return the last one."""
        seconds = self._number("seconds", 0.1, MAX_INTERVAL_SECONDS)
        count = int(self._number("count", 0, 1e9))
        urls: list[str] = self.argument("urls")
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            before, views_shown = await _fetch_all(session, urls), 0
            while True:
                await asyncio.sleep(seconds)
                after = await _fetch_all(session, urls)
                result = build_view(urls, before, after, seconds)
                views_shown += 1
                if count and views_shown >= count:
                    return result
                if self.option("format") == "text":
                    for line in [*result.lines, ""]:
                        self.write_plain(line)
                before = after

    def _number(self, name: str, minimum: float, maximum: float) -> float:
        """Return the value of a numeric option.

        :raises PrimrosefordError: MISSING_FIELD if the value is not within the bounds
        """
        try:
            number = float(self.option(name))
        except ValueError:
            number = float("nan")
        if not minimum <= number <= maximum:
            raise usage_error(
                f"--{name} must be a number from {minimum} to {maximum}", f"--{name}"
            )
        return number


def build_view(
    urls: Sequence[str],
    before: Sequence[Samples | None],
    after: Sequence[Samples | None],
    seconds: float,
) -> CommandResult:
    """Return a view with one line for each host and one for all hosts together.

    :param urls: URLs of the hosts' metrics
    :param before: samples of the first scrape; ``None`` for a host that did not answer
    :param after: samples of the second scrape
    :param seconds: time between the scrapes
    """
    increases = [
        None if old is None or new is None else counter_increases(old, new)
        for old, new in zip(before, after, strict=True)
    ]
    known_increases = [
        host_increases for host_increases in increases if host_increases is not None
    ]
    total = compute_rates(known_increases, seconds)
    summary = f"{len(known_increases)} of {len(urls)} hosts"
    width = max(map(len, [summary, *urls]))
    lines, hosts = [f"{'host':<{width}}{COLUMN_TITLES}"], {}
    for url, host_increases in zip(urls, increases, strict=True):
        if host_increases is None:
            hosts[url] = None
            lines.append(f"{url:<{width}}  does not answer")
        else:
            host_rates = compute_rates([host_increases], seconds)
            hosts[url] = asdict(host_rates)
            lines.append(f"{url:<{width}}{_format_rates(host_rates)}")
    lines.append(f"{summary:<{width}}{_format_rates(total)}")
    known_samples = [samples for samples in after if samples is not None]
    states = {text: _highest(known_samples, name) for name, text in STATE_GAUGES}
    lines += [f"{text}: {value:g}" for text, value in states.items() if value]
    body = {"hosts": hosts, "total": asdict(total), "states": states}
    return CommandResult(body, lines, Exit.OK if known_increases else Exit.UNAVAILABLE)


def _highest(samples: Sequence[Samples], gauge: str) -> float:
    """Return the highest value of a gauge that any host has."""
    return max(
        (
            value
            for host in samples
            for (name, _), value in host.items()
            if name == gauge
        ),
        default=0.0,
    )


def _format_rates(rates: Rates) -> str:
    good = "" if rates.good is None else f"{rates.good:.0%}"
    return (
        f"{rates.requests:>7.1f}{good:>6}"
        f"{_format_ms(rates.median):>8}{_format_ms(rates.p99):>8}{rates.refused:>11.1f}"
        f"{rates.retries:>11.1f}{rates.items:>9.1f}{rates.calls:>9.1f}"
    )


def _format_ms(seconds: float | None) -> str:
    return "" if seconds is None else f"{seconds * 1000:.0f}"


async def _fetch_all(
    session: aiohttp.ClientSession, urls: Sequence[str]
) -> list[Samples | None]:
    return await asyncio.gather(*(_fetch_samples(session, url) for url in urls))


async def _fetch_samples(session: aiohttp.ClientSession, url: str) -> Samples | None:
    """Scrape a host's metrics.

    :returns: ``None`` if the host does not answer with metrics
    """
    try:
        async with session.get(url) as response:
            return (
                read_samples(await response.text()) if response.status == 200 else None
            )
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        # The view shows that this host does not answer.
        return None
