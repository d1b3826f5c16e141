"""Polls load reports and cache events of the runners that this host uses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from mode import Service

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
"""Bounds the cost: 10 pools with 16 runners each are then polled every 1.6 s."""
POLL_TIMEOUT_SECONDS = 1.0
IDLE_ROUNDS = 4
"""Rounds for one poll of a runner that this host sends nothing to. Polls were the
largest part of an idle host's processor time. With a report that is 0.5 s old, a
runner that leaves is still noticed within 2 s."""
IN_USE_SECONDS = 2.0
FORGET_ROUNDS = 20
"""A pass over all runners of the tables; 10,000 of them take several milliseconds."""
CACHE_ROUNDS = 8
MAX_PREFIX_CHARACTERS = 64


class LoadPoller(Service):
    """Keeps the tracker's load reports fresh.

    :param store: configuration in force
    :param tracker: where reports go
    :param session: HTTP session towards runners
    :param fed: runners to which this host sends batch items; they are polled also
        outside the subset
    """

    def __init__(
        self,
        store: ConfigurationStore,
        tracker: RunnerTracker,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        fed: Callable[[], Iterable[RunnerView]] = tuple,
    ) -> None:
        super().__init__()
        self.pools: object = None
        self.store = store
        self.tracker = tracker
        self.session = session
        self.fed = fed
        self.failures = metrics.counter(
            "load_poll_failures_total", "Load reports that could not be read"
        )

    @Service.task
    async def poll(self) -> None:
        """Poll all runners in use, again and again."""
        rounds = 0
        while not self.should_stop:
            if rounds % FORGET_ROUNDS == 0:
                self.pools = None
            views = self.views_due(rounds)
            await self.poll_round(views, rounds % CACHE_ROUNDS == 0)
            rounds += 1
            await self.sleep(max(POLL_SECONDS, len(views) / MAX_POLLS_PER_SECOND))

    def views_in_use(self) -> list[RunnerView]:
        """Return the runners of the engine pools' subsets, each once."""
        tables = self.store.current()
        if tables.pools is not self.pools:
            self.pools = tables.pools
            self.tracker.forget_unused(tables.pools.values())
        found = {
            id(view): view
            for pool in tables.pools.values()
            if pool.runner_kind is PoolKind.ENGINE
            for view in self.tracker.pool_views(pool)
        }
        # A runner that reported itself leaving is in no subset; it is polled on,
        # since it may take the report back.
        for view in self.tracker.views.values():
            if view.report_leaving:
                found[id(view)] = view
        found |= {id(view): view for view in self.fed()}
        return list(found.values())

    def views_due(self, rounds: int) -> list[RunnerView]:
        """Return the runners to poll in a round.

        :param rounds: number of the round
        """
        views = self.views_in_use()
        if rounds % IDLE_ROUNDS == 0:
            return views
        return [view for view in views if self._busy(view)]

    def _busy(self, view: RunnerView) -> bool:
        if view.in_flight:
            return True
        now = self.tracker.clock()
        return bool(view.samples) and now - view.samples[-1][0] < IN_USE_SECONDS

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
            self.tracker.report(view, report)
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
        async with self.session.get(url, timeout=timeout) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            return await answer.json()


def create_load_poller(
    store: ConfigurationStore,
    tracker: RunnerTracker,
    session: aiohttp.ClientSession,
    metrics: Metrics,
    fed: Callable[[], Iterable[RunnerView]] = tuple,
) -> LoadPoller:
    """Return a poller that is ready to start.

    :param store: configuration in force
    :param tracker: where reports go
    :param session: HTTP session towards runners
    :param fed: runners to which this host sends batch items
    """
    return LoadPoller(store, tracker, session, metrics, fed)
