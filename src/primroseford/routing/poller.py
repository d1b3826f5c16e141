"""Polls load reports and cache events of the runners that this host uses."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp
from mode import Service

from primroseford.bounded_http import read_limited
from primroseford.configuration.tables import PoolKind
from primroseford.routing.runner_selection import LoadReport
from primroseford.routing.tracker import apply_cache_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.configuration.store import ConfigurationStore
    from primroseford.metrics import Metrics
    from primroseford.routing.runner_selection import RunnerView
    from primroseford.routing.tracker import RunnerTracker

POLL_SECONDS = 0.25
MAX_POLLS_PER_SECOND = 100
"""Bounds the cost of polling: 10 pools with 16 runners each are polled every 1.6 s."""
POLL_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 1024 * 1024
"""Longest report of an engine: its load, or the cache events since the last poll."""
IDLE_POLL_ROUNDS = 4
"""Rounds between polls of a runner to which this host sends nothing. Polling was the
largest part of an idle host's processor time. With reports that are 0.5 s old, a
leaving runner is still detected within 2 s."""
RECENT_USE_SECONDS = 2.0
CLEANUP_ROUNDS = 20
"""Rounds between removals of unused runner state. Each one iterates over all runners of
the tables, which takes several milliseconds with 10,000 runners."""
CACHE_POLL_ROUNDS = 8
MAX_PREFIX_CHARACTERS = 64


class LoadPoller(Service):
    """Updates the tracker with load reports and cache events of runners.

    :param store: configuration in force
    :param tracker: runner state that the reports update
    :param session: HTTP session for runners
    :param batch_runners: returns the runners to which this host sends batch items; they
        are polled even if they are outside the subset
    """

    def __init__(
        self,
        store: ConfigurationStore,
        tracker: RunnerTracker,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        batch_runners: Callable[[], Iterable[RunnerView]] = tuple,
    ) -> None:
        super().__init__()
        self.pools: object = None
        self.store = store
        self.tracker = tracker
        self.session = session
        self.batch_runners = batch_runners
        self.failures = metrics.counter(
            "load_poll_failures_total", "Load reports that could not be read"
        )

    @Service.task
    async def poll(self) -> None:
        """Poll the runners in use periodically."""
        round_number = 0
        while not self.should_stop:
            if round_number % CLEANUP_ROUNDS == 0:
                self.pools = None
            views = self.views_to_poll(round_number)
            await self.poll_round(views, round_number % CACHE_POLL_ROUNDS == 0)
            round_number += 1
            await self.sleep(max(POLL_SECONDS, len(views) / MAX_POLLS_PER_SECOND))

    def views_in_use(self) -> list[RunnerView]:
        """Return the runners to poll at all, without duplicates."""
        tables = self.store.current()
        if tables.pools is not self.pools:
            self.pools = tables.pools
            self.tracker.remove_unused(tables.pools.values())
        views_by_id = {
            id(view): view
            for pool in tables.pools.values()
            if pool.runner_kind is PoolKind.ENGINE
            for view in self.tracker.pool_views(pool)
        }
        # A runner that reported that it is leaving is in no subset. It is still polled,
        # since a later report may say that it stays.
        for view in self.tracker.views.values():
            if view.report_leaving:
                views_by_id[id(view)] = view
        views_by_id |= {id(view): view for view in self.batch_runners()}
        return list(views_by_id.values())

    def views_to_poll(self, round_number: int) -> list[RunnerView]:
        """Return the runners to poll in a round.

        :param round_number: number of the round
        """
        views = self.views_in_use()
        if round_number % IDLE_POLL_ROUNDS == 0:
            return views
        return [view for view in views if self._is_busy(view)]

    def _is_busy(self, view: RunnerView) -> bool:
        if view.in_flight:
            return True
        now = self.tracker.clock()
        return bool(view.samples) and now - view.samples[-1][0] < RECENT_USE_SECONDS

    async def poll_round(self, views: list[RunnerView], with_cache: bool) -> None:
        """Read the load report of each runner once."""
        await asyncio.gather(*(self._poll_runner(v, with_cache) for v in views))

    async def _poll_runner(self, view: RunnerView, with_cache: bool) -> None:
        try:
            body = await self._read(view, "/v1/load")
            age = float(body["measured_ms_ago"]) / 1000
            report = LoadReport(
                int(body["running"]),
                int(body["waiting"]),
                int(body["capacity"]),
                self.tracker.clock() - age,
                bool(body.get("leaving", False)),
            )
            self.tracker.apply_report(view, report)
            if with_cache:
                path = f"/v1/cache/events?since={view.cache_sequence}"
                for event in (await self._read(view, path))["events"]:
                    prefix = str(event["prefix"])[:MAX_PREFIX_CHARACTERS]
                    apply_cache_event(view, int(event["seq"]), event["event"], prefix)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
            self.failures.inc()

    async def _read(self, view: RunnerView, path: str) -> dict:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_SECONDS)
        url = f"http://{view.runner.address}{path}"
        async with self.session.get(url, timeout=timeout) as response:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            return json.loads(await read_limited(response, MAX_RESPONSE_BYTES))


def create_load_poller(
    store: ConfigurationStore,
    tracker: RunnerTracker,
    session: aiohttp.ClientSession,
    metrics: Metrics,
    batch_runners: Callable[[], Iterable[RunnerView]] = tuple,
) -> LoadPoller:
    """Return a poller that is ready to start.

    :param store: configuration in force
    :param tracker: runner state that the reports update
    :param session: HTTP session for runners
    :param batch_runners: returns the runners to which this host sends batch items
    """
    return LoadPoller(store, tracker, session, metrics, batch_runners)
