"""Random schedules of the lease protocol under all failures that it must tolerate.

The test drives the coroutines of the keepers itself. Each call to the service suspends
a coroutine until the schedule applies the call and delivers its response.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import Version
from primroseford.lease.keeper import create_lease_keeper
from primroseford.platform.objects import PlatformObject

NAME = "group-1"
RATES = (0.98, 1.0, 1.02)
HOSTS = st.integers(0, len(RATES) - 1)
SECONDS = st.sampled_from([0.1, 0.7, 1.0, 2.0, 2.5, 2.9, 3.1])
RESPONSE_COUNTS = st.sampled_from([2, 2, 2, 2, 1, 0])
RARELY = st.sampled_from([False, False, False, True])
"""Most calls succeed, so that schedules reach a second and third holder."""


def failure(code: ResultCode, outcome=Outcome.NOT_RUN) -> PrimrosefordError:
    return PrimrosefordError(code, "test", outcome=outcome)


@dataclass
class Operation:
    """A suspended call to the service."""

    run: Any
    result: Any = None
    error: PrimrosefordError | None = None
    done: bool = False

    def __await__(self):
        return (yield self)

    def take_effect(self) -> None:
        if not self.done:
            self.done = True
            try:
                self.result = self.run()
            except PrimrosefordError as error:
                self.error = error


class Store:
    """One object with compare-and-set writes."""

    def __init__(self) -> None:
        self.item: PlatformObject | None = None
        self.version = 0

    def read(self) -> PlatformObject:
        if self.item is None:
            raise failure(ResultCode.NOT_FOUND)
        return self.item

    def write(self, spec, version) -> PlatformObject:
        if version != (self.item.version if self.item else None):
            raise failure(ResultCode.VERSION_CONFLICT)
        self.version += 1
        self.item = PlatformObject("leases", NAME, Version(self.version), spec)
        return self.item


class Client:
    """The methods of the platform's client that a keeper uses."""

    def __init__(self, store: Store) -> None:
        self.store = store

    async def get(self, kind, name, **_):
        return await Operation(self.store.read)

    async def create(self, kind, name, spec, **_):
        return await Operation(lambda: self.store.write(spec, None))

    async def update(self, kind, name, spec, version, **_):
        return await Operation(lambda: self.store.write(spec, version))


@dataclass
class SimulatedHost:
    keeper: Any
    coroutine: Any = None
    operation: Operation | None = None
    paused: bool = False
    leases: list = field(default_factory=list)

    def step(self, error: PrimrosefordError | None = None) -> None:
        """Deliver the response of the pending call, or an error."""
        operation, self.operation = self.operation, None
        try:
            if error or (operation and operation.error):
                self.operation = self.coroutine.throw(error or operation.error)
            else:
                value = operation.result if operation else None
                self.operation = self.coroutine.send(value)
        except StopIteration as stop:
            self.coroutine = None
            if stop.value is not None:
                self.leases.append(stop.value)
        except PrimrosefordError:
            self.coroutine = None


