"""Replays of many hosts in front of runners that become cold in a load surge."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from dataclasses import field

import pytest

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import RUNNER_FULL_SECONDS
from primroseford.gateway.tests.test_request_limit_replay import POOL
from primroseford.gateway.tests.test_request_limit_replay import RESPONSE_SECONDS
from primroseford.gateway.tests.test_request_limit_replay import SERVICE_SECONDS
from primroseford.gateway.tests.test_request_limit_replay import LimitReplay
from primroseford.request_limits.bounds import ColdLimit

LIMIT = ColdLimit(seconds=3.0, rate=8.3, excess=1.5, slack=5.0)
"""Cold time and tolerated rate of the workload, with the bounds of its settings."""
ALLOWED = LIMIT.rate * LIMIT.excess + LIMIT.slack
"""Requests in a second that a cold runner survives: the platform's bound."""
RUNNERS = 6
SLOTS = 32
RATE, SURGE_RATE = 100.0, 250.0
"""Requests per second to all hosts before and in a surge. Six runners serve 274."""
DARK_SECONDS = 1.0
LONGEST_WAY_SECONDS = 0.3
"""Longest time from the use of a token until the request is at the runner: the time
allowed for a connection."""
PROBE_SECONDS = 0.5
BALANCER_SECONDS = 1.0
"""Time after its start from which a host gets requests: an interval of the balancer's
checks."""
MIN_USED_SHARE = 0.4
"""Share of the rate of a cold runner that must be used while requests wait, in a time
that includes the return itself. Half of the tolerance is left for a second owner."""
PLAYED_SECONDS = 5.0
"""Cold time, and the longest time after which a host may learn of its begin."""


