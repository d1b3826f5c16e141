"""Replays of many hosts whose runners limit their requests, in simulated time."""

from __future__ import annotations

import os
from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import TokenMessage
from primroseford.gateway.notices import RunnerNotice
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_queue import SlotQueue
from primroseford.gateway.slot_queue import Waiter
from primroseford.proof.heartbeats import HeartbeatFleet

POOL = "models"
SLOTS = 8
SERVICE_SECONDS = 0.7
RESPONSE_SECONDS = 0.06
"""Time from the sending of a request to the head of its response."""
LIMIT_STEP_SECONDS = 0.06
PATIENCE_SECONDS = 2.0
"""Time after which a waiting request is given up."""
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""Time after which a host that has passed on a limit must keep it."""
MIN_USED_SHARE = 0.8
"""Share of the limits that must be used while requests wait."""
SEEDS = [*range(int(os.environ.get("PRIMROSEFORD_LIMIT_SEEDS", "4"))), 9, 11, 33, 46]
"""In the last four, a runner got 18 to 20 requests where 17 are allowed, after its
owner had been cut off or had restarted."""


@dataclass
class Ticket:
    """The future of a waiting request; a slot resolves it."""

    replay: LimitReplay
    host: str
    expires_at: float

    def done(self) -> bool:
        """Return whether the request has been given up."""
        return self.replay.now >= self.expires_at

    def set_result(self, runner) -> None:
        """Send the request."""
        self.replay.send(self.host, runner)


@dataclass
class LimitReplay:
    """Hosts, their messages, and runners of one pool.

    :param limit: requests per second that each runner accepts; 0 for no limit
    :param rate: requests per second to all hosts
    :param old_share: share of them that only the first runner's version may serve
    :ivar sent: times of requests from hosts that must keep the limit, by runner
    :ivar all_sent: times of all requests, by runner
    :ivar told_at: time at which a host passed on a limit, by host and runner
    :ivar excused_until: time until which a disturbed host is not counted
    """

    hosts: int
    runners: int
    limit: float
    rate: float
    seed: int = 1
    old_share: float = 0.0
    sent: dict[str, list[float]] = field(default_factory=dict)
    all_sent: dict[str, list[float]] = field(default_factory=dict)
    told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    excused_until: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.fleet = HeartbeatFleet(self.hosts, loss=0.01)
        self.responses: list[tuple[float, str, object, object]] = []
        self.releases: list[tuple[float, object, object]] = []
        self.next_request = self.now
        self.next_step = self.now
        for name in self.fleet.names:
            self.list_runners(name)

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self.fleet.clock()

    def gateway(self, host: str):
        """Return the state of a host."""
        return self.fleet.services[host].gateway

    def list_runners(self, host: str) -> None:
        """Tell a host of the runners, as the platform's runner list does."""
        keys = [RunnerKey(f"r-{n}", n) for n in range(self.runners)]
        self.gateway(host).allocator.set_runners(
            {
                key.name: RunnerEntry(
                    key, POOL, "", "a", SLOTS, RunnerStage.READY, f"v{min(key.born, 1)}"
                )
                for key in keys
            }
        )

    def run(self, seconds: float) -> None:
        """Run the replay for a time."""
        until = self.now + seconds
        while self.now < until:
            self.fleet.step()
            self._respond()
            while self.next_request <= self.now:
                self.next_request += self.random.expovariate(self.rate)
                self._arrive()
            if self.now >= self.next_step:
                self.next_step = self.now + LIMIT_STEP_SECONDS
                for host in self._up():
                    self.gateway(host).request_limiter.step()

    def _up(self) -> list[str]:
        return [name for name in self.fleet.names if name not in self.fleet.down]

    def _arrive(self) -> None:
        host = self.random.choice(self._up())
        allocator = self.gateway(host).allocator
        queue = allocator.queues.setdefault(POOL, SlotQueue())
        ticket = Ticket(self, host, self.now + PATIENCE_SECONDS)
        is_old = self.old_share > 0 and self.random.random() < self.old_share
        queue.push("", Waiter(ticket, (), "", (), "v0" if is_old else None))
        allocator.grant()
        allocator.on_waiting(POOL)

    def send(self, host: str, runner) -> None:
        """Record a request to a runner, and its response and end to come."""
        name = runner.entry.key.name
        self.all_sent.setdefault(name, []).append(self.now)
        told = self.told_at.get((host, name))
        excused = self.now < self.excused_until.get(host, 0.0)
        if told is not None and self.now - told >= TOLD_SECONDS and not excused:
            self.sent.setdefault(name, []).append(self.now)
        gateway = self.gateway(host)
        self.responses.append((self.now + RESPONSE_SECONDS, host, gateway, runner))
        self.releases.append((self.now + SERVICE_SECONDS, gateway, runner))

    def _respond(self) -> None:
        due = [r for r in self.responses if r[0] <= self.now]
        self.responses = [r for r in self.responses if r[0] > self.now]
        for _, host, gateway, runner in due:
            if self.limit:
                key = (host, runner.entry.key.name)
                self.told_at.setdefault(key, self.now)
            gateway.note_notice(runner, RunnerNotice(self.limit or None))
        ended = [r for r in self.releases if r[0] <= self.now]
        self.releases = [r for r in self.releases if r[0] > self.now]
        for _, gateway, runner in ended:
            gateway.allocator.release(runner)

    def restart(self, host: str) -> None:
        """Restart a host; it has lost everything that it knew."""
        self.fleet.restart(host)
        self.list_runners(host)
        self.told_at = {k: at for k, at in self.told_at.items() if k[0] != host}
        self.excused_until[host] = self.now + WINDOW_SECONDS

    def most_in_window(self) -> int:
        """Return the largest number of counted requests to a runner in a window."""
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in times[first:])
                for times in self.sent.values()
                for first, start in enumerate(times)
            ),
            default=0,
        )

    def requests_since(self, start: float) -> int:
        """Return how many requests have reached runners since a time."""
        return sum(at >= start for times in self.all_sent.values() for at in times)


