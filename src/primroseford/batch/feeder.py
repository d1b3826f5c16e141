"""The feeder of one runner: starts, steps back and collects batch items."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import inspect
import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import structlog

from primroseford.batch.chunk_lifecycle import release_chunks
from primroseford.batch.chunk_lifecycle import start_claim
from primroseford.batch.chunk_lifecycle import start_writes
from primroseford.batch.claimed_chunk import declare_intents
from primroseford.batch.claimed_chunk import put_back
from primroseford.batch.claimed_chunk import take_answer
from primroseford.batch.counters import BatchCounters
from primroseford.batch.counters import create_batch_counters
from primroseford.batch.decisions import Step
from primroseford.batch.results import request_id
from primroseford.batch.runners import ItemRequest
from primroseford.batch.schedule import Shares
from primroseford.batch.schedule import charge
from primroseford.batch.schedule import choose
from primroseford.batch.schedule import enter
from primroseford.batch.selection import Choice
from primroseford.batch.selection import choices
from primroseford.batch.window import QUIET_SECONDS
from primroseford.batch.window import LoadReport
from primroseford.batch.window import Running
from primroseford.batch.window import Sample
from primroseford.batch.window import add_sample
from primroseford.batch.window import batch_window
from primroseford.batch.window import choose_preempted
from primroseford.batch.window import nonrepeatable_places
from primroseford.batch.window import unseen_load
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.metrics import Metrics
from primroseford.routing.match import match_route
from primroseford.routing.tracker import MAX_RETRY_AFTER_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from primroseford.batch.chunk_lifecycle import Claimable
    from primroseford.batch.claimed_chunk import Claimer
    from primroseford.batch.claimed_chunk import Work
    from primroseford.batch.index import JobIndex
    from primroseford.batch.jobs import JobStore
    from primroseford.batch.load import LoadView
    from primroseford.batch.runners import ItemAnswer
    from primroseford.batch.runners import RunItem
    from primroseford.batch.state import Job
    from primroseford.clock import Clock
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Runner

TOKEN_WAIT_SECONDS = 0.05
"""Longest wait for a token, since a waiting item holds a place on the runner."""
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 5.0
TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 1.0
"""A feeder without chunks is woken by jobs, hosts, tables and online load; the tick
only repeats claims and follows load reports."""

log = structlog.get_logger()


@dataclass
class FeederContext:
    """What the feeders of a host share.

    :param limiter: rates of the organisations
    :param load_report: the runner's last load report: when it was measured, in
        seconds of the clock, and the requests in flight then
    :param live: incarnations of the live hosts
    """

    jobs: JobStore
    claimer: Claimer
    run_item: RunItem
    limiter: object
    configuration: ConfigurationStore
    clock: Clock
    index: JobIndex
    load: LoadView
    load_report: Callable[[str], tuple[float, int] | None]
    live: Callable[[], frozenset[str]]
    counters: BatchCounters = field(
        default_factory=lambda: create_batch_counters(Metrics())
    )


@dataclass(eq=False)
class Flight:
    """An item in flight."""

    order: int
    choice: Choice
    task: asyncio.Task | None = None
    preempted: bool = False


@dataclass
class RunnerFeeder:
    """State of one runner's feeder.

    :param paused_until: the runner refused or was down; nothing starts before
    :param history: requests in flight by time, to compare with load reports
    :param online_at: when online load was last seen, in seconds of the clock
    """

    context: FeederContext
    pool: Pool
    runner: Runner
    claimed_chunks: list[Work] = field(default_factory=list)
    in_flight_items: dict[int, Flight] = field(default_factory=dict)
    shares: Shares = Shares()
    started: int = 0
    paused_until: float = 0.0
    failures: int = 0
    blocked: dict[str, float] = field(default_factory=dict)
    claim_after: dict[str, float] = field(default_factory=dict)
    save_after: dict[str, float] = field(default_factory=dict)
    history: deque[Sample] = field(default_factory=deque)
    online_at: float = -math.inf
    tasks: set[asyncio.Task] = field(default_factory=set)
    claiming: bool = False
    claimable: Claimable | None = None
    stopping: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def window(self) -> int:
        """Return the places that batch may use now, without headroom taken off."""
        context, name = self.context, self.runner.name
        found = context.load_report(name)
        unseen = unseen_load(LoadReport(*found) if found else None, self.history)
        online = context.load.online(name)
        if online or unseen:
            self.online_at = context.clock()
        return batch_window(self.pool.max_in_flight, online, unseen, 0)

    def headroom(self) -> int:
        """Return the places to keep free; none once online has been quiet."""
        quiet = self.context.clock() - self.online_at >= QUIET_SECONDS
        return 0 if quiet else self.pool.batch.headroom

    def step(self) -> None:
        """Bring what runs in line with the window, jobs and rates."""
        window = self.window()
        self._note()
        self._drop_ended()
        # Arrivals use up half of the headroom before items are cancelled, since
        # each cancelled item loses its work.
        headroom = self.headroom()
        self._preempt(max(0, window - headroom // 2))
        window = max(0, window - headroom)
        if not self.stopping and self.context.clock() >= self.paused_until:
            self._start_items(window)
        start_writes(self)
        if not self.stopping:
            start_claim(self, window)

    def route_of(self, job: Job) -> Route | None:
        """Return the route of a job if it leads to this runner's pool."""
        tables = self.context.configuration.current()
        try:
            route = match_route(tables, "", job.endpoint, job.model)
        except PrimrosefordError:
            return None
        allowed = route.open or job.organisation in route.organisations
        return route if allowed and route.pool == self.pool.name else None

    def _drop_ended(self) -> None:
        for work in self.claimed_chunks:
            if work.closed or not self.context.index.is_active(work.name):
                work.unsent.update(work.pending)
                work.pending.clear()
                for flight in self.in_flight_items.values():
                    if flight.choice.work is work and flight.choice.repeatable:
                        self._cancel(flight)
        for work in self.claimed_chunks:
            if work.closed:
                self.context.claimer.drop(work)
        self.claimed_chunks = [work for work in self.claimed_chunks if not work.closed]

    def _preempt(self, window: int) -> None:
        kept = [f for f in self.in_flight_items.values() if not f.preempted]
        running = [Running(f.order, f.choice.repeatable) for f in kept]
        for item in choose_preempted(running, window):
            self.context.counters.preemptions.inc()
            self._cancel(self.in_flight_items[item.order])

    def _cancel(self, flight: Flight) -> None:
        if flight.task is not None and not flight.preempted:
            flight.preempted = True
            flight.task.cancel()

    def _start_items(self, window: int) -> None:
        share = nonrepeatable_places(self.pool.max_in_flight, self.pool.batch, window)
        while len(self.in_flight_items) < window:
            found = choices(self, share)
            self.shares = enter(self.shares, found.keys())
            organisation = choose(self.shares)
            if organisation is None:
                return
            self._start(organisation, found[organisation])

    def _start(self, organisation: str, choice: Choice) -> None:
        choice.work.pending.remove(choice.index)
        choice.work.running.add(choice.index)
        self.started += 1
        flight = Flight(self.started, choice)
        self.in_flight_items[flight.order] = flight
        self._charge(choice, 1)
        flight.task = asyncio.create_task(self._send(choice))
        flight.task.add_done_callback(functools.partial(self._landed, flight))
        self._note()

    def _charge(self, choice: Choice, sign: int) -> None:
        name = choice.work.job.organisation
        record = self.context.configuration.current().organisations.get(name)
        weight = record.weight if record else 1.0
        cost = sign * choice.work.items[choice.index].cost
        self.shares = charge(self.shares, name, cost, weight)

    def _note(self) -> None:
        known = len(self.in_flight_items) + self.context.load.online(self.runner.name)
        add_sample(self.history, self.context.clock(), known)

    def _landed(self, flight: Flight, task: asyncio.Task) -> None:
        # A callback also runs for a task that is cancelled before its first step.
        choice = flight.choice
        del self.in_flight_items[flight.order]
        error = None if task.cancelled() else task.exception()
        if task.cancelled():
            self._land_cancelled(choice)
        elif error is not None:
            self._land_refused(choice, error)
        elif task.result() is None:
            put_back(choice.work, choice.index)
        else:
            self._handle_answer(choice, task.result())
        self._note()
        self.wake.set()

    async def _send(self, choice: Choice) -> ItemAnswer | None:
        context, work = self.context, choice.work
        deadline = context.clock() + TOKEN_WAIT_SECONDS
        permit = await context.limiter.acquire(
            work.job.organisation, 1, deadline, batch=True
        )
        sent = False
        try:
            if not choice.repeatable and not await self._declare(choice):
                return None
            if work.closed or not context.index.is_active(work.name):
                return None
            sent = True
            answer = await context.run_item(self._request(choice))
            sent = answer.outcome is not Outcome.NOT_RUN
            return answer
        finally:
            if not sent:
                given = permit.refund()
                if inspect.isawaitable(given):
                    await given

    async def _declare(self, choice: Choice) -> bool:
        work = choice.work
        async with work.lock:
            if choice.index in work.state.intents and not work.closed:
                return True
            # One write declares all items that wait for the lock.
            return await declare_intents(self.context.jobs, work, set(work.running))

    def _request(self, choice: Choice) -> ItemRequest:
        work, item = choice.work, choice.work.items[choice.index]
        return ItemRequest(
            pool=self.pool,
            runner=self.runner,
            path=item.url,
            body=item.body,
            request_id=request_id(work.name, work.number, choice.index),
            timeout_seconds=choice.route.timeout_seconds,
        )

    def _handle_answer(self, choice: Choice, answer: ItemAnswer) -> None:
        refused = answer.outcome is Outcome.NOT_RUN
        self.failures = self.failures + 1 if refused or answer.died else 0
        if refused or answer.died:
            pause = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(self.failures, 8))
            asked = min(answer.retry_after or 0.0, MAX_RETRY_AFTER_SECONDS)
            pause = max(pause, asked)
            self.paused_until = self.context.clock() + pause
        counters = self.context.counters
        if refused:
            counters.refusals.labels("runner").inc()
            self._charge(choice, -1)
        step = take_answer(choice.work, choice.index, answer, choice.repeatable)
        if step is Step.ATTEMPT:
            reason = "runner_died" if answer.died else "runner_failed"
            counters.retries.labels(reason).inc()

    def _land_refused(self, choice: Choice, error: BaseException) -> None:
        if not isinstance(error, PrimrosefordError):
            log.error("item failed unexpectedly", error=repr(error))
        code = getattr(error, "code", None)
        reason = code.name.lower() if code is not None else "unexpected"
        self.context.counters.refusals.labels(reason).inc()
        wait = getattr(error, "retry_after", None) or RETRY_SECONDS
        until = self.context.clock() + wait
        self.blocked[choice.work.job.organisation] = until
        self._charge(choice, -1)
        put_back(choice.work, choice.index)

    def _land_cancelled(self, choice: Choice) -> None:
        if choice.repeatable:
            self._charge(choice, -1)
            put_back(choice.work, choice.index)
        else:
            choice.work.running.discard(choice.index)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a write or a claim beside the items."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._spawned_ended)

    def _spawned_ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        self.wake.set()

    async def run(self) -> None:
        """Feed the runner until ``stop`` is called."""
        while not self.stopping:
            self.wake.clear()
            self.step()
            # wait_for of Python 3.11 loses a cancel that meets the event.
            with contextlib.suppress(TimeoutError):
                busy = self.claimed_chunks or self.in_flight_items
                tick = TICK_SECONDS if busy else IDLE_TICK_SECONDS
                async with asyncio.timeout(tick):
                    await self.wake.wait()

    async def stop(self) -> None:
        """Cancel what may be repeated, wait for the rest, and release the chunks."""
        self.stopping = True
        for flight in list(self.in_flight_items.values()):
            if flight.choice.repeatable:
                self._cancel(flight)
        flying = [f.task for f in self.in_flight_items.values() if f.task is not None]
        await asyncio.gather(*flying, *self.tasks, return_exceptions=True)
        await release_chunks(self)
