"""Polls load reports and cache events of the runners that this host uses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from mode import Service

from primroseford.configuration.tables import PoolKind
from primroseford.routing.choice import LoadReport
from primroseford.routing.tracker import apply_cache_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.configuration.store import ConfigurationStore
    from primroseford.metrics import Metrics
    from primroseford.routing.choice import RunnerView
    from primroseford.routing.tracker import RunnerTracker

POLL_SECONDS = 0.25
MAX_POLLS_PER_SECOND = 100
"""Bounds the cost: 10 pools with 16 runners each are then polled every 1.6 s."""
POLL_TIMEOUT_SECONDS = 1.0
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
            views = self.views_in_use()
            await self.poll_round(views, rounds % CACHE_ROUNDS == 0)
            rounds += 1
            await self.sleep(max(POLL_SECONDS, len(views) / MAX_POLLS_PER_SECOND))

    def views_in_use(self) -> list[RunnerView]:
        """Return the runners of the engine pools' subsets, each once."""
        pools = self.store.current().pools.values()
        self.tracker.forget_unused(pools)
        found = {
            id(view): view
            for pool in pools
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
