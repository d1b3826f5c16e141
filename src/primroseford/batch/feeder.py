"""Feeder of one runner: starts and preempts batch items and records their answers."""

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
from primroseford.batch.claimed_chunk import record_answer
from primroseford.batch.claimed_chunk import requeue_item
from primroseford.batch.counters import BatchCounters
from primroseford.batch.counters import create_batch_counters
from primroseford.batch.decisions import NextStep
from primroseford.batch.results import request_id
from primroseford.batch.runners import ItemRequest
from primroseford.batch.schedule import FairShares
from primroseford.batch.schedule import charge_cost
from primroseford.batch.schedule import next_organisation
from primroseford.batch.schedule import update_waiting
from primroseford.batch.selection import Candidate
from primroseford.batch.selection import startable_items
from primroseford.batch.window import ONLINE_IDLE_SECONDS
from primroseford.batch.window import LoadReport
from primroseford.batch.window import RunningItem
from primroseford.batch.window import Sample
from primroseford.batch.window import add_sample
from primroseford.batch.window import batch_window
from primroseford.batch.window import nonrepeatable_slots
from primroseford.batch.window import select_preempted
from primroseford.batch.window import unreported_load
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.metrics import Metrics
from primroseford.routing.match import match_route
from primroseford.routing.tracker import MAX_RETRY_AFTER_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from primroseford.batch.chunk_lifecycle import ClaimableJobs
    from primroseford.batch.claimed_chunk import ClaimedChunk
    from primroseford.batch.claimed_chunk import Claimer
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
"""Longest wait for a rate limit token; a waiting item occupies a slot of the runner."""
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 5.0
TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 1.0
"""Tick of a feeder without chunks. Changes of jobs, hosts, tables and online load wake
it at once; the tick only retries claims and reads load reports."""

log = structlog.get_logger()


