"""State of the runners as one host sees them."""

from __future__ import annotations

import math
import statistics
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from primroseford.configuration.tables import RunnerState
from primroseford.routing.runner_selection import MAX_TRACKED_PREFIXES
from primroseford.routing.runner_selection import RunnerView
from primroseford.routing.runner_selection import choose_runner
from primroseford.routing.runner_selection import choose_subset
from primroseford.routing.runner_selection import rank_runners

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.clock import Clock
    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Runner
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.routing.runner_selection import LoadReport

CONSECUTIVE_FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
MAX_RETRY_AFTER_SECONDS = 60.0
OUTLIER_LATENCY_RATIO = 3.0
OUTLIER_SAMPLES = 20
"""Requests per window; runners are compared by the minimum latency of a window. With
the mean, a short queue would eject a runner, its load would move to other runners, and
these would be ejected next."""
SAMPLE_SECONDS = 0.02
REPORT_SMOOTHING_SECONDS = 5.0
"""Time constant of the EWMA of reported loads. A report is already old when it
arrives; without smoothing, all hosts would choose the same apparently idle runner. In a
live benchmark run with five engines, the p99 of the time to first token was 253 ms
without smoothing and 51 ms with it."""
SUBSET_REFRESH_SECONDS = 0.5


class AttemptResult(Enum):
    """Result of an attempt on a runner, for the runner's failure statistics."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class PoolSubset:
    """Runners of a pool that this host uses; refreshed on changes and periodically."""

    def __init__(self, pool: Pool, ranked: list[Runner]) -> None:
        self.pool = pool
        self.ranked = ranked
        self.refreshed_at = -math.inf
        self.views: list[RunnerView] = []


class RunnerTracker:
    """Tracks in-flight requests, load reports and ejections of runners.

    :param host: this host
    :param domain: this host's failure domain
    :param clock: local time
    :param random: source of randomness
    :param is_leaving: returns whether the platform's runner list shows a runner as
        leaving
    """

    def __init__(
        self,
        host: HostId,
        domain: FailureDomainId,
        clock: Clock,
        random: Random,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self.host = host
        self.domain = domain
        self.clock = clock
        self.random = random
        self.is_leaving = is_leaving
        self.views: dict[tuple[str, str], RunnerView] = {}
        self.by_name: dict[str, list[RunnerView]] = {}
        self.subsets: dict[str, PoolSubset] = {}
        self.online_callbacks: list[Callable[[str], None]] = []

    def on_online_change(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with a runner's name when its online requests change."""
        self.online_callbacks.append(callback)

    def online_in_flight(self, runner: str) -> int:
        """Return this host's online requests in flight on a runner.

        :param runner: name of the runner
        """
        return sum(view.online for view in self.by_name.get(runner, ()))

    def reported_load(self, runner: str) -> tuple[float, int] | None:
        """Return when a runner's last load report was measured, and the load.

        :param runner: name of the runner
        :returns: local time in seconds, and the sum of running and waiting requests
        """
        for view in self.by_name.get(runner, ()):
            if view.report is not None:
                report = view.report
                return report.measured_at, report.running + report.waiting
        return None

    def pool_views(self, pool: Pool) -> list[RunnerView]:
        """Return the runners of a pool that this host uses."""
        now = self.clock()
        subset = self.subsets.get(pool.name)
        if subset is None or subset.pool is not pool:
            subset = PoolSubset(pool, rank_runners(pool.runners, self.host))
            self.subsets[pool.name] = subset
        if now - subset.refreshed_at >= SUBSET_REFRESH_SECONDS:
            subset.refreshed_at = now
            subset.views = self._select(pool, subset.ranked)
        return subset.views

    def _accepts_new_requests(self, runner: Runner) -> bool:
        if runner.state is not RunnerState.READY or self.is_leaving(runner.name):
            return False
        view = self.views.get((runner.name, runner.address))
        return view is None or not view.report_leaving

    def _select(self, pool: Pool, ranked: list[Runner]) -> list[RunnerView]:
        selected = choose_subset(ranked, self.domain, self._accepts_new_requests)
        return [self.view_of(pool, runner) for runner in selected]

    def view_of(self, pool: Pool, runner: Runner) -> RunnerView:
        """Return the state of a runner, which may be outside the subset.

        :param pool: the pool in force
        """
        key = (runner.name, runner.address)
        view = self.views.get(key)
        if view is None:
            view = RunnerView(runner, pool.max_in_flight)
            view.capacity = pool.max_in_flight
            self.views[key] = view
            self.by_name.setdefault(runner.name, []).append(view)
        view.runner = runner
        view.limit = pool.max_in_flight
        return view

    def remove_unused(self, pools: Iterable[Pool]) -> None:
        """Remove the state of runners and pools that are no longer configured."""
        pools = list(pools)
        used_runners = {(r.name, r.address) for pool in pools for r in pool.runners}
        pool_names = {pool.name for pool in pools}
        for key in [k for k, v in self.views.items() if k not in used_runners]:
            if not self.views[key].in_flight:
                self._remove(key)
        for name in [n for n in self.subsets if n not in pool_names]:
            del self.subsets[name]

    def _remove(self, key: tuple[str, str]) -> None:
        view = self.views.pop(key)
        name, _ = key
        self.by_name[name].remove(view)
        if not self.by_name[name]:
            del self.by_name[name]

    def choose(
        self, pool: Pool, prefix: str | None, excluded: Iterable[RunnerView] = ()
    ) -> RunnerView | None:
        """Return a runner with a free slot, or none.

        :param pool: the pool in force
        :param prefix: start of the prompt, if any
        :param excluded: runners that already failed this request; used only if there is
            no other
        """
        views = self.pool_views(pool)
        if excluded:
            views = [v for v in views if v not in excluded] or views
        return choose_runner(views, prefix, self.clock(), self.random, self.domain)

    def start(
        self, view: RunnerView, prefix: str | None = None, batch: bool = False
    ) -> None:
        """Count a request that is about to be sent."""
        if batch:
            view.batch += 1
        else:
            view.online += 1
            self._online_changed(view)
        self._record_in_flight(view)
        if prefix is not None:
            add_prefix(view, prefix)

    def finish(
        self,
        view: RunnerView,
        result: AttemptResult,
        latency: float | None = None,
        retry_after: float | None = None,
        batch: bool = False,
    ) -> None:
        """Record the end of a request on a runner.

        :param latency: seconds to the first byte of the response
        :param retry_after: seconds in the runner's ``Retry-After`` header, if any
        """
        if batch:
            view.batch -= 1
        else:
            view.online -= 1
            self._online_changed(view)
        self._record_in_flight(view)
        now = self.clock()
        if result is AttemptResult.FAILED:
            view.failures += 1
            if view.failures >= CONSECUTIVE_FAILURES_TO_EJECT or view.probing:
                self._eject(view, now)
        elif result is AttemptResult.SUCCEEDED:
            # The latency of batch items is not measured, so that they cannot readmit a
            # runner that was ejected as slow.
            if not (batch and view.ejected_as_slow):
                self._record_success(view, latency, now)
        elif result is AttemptResult.REFUSED and retry_after is not None:
            pause = min(retry_after, MAX_RETRY_AFTER_SECONDS)
            view.unavailable_until = max(view.unavailable_until, now + pause)

    def _online_changed(self, view: RunnerView) -> None:
        for callback in self.online_callbacks:
            callback(view.runner.name)

    def _record_success(
        self, view: RunnerView, latency: float | None, now: float
    ) -> None:
        view.failures = 0
        if view.probing and now >= view.unavailable_until:
            slow = view.ejected_as_slow and latency is not None
            if slow and self._is_outlier(view, latency):
                # Without this check, a whole window of slow responses would pass before
                # the runner is ejected again.
                self._eject(view, now)
                return
            view.probing = view.ejected_as_slow = False
            view.latency_count = 0
            view.window_latency = math.inf
        if latency is not None:
            self._record_latency(view, latency, now)

    def _is_outlier(self, view: RunnerView, latency: float) -> bool:
        latencies = [
            other.latency
            for other in self._subset_views(view)
            if other is not view and other.latency_count >= OUTLIER_SAMPLES
        ]
        if len(latencies) < 2:
            return False
        return latency > OUTLIER_LATENCY_RATIO * statistics.median(latencies)

    def _eject(self, view: RunnerView, now: float) -> None:
        pause = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2**view.ejections)
        view.ejections = min(view.ejections + 1, 16)
        view.unavailable_until = max(view.unavailable_until, now + pause)
        view.probing = True
        view.failures = 0

    def _record_latency(self, view: RunnerView, latency: float, now: float) -> None:
        view.window_latency = min(view.window_latency, latency)
        view.latency_count += 1
        if view.latency_count % OUTLIER_SAMPLES:
            return
        view.latency, view.window_latency = view.window_latency, math.inf
        if not self._is_outlier(view, view.latency):
            view.ejections = max(0, view.ejections - 1)
            return
        peers = self._subset_views(view)
        ejected = sum(now < v.unavailable_until or v.probing for v in peers)
        if ejected < len(peers) // 3:
            self._eject(view, now)
            view.ejected_as_slow = True

    def _subset_views(self, view: RunnerView) -> list[RunnerView]:
        for subset in self.subsets.values():
            if view in subset.views:
                return subset.views
        return []

    def apply_report(self, view: RunnerView, report: LoadReport) -> None:
        """Update a runner's state with a load report.

        This host's own requests in flight at the time of the measurement are
        subtracted, which leaves the load of other hosts.
        """
        own = 0
        for at, in_flight in view.samples:
            if at > report.measured_at:
                break
            own = in_flight
        other_load = max(0, report.running + report.waiting - own)
        elapsed = max(0.0, report.measured_at - view.reported_at)
        weight = 1 - math.exp(-elapsed / REPORT_SMOOTHING_SECONDS)
        view.other_load += weight * (other_load - view.other_load)
        view.report = report
        view.capacity = max(1, report.capacity)
        view.reported_at = report.measured_at
        view.report_leaving = report.leaving

    def _record_in_flight(self, view: RunnerView) -> None:
        now = self.clock()
        samples = view.samples
        if samples and now - samples[-1][0] < SAMPLE_SECONDS:
            samples[-1] = (samples[-1][0], view.in_flight)
        else:
            samples.append((now, view.in_flight))

    def seconds_until_available(self, pool: Pool) -> float | None:
        """Return the seconds until a runner of a pool is available.

        :returns: 0 if a runner is not paused or ejected; none if the pool has no runner
        """
        views = [v for v in self.pool_views(pool) if not v.report_leaving]
        if not views:
            return None
        now = self.clock()
        return max(0.0, min(v.unavailable_until for v in views) - now)


def add_prefix(view: RunnerView, prefix: str) -> None:
    """Record that a runner probably has a prompt prefix cached."""
    view.prefixes[prefix] = None
    view.prefixes.move_to_end(prefix)
    if len(view.prefixes) > MAX_TRACKED_PREFIXES:
        view.prefixes.popitem(last=False)


def apply_cache_event(view: RunnerView, sequence: int, event: str, prefix: str) -> None:
    """Apply a cache event; events may be delayed, and some may be missing.

    :param sequence: sequence number of the event at the runner
    :param event: ``"stored"`` or ``"removed"``
    :param prefix: start of the prompt
    """
    if sequence < view.cache_sequence:
        return
    view.cache_sequence = sequence + 1
    if event == "stored":
        add_prefix(view, prefix)
    elif event == "removed":
        view.prefixes.pop(prefix, None)


def create_runner_tracker(
    host: HostId,
    domain: FailureDomainId,
    clock: Clock,
    random: Random | None = None,
    is_leaving: Callable[[str], bool] = lambda name: False,
) -> RunnerTracker:
    """Return a tracker without runners.

    :param is_leaving: ``Membership.is_leaving``
    """
    return RunnerTracker(host, domain, clock, random or Random(), is_leaving)
