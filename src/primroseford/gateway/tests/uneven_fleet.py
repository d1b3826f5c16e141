"""Simulation of runners of unequal speed, on which online requests and items run.

Each host sees its own requests at once and those of the others with their heartbeats.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random
from statistics import fmean
from statistics import quantiles
from typing import NamedTuple

from primroseford.gateway.placement import MAX_DIRECT_HOSTS
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.relay import RELAY_SECONDS
from primroseford.gateway.runners import RunnerKey

RUNNERS = 60
SLOTS = 8
SLOW_RUNNERS = 15
SPEEDS = (0.55, 1.2)
"""Speeds of the first quarter of the runners and of the others."""
SLICE_SECONDS = 0.005
STEP_MS, STEP_MS_PER_REQUEST = 3.37, 0.011
TOKENS_PER_MS = 61.2
CHUNK_TOKENS = 1024
EVENT_TOKENS = 11
ONLINE_EVENTS, ITEM_EVENTS = 19, 129
SLOWNESS, SLOW_SHARE, SLOW_SECONDS = 2.5, 0.15, 0.6
SURGE, LULL = 1.87, 0.38
SURGE_SECONDS, LULL_SECONDS = 2.4, 3.4
OWN_TOKENS = 250
LARGE_TOKENS, LARGE_PARTS, LARGE_SHARE = 13_300, 25, 0.05
CACHE_PARTS = 11
"""Large parts that fit into the cache of a runner (147,261 tokens)."""
ITEMS_PER_SECOND = 13.0
"""Batch items that arrive; they keep a sixth of the slots of usual runners taken."""
FIRST_EVENT_SECONDS, PAUSE_SECONDS = 0.311, 0.4
WARM_UP_SECONDS = 8.0


@dataclass(eq=False)
class Work:
    """An online request or a batch item.

    :param part: number of its large shared part; ``None`` without one
    :param read_tokens: tokens of its prompt that are still to be read
    :param started: token count of the runner at which it began to be decoded
    :param last_event: time of its last event
    """

    host: int
    events: int
    arrived: float
    part: int | None = None
    read_tokens: float = OWN_TOKENS
    started: float = 0.0
    seen: int = 0
    first: float = 0.0
    last_event: float = 0.0
    longest: float = 0.0
    found_free: bool = False
    in_flight: int = 0

    @property
    def is_item(self) -> bool:
        """Whether it is a batch item."""
        return self.events == ITEM_EVENTS


@dataclass(eq=False)
class Engine:
    """A runner that admits work in order of arrival.

    :param tokens: tokens made so far for each request that is decoded
    """

    key: RunnerKey
    speed: float
    slowness: float = 1.0
    changes_at: float = 0.0
    tokens: float = 0.0
    budget: float = 0.0
    queue: deque[Work] = field(default_factory=deque)
    reading: deque[Work] = field(default_factory=deque)
    decoding: list[Work] = field(default_factory=list)
    cache: OrderedDict[int, bool] = field(default_factory=OrderedDict)

    @property
    def in_flight(self) -> int:
        """Number of requests and items on the runner."""
        return len(self.queue) + len(self.reading) + len(self.decoding)

    def change_slowness(self, now: float, random: Random) -> None:
        """Begin or end a period in which other workloads slow the machine."""
        if now < self.changes_at:
            return
        if now == 0.0:
            is_slow = random.random() < SLOW_SHARE
        else:
            is_slow = self.slowness == 1.0
        self.slowness = SLOWNESS if is_slow else 1.0
        mean = SLOW_SECONDS if is_slow else SLOW_SECONDS * (1 / SLOW_SHARE - 1)
        self.changes_at = now + random.expovariate(1 / mean)

    def admit(self) -> list[Work]:
        """Move work from the queue to free slots and return it."""
        admitted = []
        while self.queue and len(self.reading) + len(self.decoding) < SLOTS:
            work = self.queue.popleft()
            if work.part is not None:
                if work.part not in self.cache:
                    work.read_tokens += LARGE_TOKENS
                self.cache[work.part] = True
                self.cache.move_to_end(work.part)
                if len(self.cache) > CACHE_PARTS:
                    self.cache.popitem(last=False)
            self.reading.append(work)
            admitted.append(work)
        return admitted

    def run(self, now: float) -> list[Work]:
        """Simulate one slice and return the finished work."""
        self.budget += SLICE_SECONDS * 1000 * self.speed / self.slowness
        while self.budget > 0 and (self.reading or self.decoding):
            step = STEP_MS + STEP_MS_PER_REQUEST * len(self.decoding)
            if not self.reading:
                self.tokens += self.budget / step
                self.budget = 0.0
                break
            work = self.reading[0]
            chunk = min(CHUNK_TOKENS, work.read_tokens)
            work.read_tokens -= chunk
            self.budget -= chunk / TOKENS_PER_MS
            if self.decoding:
                self.budget -= step
                self.tokens += 1
            if work.read_tokens <= 0:
                work.started = self.tokens
                self.decoding.append(self.reading.popleft())
        if not (self.reading or self.decoding):
            self.budget = 0.0
        return self._emit_events(now)

    def _emit_events(self, now: float) -> list[Work]:
        ended = []
        for work in self.decoding:
            if self.tokens - work.started < EVENT_TOKENS * (work.seen + 1):
                continue
            work.seen += 1
            if work.seen == 1:
                work.first = now
                work.in_flight = self.in_flight
            else:
                work.longest = max(work.longest, now - work.last_event)
            work.last_event = now
            if work.seen == work.events:
                ended.append(work)
        if ended:
            self.decoding = [work for work in self.decoding if work not in ended]
        return ended


class Result(NamedTuple):
    """What the callers got.

    :param late: share of online requests whose first event is late
    :param late_slow: the same at the slow quarter of the runners
    :param late_fast: the same at the others
    :param paused: share of those with a pause above the objective
    :param needless: share that waited for a slot while another runner had one
    :param slow_share: share of the online requests that the slow quarter served
    """

    late: float
    late_slow: float
    late_fast: float
    paused: float
    needless: float
    slow_share: float
    mean_ms: float
    p90_ms: float
    items: int


class Policy:
    """Chooses runners for the hosts. Derived classes use what they know of speeds."""

    def choose(
        self, fleet: Fleet, host: int, loads: list[RunnerLoad], work: Work
    ) -> int | None:
        """Return the number of the runner; ``None`` if the work must wait."""
        raise NotImplementedError

    def note_head(self, fleet: Fleet, host: int, number: int) -> None:
        """Handle the report of a runner in the head of a response."""

    def note_end(self, fleet: Fleet, work: Work, number: int) -> None:
        """Handle the end of a response."""

    def report(self, fleet: Fleet, host: int) -> object:
        """Return what a host reports on speeds in a heartbeat."""

    def apply(self, fleet: Fleet, host: int, sender: int, report: object) -> None:
        """Apply the report of another host."""


class Fleet:
    """Runners and the hosts in front of them.

    :param rate: mean number of online requests a second
    :ivar own: requests and items in flight, by host and runner
    :ivar told: the same as last reported, and their sums over the hosts
    """

    def __init__(self, hosts: int, policy: Policy, rate: float, seed: int) -> None:
        self.hosts, self.policy, self.rate = hosts, policy, rate
        self.random = Random(seed)
        self.choices = Random(seed + 1)
        self.engines = [
            Engine(RunnerKey(f"i-{n}", 1), SPEEDS[n >= SLOW_RUNNERS])
            for n in range(RUNNERS)
        ]
        self.own = [[0] * RUNNERS for _ in range(hosts)]
        self.own_items = [[0] * RUNNERS for _ in range(hosts)]
        self.told = [[0] * RUNNERS for _ in range(hosts)]
        self.told_sum = [0] * RUNNERS
        self.weights = [self.random.paretovariate(2.0) for _ in range(hosts)]
        self.waiting: list[deque[Work]] = [deque() for _ in range(hosts)]
        self.interval = heartbeat_interval(hosts)
        self.delay = RELAY_SECONDS if hosts > MAX_DIRECT_HOSTS else 0.002
        self.next_beat = [self.random.random() * self.interval for _ in range(hosts)]
        self.on_way: deque[tuple[float, int, list[int], object]] = deque()
        self.done: list[tuple[Work, int]] = []
        self.items_done = 0
        self.now = 0.0

    def loads(self, host: int) -> list[RunnerLoad]:
        """Return the loads of all runners as a host sees them."""
        own, told = self.own[host], self.told[host]
        return [
            RunnerLoad(
                engine.key,
                "a",
                SLOTS,
                self.told_sum[n] - told[n] + own[n],
                0,
            )
            for n, engine in enumerate(self.engines)
        ]

    def run(self, seconds: float) -> Result:
        """Simulate some seconds and return what the callers got."""
        for number in range(int(seconds / SLICE_SECONDS)):
            self.now = number * SLICE_SECONDS
            self._beat()
            phase = self.now % (SURGE_SECONDS + LULL_SECONDS)
            rate = self.rate * (SURGE if phase >= LULL_SECONDS else LULL)
            for _ in range(int(rate * SLICE_SECONDS + self.random.random())):
                large = self.random.random() < LARGE_SHARE
                part = self.random.randrange(LARGE_PARTS) if large else None
                self._arrive(Work(self._host(), ONLINE_EVENTS, self.now, part))
            if self.random.random() < ITEMS_PER_SECOND * SLICE_SECONDS:
                self._arrive(Work(self._host(), ITEM_EVENTS, self.now))
            for host in range(self.hosts):
                while self.waiting[host] and self._place(self.waiting[host][0]):
                    self.waiting[host].popleft()
            for n, engine in enumerate(self.engines):
                engine.change_slowness(self.now, self.random)
                for work in engine.admit():
                    self.policy.note_head(self, work.host, n)
                for work in engine.run(self.now + SLICE_SECONDS):
                    self._end(work, n)
        return self._result()

    def _host(self) -> int:
        return self.random.choices(range(self.hosts), self.weights)[0]

    def _arrive(self, work: Work) -> None:
        if self.waiting[work.host] or not self._place(work):
            work.found_free = any(engine.in_flight < SLOTS for engine in self.engines)
            self.waiting[work.host].append(work)

    def _place(self, work: Work) -> bool:
        number = self.policy.choose(self, work.host, self.loads(work.host), work)
        if number is None:
            return False
        self.own[work.host][number] += 1
        engine = self.engines[number]
        if engine.in_flight >= SLOTS:
            work.found_free = any(other.in_flight < SLOTS for other in self.engines)
        engine.queue.append(work)
        return True

    def _end(self, work: Work, number: int) -> None:
        self.own[work.host][number] -= 1
        self.policy.note_end(self, work, number)
        if work.is_item:
            self.items_done += self.now > WARM_UP_SECONDS
        elif work.arrived > WARM_UP_SECONDS:
            self.done.append((work, number))

    def _beat(self) -> None:
        for host in range(self.hosts):
            if self.next_beat[host] <= self.now:
                self.next_beat[host] += self.interval
                report = self.policy.report(self, host)
                self.on_way.append(
                    (self.now + self.delay, host, list(self.own[host]), report)
                )
        while self.on_way and self.on_way[0][0] <= self.now:
            _, sender, counts, report = self.on_way.popleft()
            for n in range(RUNNERS):
                self.told_sum[n] += counts[n] - self.told[sender][n]
            self.told[sender] = counts
            if report is not None:
                for host in range(self.hosts):
                    if host != sender:
                        self.policy.apply(self, host, sender, report)

    def _result(self) -> Result:
        def late(works: list[Work]) -> float:
            return fmean(
                w.first - w.arrived > FIRST_EVENT_SECONDS for w in works or [0]
            )

        works = [work for work, _ in self.done]
        slow = [work for work, n in self.done if n < SLOW_RUNNERS]
        fast = [work for work, n in self.done if n >= SLOW_RUNNERS]
        times = [work.first - work.arrived for work in works]
        return Result(
            late(works),
            late(slow) if slow else 0.0,
            late(fast),
            fmean(work.longest > PAUSE_SECONDS for work in works),
            fmean(work.found_free for work in works),
            len(slow) / len(works),
            1000 * fmean(times),
            1000 * quantiles(times, n=10)[8],
            self.items_done,
        )