@dataclass
class FeederContext:
    """Dependencies that the feeders of a host share.

    :param limiter: rate limiter of the organisations
    :param load_report: returns a runner's last load report: time of measurement, in
        seconds of the clock, and requests in flight
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
class InFlightItem:
    """An item in flight.

    :param start_number: increases with each started item
    :param preempted: its task has been cancelled
    """

    start_number: int
    candidate: Candidate
    task: asyncio.Task | None = None
    preempted: bool = False


@dataclass
class RunnerFeeder:
    """Feeder of one runner. Times are in seconds of the context's clock.

    :param in_flight_items: items in flight by start number
    :param paused_until: no item starts before, after a refusal or failure of the runner
    :param blocked_until: by organisation, no item starts before, after its rate limit
        or another error
    :param claim_after: by job, no claim starts before
    :param write_after: by chunk, no write starts before
    :param history: requests in flight by time, to compare with load reports
    :param last_online_at: last time with online load on the runner
    :param tasks: writes and claims in progress
    :param claiming: a claim is in progress
    """

    context: FeederContext
    pool: Pool
    runner: Runner
    claimed_chunks: list[ClaimedChunk] = field(default_factory=list)
    in_flight_items: dict[int, InFlightItem] = field(default_factory=dict)
    shares: FairShares = FairShares()
    start_count: int = 0
    paused_until: float = 0.0
    consecutive_failures: int = 0
    blocked_until: dict[str, float] = field(default_factory=dict)
    claim_after: dict[str, float] = field(default_factory=dict)
    write_after: dict[str, float] = field(default_factory=dict)
    history: deque[Sample] = field(default_factory=deque)
    last_online_at: float = -math.inf
    tasks: set[asyncio.Task] = field(default_factory=set)
    claiming: bool = False
    claimable_cache: ClaimableJobs | None = None
    stopping: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def window(self) -> int:
        """Return the slots that batch may use now, before headroom is subtracted."""
        context, name = self.context, self.runner.name
        report = context.load_report(name)
        unreported = unreported_load(
            LoadReport(*report) if report else None, self.history
        )
        online = context.load.online(name)
        if online or unreported:
            self.last_online_at = context.clock()
        return batch_window(self.pool.max_in_flight, online, unreported, 0)

    def headroom(self) -> int:
        """Return the slots to reserve for online; none without recent online load."""
        quiet = self.context.clock() - self.last_online_at >= ONLINE_IDLE_SECONDS
        return 0 if quiet else self.pool.batch.headroom

    def step(self) -> None:
        """Preempt and start items according to window, jobs and rates."""
        window = self.window()
        self._sample_in_flight()
        self._drop_ended_chunks()
        # Items are preempted only once online requests use more than half of the
        # headroom, since a preempted item loses its work.
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

    def _drop_ended_chunks(self) -> None:
        for chunk in self.claimed_chunks:
            if chunk.closed or not self.context.index.is_active(chunk.name):
                chunk.withdrawn.update(chunk.pending)
                chunk.pending.clear()
                for in_flight_item in self.in_flight_items.values():
                    if (
                        in_flight_item.candidate.chunk is chunk
                        and in_flight_item.candidate.repeatable
                    ):
                        self._cancel(in_flight_item)
        for chunk in self.claimed_chunks:
            if chunk.closed:
                self.context.claimer.unregister(chunk)
        self.claimed_chunks = [
            chunk for chunk in self.claimed_chunks if not chunk.closed
        ]

    def _preempt(self, window: int) -> None:
        kept = [f for f in self.in_flight_items.values() if not f.preempted]
        running = [RunningItem(f.start_number, f.candidate.repeatable) for f in kept]
        for item in select_preempted(running, window):
            self.context.counters.preemptions.inc()
            self._cancel(self.in_flight_items[item.start_number])

    def _cancel(self, in_flight_item: InFlightItem) -> None:
        if in_flight_item.task is not None and not in_flight_item.preempted:
            in_flight_item.preempted = True
            in_flight_item.task.cancel()

    def _start_items(self, window: int) -> None:
        nonrepeatable = nonrepeatable_slots(
            self.pool.max_in_flight, self.pool.batch, window
        )
        while len(self.in_flight_items) < window:
            candidates = startable_items(self, nonrepeatable)
            self.shares = update_waiting(self.shares, candidates.keys())
            organisation = next_organisation(self.shares)
            if organisation is None:
                return
            self._start(organisation, candidates[organisation])

    def _start(self, organisation: str, candidate: Candidate) -> None:
        candidate.chunk.pending.remove(candidate.index)
        candidate.chunk.running.add(candidate.index)
        self.start_count += 1
        in_flight_item = InFlightItem(self.start_count, candidate)
        self.in_flight_items[in_flight_item.start_number] = in_flight_item
        self._charge(candidate, 1)
        in_flight_item.task = asyncio.create_task(self._send(candidate))
        in_flight_item.task.add_done_callback(
            functools.partial(self._on_item_done, in_flight_item)
        )
        self._sample_in_flight()

    def _charge(self, candidate: Candidate, sign: int) -> None:
        name = candidate.chunk.job.organisation
        record = self.context.configuration.current().organisations.get(name)
        weight = record.weight if record else 1.0
        cost = sign * candidate.chunk.items[candidate.index].cost
        self.shares = charge_cost(self.shares, name, cost, weight)

    def _sample_in_flight(self) -> None:
        in_flight = len(self.in_flight_items) + self.context.load.online(
            self.runner.name
        )
        add_sample(self.history, self.context.clock(), in_flight)

    def _on_item_done(self, in_flight_item: InFlightItem, task: asyncio.Task) -> None:
        # A done callback, since it also runs for a task that is cancelled before its
        # first step.
        candidate = in_flight_item.candidate
        del self.in_flight_items[in_flight_item.start_number]
        error = None if task.cancelled() else task.exception()
        if task.cancelled():
            self._handle_cancelled(candidate)
        elif error is not None:
            self._handle_error(candidate, error)
        elif task.result() is None:
            requeue_item(candidate.chunk, candidate.index)
        else:
            self._handle_answer(candidate, task.result())
        self._sample_in_flight()
        self.wake.set()

    async def _send(self, candidate: Candidate) -> ItemAnswer | None:
        context, chunk = self.context, candidate.chunk
        deadline = context.clock() + TOKEN_WAIT_SECONDS
        permit = await context.limiter.acquire(
            chunk.job.organisation, 1, deadline, batch=True
        )
        sent = False
        try:
            if not candidate.repeatable and not await self._declare(candidate):
                return None
            if chunk.closed or not context.index.is_active(chunk.name):
                return None
            sent = True
            answer = await context.run_item(self._request(candidate))
            sent = answer.outcome is not Outcome.NOT_RUN
            return answer
        finally:
            if not sent:
                refund = permit.refund()
                if inspect.isawaitable(refund):
                    await refund

    async def _declare(self, candidate: Candidate) -> bool:
        chunk = candidate.chunk
        async with chunk.lock:
            if candidate.index in chunk.state.intents and not chunk.closed:
                return True
            # One write declares all running items, also those that wait for the lock.
            return await declare_intents(self.context.jobs, chunk, set(chunk.running))

    def _request(self, candidate: Candidate) -> ItemRequest:
        chunk, item = candidate.chunk, candidate.chunk.items[candidate.index]
        return ItemRequest(
            pool=self.pool,
            runner=self.runner,
            path=item.url,
            body=item.body,
            request_id=request_id(chunk.name, chunk.number, candidate.index),
            timeout_seconds=candidate.route.timeout_seconds,
        )

    def _handle_answer(self, candidate: Candidate, answer: ItemAnswer) -> None:
        refused = answer.outcome is Outcome.NOT_RUN
        self.consecutive_failures = (
            self.consecutive_failures + 1 if refused or answer.died else 0
        )
        if refused or answer.died:
            pause = min(
                MAX_RETRY_SECONDS,
                MIN_RETRY_SECONDS * 2 ** min(self.consecutive_failures, 8),
            )
            retry_after = min(answer.retry_after or 0.0, MAX_RETRY_AFTER_SECONDS)
            pause = max(pause, retry_after)
            self.paused_until = self.context.clock() + pause
        counters = self.context.counters
        if refused:
            counters.refusals.labels("runner").inc()
            self._charge(candidate, -1)
        step = record_answer(
            candidate.chunk, candidate.index, answer, candidate.repeatable
        )
        if step is NextStep.RETRY:
            reason = "runner_died" if answer.died else "runner_failed"
            counters.retries.labels(reason).inc()

    def _handle_error(self, candidate: Candidate, error: BaseException) -> None:
        if not isinstance(error, PrimrosefordError):
            log.error("item failed unexpectedly", error=repr(error))
        code = getattr(error, "code", None)
        reason = code.name.lower() if code is not None else "unexpected"
        self.context.counters.refusals.labels(reason).inc()
        wait = getattr(error, "retry_after", None) or MIN_RETRY_SECONDS
        until = self.context.clock() + wait
        self.blocked_until[candidate.chunk.job.organisation] = until
        self._charge(candidate, -1)
        requeue_item(candidate.chunk, candidate.index)

    def _handle_cancelled(self, candidate: Candidate) -> None:
        if candidate.repeatable:
            self._charge(candidate, -1)
            requeue_item(candidate.chunk, candidate.index)
        else:
            candidate.chunk.running.discard(candidate.index)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a write or claim in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        self.wake.set()

    async def run(self) -> None:
        """Start and preempt items on the runner until ``stop`` is called."""
        while not self.stopping:
            self.wake.clear()
            self.step()
            # asyncio.wait_for of Python 3.11 can lose a cancellation that coincides
            # with the event.
            with contextlib.suppress(TimeoutError):
                busy = self.claimed_chunks or self.in_flight_items
                tick = TICK_SECONDS if busy else IDLE_TICK_SECONDS
                async with asyncio.timeout(tick):
                    await self.wake.wait()

    async def stop(self) -> None:
        """Cancel repeatable items, wait for the others, and release the chunks."""
        self.stopping = True
        for in_flight_item in list(self.in_flight_items.values()):
            if in_flight_item.candidate.repeatable:
                self._cancel(in_flight_item)
        tasks_in_flight = [
            f.task for f in self.in_flight_items.values() if f.task is not None
        ]
        await asyncio.gather(*tasks_in_flight, *self.tasks, return_exceptions=True)
        await release_chunks(self)
