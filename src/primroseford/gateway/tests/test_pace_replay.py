"""Replays of many hosts in front of a runner that has started or was suspected."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from statistics import mean

import pytest

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import RUNNER_FULL_SECONDS
from primroseford.gateway.tests.test_request_limit_replay import POOL
from primroseford.gateway.tests.test_request_limit_replay import SERVICE_SECONDS
from primroseford.gateway.tests.test_request_limit_replay import LimitReplay

RUNNERS = 6
SLOTS = 16
RATE = 110.0
"""Requests per second to all hosts; the runners serve 137."""
FIRST_EVENT_SECONDS = 0.06
SLOWNESS = 5.0
"""Factor by which a runner is slower after its start."""
SLOW_SECONDS = 2.5
LIST_SECONDS = 0.4
"""Time in which all hosts learn of a change of the runner list."""
RUNNER = "r-0"
MAX_SLOW_SHARE = 0.5
"""Share of its slots that may be taken at a runner while it is slow. Its limit is 3,
plus the requests that hosts of a large fleet send before they hear of the others'."""
USED_SHARE = 0.7
"""Share of the mean load of the others from which a runner counts as used."""


@dataclass
class PaceReplay(LimitReplay):
    """Hosts and runners whose responses take longer under load, or after a start.

    :param is_paced: whether the hosts limit runners that have started
    :ivar open: requests in flight by runner
    :ivar slow_until: time until which a runner is slow
    :ivar loads: requests in flight at each time, by runner
    :ivar lists: hosts that have not learnt of the new runner yet, by the time
    :ivar born: start of each runner
    :ivar probe_at: due probes by host and runner
    """

    is_paced: bool = True
    open: dict[str, int] = field(default_factory=dict)
    slow_until: dict[str, float] = field(default_factory=dict)
    loads: list[tuple[float, dict[str, int]]] = field(default_factory=list)
    lists: list[tuple[float, str]] = field(default_factory=list)
    born: dict[str, int] = field(default_factory=dict)
    probe_at: dict[tuple[str, str], float] = field(default_factory=dict)
    ended: list[tuple[float, str, int]] = field(default_factory=list)

    def list_runners(self, host: str) -> None:
        """Tell a host of the runners."""
        gateway = self.gateway(host)
        if self.is_paced:
            gateway.allocator.slowness_pools.add(POOL)
        entries = {}
        for number in range(self.runners):
            key = RunnerKey(f"r-{number}", self.born.get(f"r-{number}", 1))
            entries[key.name] = RunnerEntry(
                key, POOL, "", "a", SLOTS, RunnerStage.READY, "v1"
            )
        gateway.allocator.set_runners(entries)

    def send(self, host: str, runner) -> None:
        """Serve a request at the speed that the runner has now."""
        name = runner.entry.key.name
        gateway = self.gateway(host)
        if runner.entry.key.born != self.born.get(name, 1):
            # The new instance refuses requests for the one before.
            runner.full_until = self.now + RUNNER_FULL_SECONDS
            gateway.allocator.release(runner)
            self._arrive()
            return
        count = self.open[name] = self.open.get(name, 0) + 1
        queue = max(1.0, count / SLOTS)
        at = self._end_of(name, queue * FIRST_EVENT_SECONDS, count)
        self.responses.append((at, self.now, gateway, runner))
        at = self._end_of(name, queue * SERVICE_SECONDS, count)
        self.releases.append((at, gateway, runner))

    def _end_of(self, name: str, seconds: float, count: int) -> float:
        """Return the time at which a runner has done work that starts now.

        :param seconds: time that the work takes at the usual speed
        :param count: requests in flight there
        """
        slow_seconds = max(0.0, self.slow_until.get(name, 0.0) - self.now)
        factor = SLOWNESS * (1 + count / SLOTS)
        if slow_seconds >= factor * seconds:
            return self.now + factor * seconds
        return self.now + slow_seconds + seconds - slow_seconds / factor

    def _respond(self) -> None:
        for at, host in [item for item in self.lists if item[0] <= self.now]:
            self.lists.remove((at, host))
            self.list_runners(host)
        due = [r for r in self.responses if r[0] <= self.now]
        self.responses = [r for r in self.responses if r[0] > self.now]
        for _, sent_at, gateway, runner in due:
            gateway.pace.note_answer(runner, self.now - sent_at)
            gateway.allocator.clear_suspicion(runner)
        ended = [r for r in self.releases if r[0] <= self.now]
        self.releases = [r for r in self.releases if r[0] > self.now]
        for _, gateway, runner in ended:
            name = runner.entry.key.name
            if runner.entry.key.born == self.born.get(name, 1):
                self.open[name] -= 1
            gateway.allocator.release(runner)
        self._probe()
        self.loads.append((self.now, dict(self.open)))

    def _probe(self) -> None:
        """Probe suspected runners, as the watchdog does."""
        for host in self._up():
            gateway = self.gateway(host)
            for name, runner in gateway.allocator.runners.items():
                is_failed = runner.suspect_until > self.now
                if not (is_failed or runner.may_have_restarted):
                    self.probe_at.pop((host, name), None)
                    continue
                first = gateway.pace.first_probe_seconds(runner) if is_failed else 0.0
                due = self.probe_at.setdefault((host, name), self.now + first)
                if due <= self.now:
                    runner.may_have_restarted = False
                    gateway.allocator.clear_suspicion(runner)

    def restart_runner(self) -> None:
        """Restart a runner, which is slow at first; hosts learn of it one by one."""
        self.born[RUNNER] = 2
        self.open[RUNNER] = 0
        self.slow_until[RUNNER] = self.now + SLOW_SECONDS
        for host in self._up():
            at = self.now + self.random.uniform(0.0, LIST_SECONDS)
            self.lists.append((at, host))

    def suspect_runner(self) -> None:
        """Let one host suspect a runner that works as usual."""
        gateway = self.gateway(self._up()[0])
        gateway.suspect(gateway.allocator.runners[RUNNER], "silent")

    def most_in_flight(self, start: float, end: float) -> int:
        """Return the largest number of requests in flight at the runner."""
        return max(load[RUNNER] for at, load in self.loads if start < at < end)

    def used_share(self, start: float, end: float) -> float:
        """Return the runner's mean load as a share of that of the others."""
        loads = [load for at, load in self.loads if start <= at < end]
        others = mean(load[n] for load in loads for n in load if n != RUNNER)
        return mean(load[RUNNER] for load in loads) / others