class LeaseProtocol(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.outage = False
        self.starts = 0
        self.late_operations: list[Operation] = []
        self.fencing_numbers: list[int] = []
        self.hosts = [self.start(n) for n in range(len(RATES))]

    def start(self, number: int) -> SimulatedHost:
        self.starts += 1
        return SimulatedHost(
            create_lease_keeper(
                Client(self.store),
                HostId(f"host-{number}"),
                Incarnation(str(self.starts)),
                # Clocks differ in offset and rate.
                lambda: 1000.0 * number + self.now * RATES[number],
            )
        )

    def start_coroutine(self, number: int, coroutine) -> None:
        host = self.hosts[number]
        host.coroutine = coroutine
        host.step()

    def is_idle(self, number: int) -> bool:
        host = self.hosts[number]
        return host.coroutine is None and not host.paused

    @rule(number=HOSTS, responses=RESPONSE_COUNTS)
    def acquire(self, number, responses):
        if self.is_idle(number):
            self.start_coroutine(number, self.hosts[number].keeper.acquire(NAME))
            self.deliver_responses(number, responses)

    @rule(number=HOSTS, seconds=SECONDS)
    def acquire_after_wait(self, number, seconds):
        """Observe the lease, wait, and try to acquire it."""
        self.acquire(number, 2)
        self.now += seconds
        self.acquire(number, 2)

    @rule(data=st.data(), number=HOSTS, seconds=SECONDS)
    def delay_renewal_response(self, data, number, seconds):
        """Let another host observe a renewal before its holder gets the response."""
        self.renew_or_release(data, 0, False)
        for host in range(len(RATES)):
            self.take_effect(host)
        self.acquire(number, 2)
        self.now += seconds
        for host in range(len(RATES)):
            self.deliver_response(host)

    @rule(data=st.data(), responses=RESPONSE_COUNTS, release=RARELY)
    def renew_or_release(self, data, responses, release):
        holders = [n for n in range(len(RATES)) if self.hosts[n].keeper.held]
        if not holders:
            return
        number = data.draw(st.sampled_from(holders))
        keeper = self.hosts[number].keeper
        if self.is_idle(number):
            action = keeper.release if release else keeper.renew
            self.start_coroutine(number, action(keeper.held[NAME]))
            self.deliver_responses(number, responses)

    @rule(number=HOSTS)
    def take_effect(self, number):
        operation = self.hosts[number].operation
        if operation is not None and not self.outage:
            operation.take_effect()

    @rule(number=HOSTS)
    def deliver_response(self, number):
        host = self.hosts[number]
        if host.operation is not None and not host.paused:
            if self.outage and not host.operation.done:
                host.step(failure(ResultCode.PLATFORM_UNAVAILABLE))
            else:
                host.operation.take_effect()
                host.step()

    @rule(number=HOSTS, count=RESPONSE_COUNTS)
    def deliver_responses(self, number, count):
        for _ in range(count):
            self.deliver_response(number)

    @rule(number=HOSTS)
    def lose_response(self, number):
        """Lose the response of a call, which takes effect now, later or never."""
        host = self.hosts[number]
        if host.operation is not None and not host.paused:
            self.late_operations.append(host.operation)
            unknown = Outcome.MAY_HAVE_RUN
            host.step(failure(ResultCode.PLATFORM_UNAVAILABLE, unknown))

    @rule()
    def late_effect(self):
        if self.late_operations and not self.outage:
            self.late_operations.pop(0).take_effect()

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        self.now += seconds

    @rule(number=HOSTS, paused=RARELY)
    def pause(self, number, paused):
        self.hosts[number].paused = paused

    @rule(number=HOSTS, crash=RARELY)
    def crash(self, number, crash):
        if not crash:
            return
        host = self.hosts[number]
        if host.operation is not None:
            self.late_operations.append(host.operation)
        if host.coroutine is not None:
            host.coroutine.close()
        self.hosts[number] = self.start(number)

    @rule(down=RARELY)
    def switch_outage(self, down):
        self.outage = down

    @invariant()
    def at_most_one_valid_holder(self):
        valid = [
            lease
            for host in self.hosts
            for lease in host.keeper.held.values()
            if lease.valid(host.keeper.clock())
        ]
        assert len(valid) <= 1

    @invariant()
    def fencing_numbers_increase(self):
        for host in self.hosts:
            for lease in host.leases:
                assert lease.fencing > max(self.fencing_numbers, default=0)
                self.fencing_numbers.append(lease.fencing)
            host.leases.clear()

    def teardown(self):
        for host in self.hosts:
            if host.coroutine is not None:
                host.coroutine.close()


LeaseProtocol.TestCase.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
TestLeaseProtocol = LeaseProtocol.TestCase
"""Guards against two valid holders at a time and against fencing numbers that do not
increase, under lost and delayed responses, pauses, crashes and outages."""