@dataclass
class ColdReplay(LimitReplay):
    """Hosts and runners of two failure domains, of which one may become cold.

    :param is_limited: whether the hosts know that runners can be cold
    :param states_cold_time: whether health responses state the remaining time
    :ivar arrivals: times of requests and checks that have reached a runner, by name
    :ivar on_way: requests that have not yet reached their runner
    :ivar probes: due health checks of suspected runners
    :ivar cold_from: begin of the last cold time, by runner
    :ivar dark_until: time until which a runner answers nothing
    :ivar serves_from: time from which a started host gets requests
    """

    is_limited: bool = True
    states_cold_time: bool = True
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    on_way: list[tuple[float, str, object, object]] = field(default_factory=list)
    probes: dict[tuple[str, str], float] = field(default_factory=dict)
    cold_from: dict[str, float] = field(default_factory=dict)
    dark_until: dict[str, float] = field(default_factory=dict)
    serves_from: dict[str, float] = field(default_factory=dict)

    def list_runners(self, host: str) -> None:
        """Tell a host of the configuration and of the runners."""
        gateway = self.gateway(host)
        gateway.evacuations.followed = True
        if self.is_limited:
            gateway.cold.runners.configure({POOL: LIMIT})
        entries = {}
        for number in range(self.runners):
            key = RunnerKey(f"r-{number}", 1)
            domain = "a" if number % 2 else "b"
            entries[key.name] = RunnerEntry(
                key, POOL, "", domain, SLOTS, RunnerStage.READY, "v1"
            )
        gateway.allocator.set_runners(entries)

    def _up(self) -> list[str]:
        return [h for h in super()._up() if self.serves_from.get(h, 0.0) <= self.now]

    def returning(self) -> list[str]:
        """Return the runners of the failure domain that becomes cold."""
        return [f"r-{n}" for n in range(self.runners) if n % 2]

    def is_dark(self, name: str) -> bool:
        """Return whether a runner answers nothing now."""
        return self.dark_until.get(name, 0.0) > self.now

    def send(self, host: str, runner) -> None:
        """Send a request, after a check of the runner's start if that is in doubt."""
        gateway = self.gateway(host)
        seconds = self.random.uniform(0.0, LONGEST_WAY_SECONDS)
        in_doubt = runner.may_have_restarted and not gateway.cold.is_vouched(runner)
        if in_doubt or runner.suspected_by:
            if not gateway.request_limiter.take_check(runner, continues=False):
                runner.full_until = self.now + RUNNER_FULL_SECONDS
                gateway.allocator.release(runner)
                self._arrive()
                return
            self.arrivals.setdefault(runner.entry.key.name, []).append(self.now)
        self.on_way.append((self.now + seconds, host, gateway, runner))

    def _respond(self) -> None:
        due = [r for r in self.on_way if r[0] <= self.now]
        self.on_way = [r for r in self.on_way if r[0] > self.now]
        for _, host, gateway, runner in due:
            name = runner.entry.key.name
            if self.is_dark(name):
                gateway.suspect(runner, "unreachable")
                gateway.allocator.release(runner)
                continue
            self.arrivals.setdefault(name, []).append(self.now)
            end = self.now + RESPONSE_SECONDS
            self.responses.append((end, host, gateway, runner))
            self.releases.append((self.now + SERVICE_SECONDS, gateway, runner))
        for _, _, gateway, runner in [r for r in self.responses if r[0] <= self.now]:
            runner.may_have_restarted = False
            gateway.allocator.clear_suspicion(runner)
        self._probe()
        super()._respond()

    def _probe(self) -> None:
        """Check suspected runners, as the watchdog does: health and start."""
        for host, name in itertools.product(self._up(), self.returning()):
            gateway = self.gateway(host)
            runner = gateway.allocator.runners[name]
            is_failed = runner.suspect_until > self.now
            if not (is_failed or runner.may_have_restarted):
                continue
            if runner.entry.failure_domain in gateway.evacuations:
                continue
            due = self.probes.setdefault(
                (host, name), self.now + PROBE_SECONDS * is_failed
            )
            if due > self.now:
                continue
            del self.probes[host, name]
            is_cold = gateway.allocator.tokens.is_cold(runner.entry.key)
            count = 1 + (is_failed or is_cold)
            if not gateway.request_limiter.may_probe(runner, count):
                self.probes[host, name] = self.now + PROBE_SECONDS
                continue
            if self.is_dark(name):
                gateway.suspect(runner, "probe")
                continue
            self.arrivals.setdefault(name, []).extend([self.now] * count)
            if self.states_cold_time:
                begin = self.cold_from.get(name, -LIMIT.seconds)
                left = max(0.0, begin + LIMIT.seconds - self.now)
                gateway.cold.note_statement(runner, left)
            runner.may_have_restarted = False
            gateway.allocator.clear_suspicion(runner)

    def restart(self, host: str) -> None:
        """Restart a host; it gets requests when the balancer has checked it."""
        super().restart(host)
        self.serves_from[host] = self.now + BALANCER_SECONDS

    def surge(self) -> None:
        """Run the fleet until its loads are known, then raise the load."""
        self.run(6.0)
        self.rate = SURGE_RATE
        self.run(1.0)

    def lose_domain(self) -> None:
        """Let the runners of a failure domain go away and come back cold."""
        for name in self.returning():
            self.dark_until[name] = self.now + DARK_SECONDS
            self.cold_from[name] = self.now + DARK_SECONDS
        self.run(DARK_SECONDS)

    def evacuate(self, begins: bool, revision: int) -> None:
        """Let one host learn that an evacuation begins or ends; others hear of it."""
        gateway = self.gateway(self.random.choice(self._up()))
        domains = ["a"] if begins else []
        change = gateway.evacuations.update(domains, revision, self.now)
        gateway.note_evacuations(change)

    def end_evacuation(self) -> None:
        """Evacuate the failure domain for a time; its runners are cold afterwards."""
        self.evacuate(True, 1)
        self.run(3.0)
        for name in self.returning():
            self.cold_from[name] = self.now
        self.evacuate(False, 2)

    def owners(self) -> list[str]:
        """Return the token owners of the runners that become cold."""
        ownership = self.gateway(self._up()[0]).request_limiter.ownership
        keys = [RunnerKey(name, 1) for name in self.returning()]
        return sorted({ownership.owner_of(key) for key in keys})

    def cut(self, hosts: list[str], sends: bool, receives: bool) -> None:
        """Cut hosts from all others.

        :param sends: whether the others no longer hear them
        :param receives: whether they no longer hear the others
        """
        others = [name for name in self.fleet.names if name not in hosts]
        links = [(host, other) for host in hosts for other in others]
        self.fleet.blocked_links |= {link for link in links if sends}
        self.fleet.blocked_links |= {link[::-1] for link in links if receives}

    def cold_arrivals(self) -> list[list[float]]:
        """Return the times at which each cold runner got requests while it was so."""
        return [
            sorted(
                at
                for at in self.arrivals.get(name, [])
                if begin <= at < begin + LIMIT.seconds
            )
            for name, begin in self.cold_from.items()
        ]

    def most_in_second(self) -> int:
        """Return the largest number of requests to a cold runner in a second."""
        return max(
            sum(start <= at < start + 1.0 for at in times)
            for times in self.cold_arrivals()
            for start in times or [0.0]
        )


def lose_owners(replay: ColdReplay) -> None:
    """Kill the owners of the cold runners; they restart after a second."""
    owners = replay.owners()
    replay.run(0.5)
    replay.fleet.down |= set(owners)
    replay.run(1.0)
    for host in owners:
        replay.restart(host)