def play(hosts: int, is_paced: bool, seed: int = 1) -> PaceReplay:
    """Return a replay of a fleet whose loads and usual times are known."""
    replay = PaceReplay(hosts, RUNNERS, 0.0, RATE, seed, is_paced=is_paced)
    replay.run(5.0)
    return replay


def play_restart(hosts: int, is_paced: bool, seed: int = 1) -> tuple[float, PaceReplay]:
    """Return the time of a restart and its replay."""
    replay = play(hosts, is_paced, seed)
    start = replay.now
    replay.restart_runner()
    replay.run(SLOW_SECONDS + 4.0)
    return start, replay


@pytest.mark.parametrize(("hosts", "seed"), [(8, 1), (8, 2), (64, 1)])
def test_restarted_slow_runner_is_flooded_without_a_limit(hosts, seed):
    """Shows the fault: the runner that is empty and slow gets the most requests."""
    start, replay = play_restart(hosts, is_paced=False, seed=seed)
    most = replay.most_in_flight(start, start + SLOW_SECONDS)
    assert most > SLOTS


@pytest.mark.parametrize(("hosts", "seed"), [(8, 1), (8, 2), (64, 1)])
def test_restarted_slow_runner_is_flooded(hosts, seed):
    """Guards against requests that wait at a runner which is still slow."""
    start, replay = play_restart(hosts, is_paced=True, seed=seed)
    most = replay.most_in_flight(start, start + SLOW_SECONDS)
    assert 0 < most <= MAX_SLOW_SHARE * SLOTS


@pytest.mark.parametrize(("hosts", "seconds"), [(8, 1.0), (64, 3.5)])
def test_runner_is_left_idle_after_it_has_recovered(hosts, seconds):
    """Guards against a limit that stays low although the runner is fast again.

    :param seconds: time after which it has to be fully used; in a large fleet each
        report and each limit takes up to half a second
    """
    start, replay = play_restart(hosts, is_paced=True)
    replay.run(3.0)
    ramps = [replay.gateway(host).pace.ramps.ramps for host in replay.fleet.names]
    assert not any(ramps)
    begin = start + SLOW_SECONDS + seconds
    assert replay.used_share(begin, replay.now) >= USED_SHARE


@pytest.mark.parametrize("is_paced", [False, True])
def test_healthy_runner_is_left_idle_after_a_suspicion(is_paced):
    """Guards against a false suspicion that costs more than about a second of work."""
    replay = play(8, is_paced)
    start = replay.now
    replay.suspect_runner()
    replay.run(3.0)
    assert replay.used_share(start + 0.2, start + 0.6) < USED_SHARE
    assert replay.used_share(start + 1.0, replay.now) >= USED_SHARE


def test_next_owner_starts_from_the_lowest_limit():
    """Guards against a ramp that ends or begins anew when its owner is lost."""
    replay = play(8, is_paced=True)
    replay.restart_runner()
    replay.run(1.0)
    key = RunnerKey(RUNNER, 2)
    ownership = replay.gateway(replay.fleet.names[0]).request_limiter.ownership
    owner = ownership.owner_of(key)
    replay.fleet.down.add(owner)
    replay.run(SLOW_SECONDS + 3.0)
    ramps = [replay.gateway(host).pace.ramps.ramps for host in replay._up()]
    assert not any(ramps)


def test_runner_of_an_owner_that_nobody_hears_is_flooded():
    """Guards against hosts that apply no limit while the owner reports none."""
    replay = play(8, is_paced=True)
    start = replay.now
    key = RunnerKey(RUNNER, 2)
    owner = replay.gateway("a-0").request_limiter.ownership.owner_of(key)
    replay.fleet.blocked_links = {
        (owner, other) for other in replay.fleet.names if other != owner
    }
    replay.restart_runner()
    replay.run(SLOW_SECONDS)
    assert replay.most_in_flight(start, replay.now) <= MAX_SLOW_SHARE * SLOTS
