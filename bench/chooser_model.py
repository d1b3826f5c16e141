"""Time to first token of runner choosers on five uneven runners and nine hosts.

A discrete-event run of the real tracker and chooser against runners with a queue:
each runner works on ``capacity`` requests together, and a request's first token comes
when it is admitted and its prefill is done. Reports are 500 ms old.
"""

from __future__ import annotations

import heapq
from collections import deque
from random import Random
from typing import TYPE_CHECKING

from primroseford.clock import ManualClock
from primroseford.configuration.tables import Pool
from primroseford.configuration.tables import Runner
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.routing.choice import LoadReport
from primroseford.routing.tracker import Result
from primroseford.routing.tracker import create_runner_tracker

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = 9
CAPACITIES = (16, 16, 12, 8, 8)
SPEEDS = (1.0, 1.0, 0.9, 0.8, 0.7)
SLOW_SPEEDS = (1.0, 1.0, 0.9, 0.8, 0.2)
PREFILL_SECONDS = 0.02
SERVICE_SECONDS = 0.4
REPORT_LAG_SECONDS = 0.5
POLL_SECONDS = 0.25
LOAD = 0.5
REQUESTS = 60_000
WARM_UP = 5_000


class ModelRunner:
    """A runner that works on a number of requests together."""

    def __init__(self, capacity: int, speed: float) -> None:
        self.capacity = capacity
        self.speed = speed
        self.running = 0
        self.waiting: deque = deque()
        self.history: deque = deque(maxlen=20_000)

    def record(self, now: float) -> None:
        """Keep the load for late reports."""
        self.history.append((now, self.running, len(self.waiting)))

    def report(self, now: float) -> LoadReport:
        """Return the load as it was 500 ms ago."""
        limit = now - REPORT_LAG_SECONDS
        while len(self.history) > 1 and self.history[1][0] <= limit:
            self.history.popleft()
        past = [entry for entry in list(self.history)[:1] if entry[0] <= limit]
        running, waiting = past[0][1:] if past else (0, 0)
        return LoadReport(running, waiting, self.capacity, limit)


def random_chooser(views, host, random):
    """Choose any runner."""
    return random.choice(views)


def round_robin_chooser():
    """Return a chooser that takes runners in turn, for each host on its own."""
    turns = [0] * HOSTS

    def choose(views, host, random):
        turns[host] += 1
        return views[turns[host] % len(views)]

    return choose


def least_reported_chooser(views, host, random):
    """Choose the runner whose last report is lowest."""
    return min(views, key=lambda v: (getattr(v, "reported_load", 0.0), random.random()))


def run_model(
    choose: Callable | None, seed: int, speeds: tuple[float, ...] = SPEEDS
) -> float:
    """Return the 99th percentile of the time to first token in seconds.

    :param choose: a naive chooser, or nothing for the system's own
    :param speeds: relative speeds of the runners
    """
    random, clock = Random(seed), ManualClock(1.0)
    runners = tuple(
        Runner(name=f"r{n}", address=f"127.0.0.1:{n + 1}", failure_domain=f"d{n % 3}")
        for n in range(len(CAPACITIES))
    )
    pool = Pool(name="p", runners=runners, max_in_flight=64)
    models = {
        r.name: ModelRunner(c, s)
        for r, c, s in zip(runners, CAPACITIES, speeds, strict=True)
    }
    trackers = [
        create_runner_tracker(
            HostId(f"h{n}"), FailureDomainId(f"d{n % 3}"), clock, Random(seed + n)
        )
        for n in range(HOSTS)
    ]
    return Model(choose, random, clock, pool, models, trackers).run()


class Model:
    """One run: events ordered by time."""

    def __init__(self, choose, random, clock, pool, models, trackers) -> None:
        self.choose = choose
        self.random = random
        self.clock = clock
        self.pool = pool
        self.models = models
        self.trackers = trackers
        self.events: list = []
        self.count = 0
        self.first_tokens: list[float] = []

    def at(self, time: float, action: Callable, *arguments) -> None:
        """Plan an action."""
        self.count += 1
        heapq.heappush(self.events, (time, self.count, action, arguments))

    def run(self) -> float:
        """Run all requests and return the percentile."""
        rate = LOAD * sum(
            m.capacity * m.speed / SERVICE_SECONDS for m in self.models.values()
        )
        time = self.clock.now
        for number in range(REQUESTS):
            time += self.random.expovariate(rate)
            self.at(time, self.arrive, number % HOSTS)
        for host in range(HOSTS):
            self.at(1.0 + host * POLL_SECONDS / HOSTS, self.poll, host, time)
        while self.events:
            self.clock.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        measured = sorted(self.first_tokens[WARM_UP:])
        return measured[int(len(measured) * 0.99)]

    def poll(self, host: int, until: float) -> None:
        """Let a host read all reports."""
        tracker = self.trackers[host]
        for view in tracker.pool_views(self.pool):
            report = self.models[view.runner.name].report(self.clock.now)
            tracker.report(view, report)
            view.reported_load = (report.running + report.waiting) / report.capacity
        if self.clock.now < until:
            self.at(self.clock.now + POLL_SECONDS, self.poll, host, until)

    def arrive(self, host: int) -> None:
        """Send one request to the chosen runner."""
        tracker = self.trackers[host]
        views = tracker.pool_views(self.pool)
        if self.choose is None:
            view = tracker.choose(self.pool, None) or views[0]
        else:
            view = self.choose(views, host, self.random)
        tracker.start(view)
        model = self.models[view.runner.name]
        model.waiting.append((host, view, self.clock.now))
        self.admit(model)

    def admit(self, model: ModelRunner) -> None:
        """Start waiting requests while the batch has room."""
        now = self.clock.now
        while model.waiting and model.running < model.capacity:
            host, view, sent = model.waiting.popleft()
            model.running += 1
            prefill = PREFILL_SECONDS / model.speed
            self.first_tokens.append(now + prefill - sent)
            length = self.random.expovariate(1.0) * SERVICE_SECONDS / model.speed
            latency = now + prefill - sent
            self.at(now + prefill + length, self.finish, model, host, view, latency)
        model.record(now)

    def finish(self, model: ModelRunner, host: int, view, latency: float) -> None:
        """End one request."""
        model.running -= 1
        self.trackers[host].finish(view, Result.SUCCEEDED, latency)
        self.admit(model)