def allowed(limit: float) -> float:
    """Return how many requests a runner may get in a window: the platform's bound."""
    return 1.5 * limit * WINDOW_SECONDS + 5


@pytest.mark.parametrize(
    ("hosts", "runners", "limit", "rate"),
    [(1, 2, 2.0, 40.0), (7, 4, 2.0, 40.0), (7, 1, 0.5, 20.0), (7, 4, 20.0, 200.0)]
    + [(40, 10, 2.0, 100.0), (165, 10, 2.5, 200.0)],
)
def test_hosts_that_keep_a_limit_alone_exceed_it_together(hosts, runners, limit, rate):
    """Guards against limits that each host keeps by itself, or that go unused."""
    replay = LimitReplay(hosts, runners, 0.0, rate)
    replay.run(2.0)
    replay.limit = limit
    replay.run(4.0)
    start = replay.now
    replay.run(8.0)
    assert 0 < replay.most_in_window() <= allowed(limit)
    usable = min(limit, SLOTS / SERVICE_SECONDS) * runners * 8.0
    assert replay.requests_since(start) >= MIN_USED_SHARE * usable


@pytest.mark.parametrize("hosts", [1, 7, 40])
@pytest.mark.parametrize(
    ("rate", "old_share", "runners"), [(6.0, 1.0, 1), (60.0, 0.2, 10)]
)
def test_tokens_of_other_versions_are_asked_for(hosts, rate, old_share, runners):
    """Guards against requests that wait for their version, but get other tokens.

    :param runners: runners whose limits must be used
    """
    replay = LimitReplay(hosts, 10, 0.0, 60.0)
    replay.run(2.0)
    replay.limit = 2.0
    replay.run(4.0)
    replay.rate, replay.old_share = rate, old_share
    replay.run(4.0)
    start = replay.now
    replay.run(8.0)
    assert 0 < replay.most_in_window() <= allowed(2.0)
    used = sum(at >= start for at in replay.all_sent["r-0"])
    assert used >= MIN_USED_SHARE * 2.0 * 8.0
    assert replay.requests_since(start) >= MIN_USED_SHARE * 2.0 * 8.0 * runners


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_is_exceeded_when_token_owners_restart(seed):
    """Guards against owners that grant again what the owner before has granted."""
    replay = LimitReplay(8, 4, 2.0, 40.0, seed)
    replay.run(5.0)
    for _ in range(8):
        host = replay.random.choice(replay.fleet.names)
        choice = replay.random.randrange(3)
        if choice == 0:
            replay.restart(host)
        elif choice == 1:
            replay.fleet.down.add(host)
            replay.excused_until[host] = replay.now + 60.0
            replay.run(replay.random.uniform(0.2, 3.0))
            replay.restart(host)
        else:
            replay.fleet.blocked_links = {
                pair
                for other in replay.fleet.names
                for pair in ((host, other), (other, host))
            }
            replay.excused_until[host] = replay.now + 60.0
            replay.run(replay.random.uniform(0.5, 3.0))
            replay.fleet.blocked_links = set()
            replay.excused_until[host] = replay.now + WINDOW_SECONDS
        replay.run(replay.random.uniform(0.5, 3.0))
    assert 0 < replay.most_in_window() <= allowed(2.0)


def test_limit_that_has_ended_is_kept():
    """Guards against hosts that keep a limit which no response names any more."""
    replay = LimitReplay(7, 2, 2.0, 25.0)
    replay.run(6.0)
    replay.limit = 0.0
    replay.run(2.0)
    start = replay.now
    replay.run(4.0)
    assert replay.requests_since(start) >= MIN_USED_SHARE * 2 * SLOTS / SERVICE_SECONDS
    tokens = [replay.gateway(host).allocator.tokens for host in replay.fleet.names]
    assert not any(t.limits.rate(RunnerKey("r-0", 0)) for t in tokens)


def test_owner_that_has_not_heard_of_the_limit_grants_without_end():
    """Guards against an owner that forgets its grants until it hears of the limit."""
    replay = LimitReplay(3, 1, 2.0, 1.0)
    replay.run(2.0)
    key = RunnerKey("r-0", 0)
    limiters = {h: replay.gateway(h).request_limiter for h in replay.fleet.names}
    owner = next(h for h in limiters if limiters[h].ownership.is_owner(key))
    other = next(h for h in limiters if h != owner)
    limiters[owner].limits.newest.clear()
    received = 0
    for _ in range(20):
        ask = TokenMessage("r-0", 0, 100, False, 2.0)
        sent = len(replay.fleet.in_transit)
        limiters[owner].receive(Bundle(other, [], token_asks=[ask]))
        received += len(replay.fleet.in_transit) - sent
        limiters[owner].step()
    assert 0 < received <= allowed(2.0)