def restart_hosts(replay: ColdReplay) -> None:
    """Restart a quarter of the hosts while the runners are cold."""
    hosts = replay.random.sample(replay.fleet.names, len(replay.fleet.names) // 4)
    replay.run(0.3)
    for host in hosts:
        replay.restart(host)


def mute_owners(replay: ColdReplay) -> None:
    """Let the others no longer hear the owners."""
    replay.cut(replay.owners(), sends=True, receives=False)


def deafen_owners(replay: ColdReplay) -> None:
    """Let the owners no longer hear the others."""
    replay.cut(replay.owners(), sends=False, receives=True)


def part_owners(replay: ColdReplay) -> None:
    """Cut the owners off, which then own the runners for themselves, for a moment."""
    replay.cut(replay.owners(), sends=True, receives=True)
    replay.run(1.5)
    replay.fleet.blocked_links = set()


def leave_alone(replay: ColdReplay) -> None:
    """Disturb nothing."""


DISTURBANCES = [
    leave_alone,
    restart_hosts,
    lose_owners,
    mute_owners,
    deafen_owners,
    part_owners,
]


def play(
    hosts: int, begin, disturb, seed: int = 1, is_limited: bool = True
) -> ColdReplay:
    """Return a replay in which runners become cold in a surge, beside a disturbance."""
    replay = ColdReplay(hosts, RUNNERS, 0.0, RATE, seed, is_limited=is_limited)
    replay.surge()
    begin(replay)
    disturb(replay)
    replay.run(max(0.0, PLAYED_SECONDS - replay.now + max(replay.cold_from.values())))
    return replay


@pytest.mark.parametrize("hosts", [8, 64])
@pytest.mark.parametrize("begin", [ColdReplay.lose_domain, ColdReplay.end_evacuation])
def test_hosts_that_do_not_know_of_cold_runners_overload_them(hosts, begin):
    """Shows the fault: without cold limits, the surge exceeds what they tolerate."""
    replay = play(hosts, begin, leave_alone, is_limited=False)
    assert replay.most_in_second() > ALLOWED


@pytest.mark.parametrize(
    ("hosts", "disturb", "seed"),
    [(8, disturb, seed) for disturb in DISTURBANCES for seed in (1, 2)]
    + [(64, disturb, 1) for disturb in (restart_hosts, mute_owners, part_owners)],
)
@pytest.mark.parametrize("begin", [ColdReplay.lose_domain, ColdReplay.end_evacuation])
def test_cold_runner_gets_more_requests_than_it_tolerates(hosts, begin, disturb, seed):
    """Guards against more requests in a second than a cold runner survives."""
    replay = play(hosts, begin, disturb, seed)
    assert replay.most_in_second() <= ALLOWED


@pytest.mark.parametrize("hosts", [8, 64])
@pytest.mark.parametrize("begin", [ColdReplay.lose_domain, ColdReplay.end_evacuation])
def test_cold_runner_is_left_idle_in_a_surge(hosts, begin):
    """Guards against cold limits that are exceeded, or leave runners without work."""
    replay = play(hosts, begin, leave_alone)
    assert replay.most_in_second() <= ALLOWED
    least = MIN_USED_SHARE * LIMIT.rate * LIMIT.seconds
    assert min(len(times) for times in replay.cold_arrivals()) >= least


def suspect_warm_runner(hosts: int, states_cold_time: bool) -> float:
    """Let one host suspect a warm runner; return its rate as a share of the others'."""
    replay = ColdReplay(hosts, RUNNERS, 0.0, RATE, states_cold_time=states_cold_time)
    replay.surge()
    gateway = replay.gateway(replay._up()[0])
    gateway.suspect(gateway.allocator.runners["r-1"], "silent")
    replay.run(2.0)
    start = replay.now
    replay.run(1.5)
    counts = {
        name: sum(at >= start for at in times)
        for name, times in replay.arrivals.items()
    }
    return counts.pop("r-1") / (sum(counts.values()) / len(counts))


@pytest.mark.parametrize("hosts", [8, 64])
def test_warm_runner_is_limited_after_a_false_suspicion(hosts):
    """Guards against a warm runner that is left idle although it states that it is.

    Without a statement it has to be taken for cold.
    """
    assert suspect_warm_runner(hosts, states_cold_time=False) < 0.4
    assert suspect_warm_runner(hosts, states_cold_time=True) > 0.7


def test_runner_stays_limited_after_its_cold_time():
    """Guards against limits that stay in force when the runners are warm again."""
    replay = play(8, ColdReplay.end_evacuation, leave_alone)
    replay.run(3.0)
    gateways = [replay.gateway(host) for host in replay.fleet.names]
    assert not any(gateway.cold.runners.periods for gateway in gateways)
    for name in replay.returning():
        last = [at for at in replay.arrivals[name] if at >= replay.now - 1.0]
        assert len(last) > ALLOWED
