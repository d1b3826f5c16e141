"""Hosts with feeders and an in-memory platform, for tests."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from primroseford.batch.claimed_chunk import Claimer
from primroseford.batch.claimed_chunk import Holder
from primroseford.batch.feeder import FeederContext
from primroseford.batch.feeder import RunnerFeeder
from primroseford.batch.files import FileStore
from primroseford.batch.index import JobIndex
from primroseford.batch.jobs import JobRequest
from primroseford.batch.jobs import JobStore
from primroseford.batch.load import LoadView
from primroseford.batch.results import stream_results
from primroseford.batch.runners import ItemAnswer
from primroseford.batch.tests.conftest import ENDPOINT
from primroseford.batch.tests.conftest import MODEL
from primroseford.batch.tests.conftest import lines
from primroseford.clock import ManualClock
from primroseford.configuration.store import ConfigurationStore
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import decode_object
from primroseford.platform.objects import encode_object
from primroseford.standins.platform_state import Conflict
from primroseford.standins.platform_state import ObjectNotFound
from primroseford.standins.platform_state import PlatformState

WRITES = ("create", "update", "delete")
WAIT_SECONDS = 20.0
STEP_SECONDS = 0.0625
"""Step of the fleet's clock between two checks of a condition.

A binary fraction, so that sums of steps and differences of times are exact."""


class MemoryClient:
    """Platform client that accesses a stand-in's state directly.

    :param fault: ``fault(verb, kind, after)``, called before and after each call takes
        effect; it may raise
    """

    def __init__(self, state: PlatformState, fault=lambda verb, kind, after: None):
        self.state = state
        self.fault = fault
        self.calls: Counter[str] = Counter()

    async def _do(self, verb, kind, action):
        await asyncio.sleep(0)
        self.calls[verb] += 1
        self.fault(verb, kind, False)
        try:
            found = action()
        except ObjectNotFound as error:
            raise PrimrosefordError(ResultCode.NOT_FOUND, str(error)) from error
        except Conflict as error:
            code = ResultCode.VERSION_CONFLICT
            raise PrimrosefordError(code, str(error)) from error
        self.fault(verb, kind, True)
        return found

    async def get(self, kind, name):
        found = await self._do("get", kind, lambda: self.state.get(kind, name))
        return decode_object(kind, found)

    async def list(self, kind, selector=None):
        found = await self._do("list", kind, lambda: self.state.list(kind))
        items = [decode_object(kind, item) for item in found]
        wanted = (selector or {}).items()
        selected = tuple(item for item in items if wanted <= item.labels.items())
        return ObjectList(self.state.version, selected)

    async def create(self, kind, name, spec, labels=None):
        body = encode_object(name, spec, labels or {}, uuid.uuid4().hex)
        found = await self._do("create", kind, lambda: self.state.create(kind, body))
        return decode_object(kind, found)

    async def update(self, kind, name, spec, version, labels=None):
        body = encode_object(name, spec, labels or {}, uuid.uuid4().hex, version)
        found = await self._do("update", kind, lambda: self.state.update(kind, body))
        return decode_object(kind, found)

    async def delete(self, kind, name, version=None):
        await self._do("delete", kind, lambda: self.state.delete(kind, name, version))


class Permit:
    """A token of the fake limiter."""

    def __init__(self, limiter) -> None:
        self.limiter = limiter

    def refund(self) -> None:
        """Return the token."""
        self.limiter.refunded += 1


class Limiter:
    """A limiter that grants every request and counts tokens."""

    def __init__(self) -> None:
        self.acquired = self.refunded = 0

    async def acquire(self, organisation, amount, deadline, batch):
        """Grant a token."""
        self.acquired += 1
        return Permit(self)


def answer_ok(request) -> ItemAnswer:
    """Return the answer of a healthy runner."""
    body = json.dumps({"id": request.request_id}).encode()
    return ItemAnswer(200, body, Outcome.RAN)


class FakeRunner:
    """Counts the runs of each item; answers are delayed while ``gate`` is closed.

    With ``block_after`` the gate closes once more than that number of items started.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.answer = answer_ok
        self.gate = asyncio.Event()
        self.gate.set()
        self.active: list[str] = []
        self.max_active = 0
        self.block_after: int | None = None
        self.blocked_count = 0

    async def __call__(self, request) -> ItemAnswer:
        self.runs[request.request_id] += 1
        self.active.append(request.request_id)
        self.max_active = max(self.max_active, len(self.active))
        if self.block_after is not None and sum(self.runs.values()) > self.block_after:
            self.gate.clear()
            self.blocked_count += 1
        try:
            await asyncio.sleep(0)
            await self.gate.wait()
            return self.answer(request)
        finally:
            self.active.remove(request.request_id)


@dataclass
class FleetHost:
    """One host with the feeder of the only runner."""

    name: str
    client: MemoryClient
    feeder: RunnerFeeder
    limiter: Limiter
    task: asyncio.Task | None = None

    async def refresh(self) -> None:
        """Read the active jobs."""
        index = self.feeder.context.index
        index.replace(await self.feeder.context.jobs.active(), set(index.jobs))

    def start(self) -> None:
        """Start the feeder."""
        self.task = asyncio.create_task(self.feeder.run())

    async def kill(self) -> None:
        """Stop everything on the host at once; later platform calls have no effect."""
        tasks = [self.task, *self.feeder.tasks]
        tasks += [
            in_flight_item.task
            for in_flight_item in self.feeder.in_flight_items.values()
        ]
        self.client.fault = lambda verb, kind, after: raise_unavailable()
        self.feeder.stopping = True
        for task in tasks:
            if task is not None:
                task.cancel()
        await asyncio.gather(*filter(None, tasks), return_exceptions=True)


def raise_unavailable() -> None:
    """Raise the error of an unreachable platform."""
    raise PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE, "the platform is unreachable"
    )


@dataclass
class Fleet:
    """Hosts that share one platform state and one runner.

    :ivar live: incarnations in the membership
    :ivar load_report: last load report of the runner
    """

    repeatable: bool = True
    state: PlatformState = field(default_factory=PlatformState)
    clock: ManualClock = field(default_factory=ManualClock)
    wall_clock: ManualClock = field(
        default_factory=lambda: ManualClock(1_800_000_000.0)
    )
    live: set[str] = field(default_factory=set)
    runner: FakeRunner = field(default_factory=FakeRunner)
    load_report: tuple[float, int] | None = None

    def tables(self) -> ConfigurationStore:
        """Return tables with one pool and eight organisations."""
        store = ConfigurationStore()
        names = [f"org-{n}" for n in range(8)]
        runner = {"name": "r", "address": "127.0.0.1:1", "failure_domain": "d"}
        pool = {"runners": [runner], "max_in_flight": 16}
        match = {"models": [MODEL]}
        route = {"match": match, "pool": "vans", "organisations": names}
        rows = [("organisations", n, {"rate": 9, "burst": 9}) for n in names]
        rows.append(("pools", "vans", pool))
        rows.append(("routes", "vans", route | {"repeatable": self.repeatable}))
        store.replace(1, [PlatformObject(k, n, 1, s) for k, n, s in rows])
        return store

    def store(self, client: MemoryClient | None = None) -> JobStore:
        """Return a job store; without a client, one that does not fail with a host."""
        client = client or MemoryClient(self.state)
        return JobStore(client, FileStore(client, self.wall_clock), self.wall_clock)

    def host(self, name: str, live: bool = True) -> FleetHost:
        """Return a new host whose feeder does not run yet."""
        client, limiter = MemoryClient(self.state), Limiter()
        jobs = self.store(client)
        if live:
            self.live.add(name)
        context = FeederContext(
            jobs=jobs,
            claimer=Claimer(jobs, Holder(name, name), self.clock),
            run_item=self.runner,
            limiter=limiter,
            configuration=self.tables(),
            clock=self.clock,
            index=JobIndex(),
            load=LoadView(lambda runner: 0),
            load_report=lambda runner: self.load_report,
            live=lambda: frozenset(self.live),
        )
        pool = context.configuration.current().pools["vans"]
        feeder = RunnerFeeder(context, pool, pool.runners[0])
        return FleetHost(name, client, feeder, limiter)

    async def accept(self, count: int, organisation: str = "org-0") -> str:
        """Submit a job of ``count`` items and return its id."""

        async def blocks():
            yield lines(count, organisation)

        jobs = self.store()
        file_id, _ = await jobs.files.upload(organisation, "in", blocks())
        request = JobRequest(file_id, ENDPOINT, "24h", {}, "", 86_400.0)
        return (await jobs.submit(organisation, request))[0]

    async def results(self, name: str, completed: bool = True) -> list[dict]:
        """Return a job's output lines."""
        jobs = self.store()
        job, _ = await jobs.read(name)
        text = b"".join([b async for b in stream_results(jobs, name, job, completed)])
        return [json.loads(line) for line in text.splitlines()]

    async def state_of(self, name: str) -> str:
        """Return a job's state."""
        return (await self.store().read(name))[0].state.value

    async def until(self, condition) -> None:
        """Wait for a condition while advancing the clock."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not await condition():
                self.clock.advance(STEP_SECONDS)
                await asyncio.sleep(0.002)

    async def until_state(self, name: str, state: str) -> None:
        """Wait until a job has a state."""

        async def reached() -> bool:
            return await self.state_of(name) == state

        await self.until(reached)

    def completions(self, name: str) -> int:
        """Return how often a job was completed."""
        changes = [c for c in self.state.changes if c.kind == "jobs"]
        jobs = [decode_object("jobs", change.object) for change in changes]
        return sum(
            job.name == name and job.spec["state"] == "completed" for job in jobs
        )


def ids(count: int) -> list[str]:
    """Return the custom ids of a job in item order."""
    return [f"item-{n}" for n in range(count)]


async def started(fleet: Fleet, name: str) -> FleetHost:
    """Start a host that has read the active jobs."""
    host = fleet.host(name)
    await host.refresh()
    host.start()
    return host


async def check_complete(fleet: Fleet, name: str, count: int) -> None:
    """Check that each item has one result and that the job completed once."""
    found = await fleet.results(name) + await fleet.results(name, False)
    assert sorted(r["custom_id"] for r in found) == sorted(ids(count))
    assert fleet.completions(name) == 1
    progress = await fleet.store().progress(name)
    assert progress.completed + progress.failed == count
