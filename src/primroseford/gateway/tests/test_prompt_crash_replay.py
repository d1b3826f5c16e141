"""Replays of many hosts whose runners crash on prompts, in simulated time."""

from __future__ import annotations

import os
from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from primroseford.gateway.affinity import shared_part_positions
from primroseford.gateway.runners import RunnerKey
from primroseford.peer.codec import encode
from primroseford.platform.prompts import decode_prompt
from primroseford.proof.heartbeats import HeartbeatFleet
from primroseford.quarantine.state import RECORD_REPORT_SECONDS
from primroseford.quarantine.state import TRIAL_SECONDS

DEADLY = "deadly"
SERVICE_SECONDS = 0.06
"""Time from the placement of a request until its first event or the crash."""
DETECTION_SECONDS = 0.03
DOWN_SECONDS = 3.0
DECISION_SECONDS = 0.1
CRASHES_TO_LEARN = 5
CONTACT_SECONDS = 3.0
LARGE_CONTACT_SECONDS = 5.0
ALLOWED_REQUESTS = 3
"""Deadly requests that may reach runners later than the contact time after the fifth
crash: bound of the platform's rules."""
DAY_SECONDS = 25.0
MAX_DATAGRAM_BYTES = 65_507
SEEDS = range(int(os.environ.get("PRIMROSEFORD_CRASH_SEEDS", "8")))


@dataclass
class SentRequest:
    """A request on a runner."""

    host: str
    incarnation: str
    prompt: tuple[str, ...]
    at: float


@dataclass
class Runner:
    """A runner of the replay, with the requests that it has not begun to answer."""

    key: RunnerKey
    down_until: float = 0.0
    sent: list[SentRequest] = field(default_factory=list)


class CrashReplay:
    """Hosts, their heartbeats, and runners that crash.

    :param share: share of requests with the deadly part, from 0 to 1
    :param rate: requests per second
    :ivar crashed_at: times of crashes under the deadly part
    :ivar reached: times at which deadly requests reached runners, and for how long the
        host had been undisturbed
    :ivar disturbed_at: time at which each host last restarted or was cut off
    :ivar cut_off: host whose links are blocked, if any are
    :ivar refused: times at which each sound part was refused
    """

    def __init__(
        self, hosts: int, runners: int, share: float, rate: float, seed: int
    ) -> None:
        self.random = Random(seed)
        self.fleet = HeartbeatFleet(hosts, loss=0.02)
        self.runners = [
            Runner(RunnerKey(f"r-{number}", number)) for number in range(runners)
        ]
        self.starts = runners
        self.share = share
        self.rate = rate
        self.deadly = False
        self.crashed_at: list[float] = []
        self.reached: list[tuple[float, float]] = []
        self.disturbed_at: dict[str, float] = {}
        self.cut_off = ""
        self.refused: dict[str, list[float]] = {}
        self.reports: list[tuple[float, SentRequest, RunnerKey]] = []
        self.next_request = self.now
        self.next_decision = self.now
        self.next_event = self.now + 2.0

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self.fleet.clock()

    def quarantine(self, host: str):
        """Return the quarantine of a host."""
        return self.fleet.services[host].gateway.quarantine

    def run(self, seconds: float, faults: bool = False) -> None:
        """Run the replay for a time.

        :param faults: whether hosts restart, are cut off, and runners crash by
            themselves
        """
        until = self.now + seconds
        while self.now < until:
            self.fleet.step()
            if self.fleet.blocked_links:
                self.disturbed_at[self.cut_off] = self.now
            while self.next_request <= self.now:
                self.next_request += self.random.expovariate(self.rate)
                self._send()
            self._serve()
            self._report()
            if faults and self.now >= self.next_event:
                self.next_event = self.now + self.random.uniform(1.0, 4.0)
                self._disturb()
            if self.now >= self.next_decision:
                self.next_decision = self.now + DECISION_SECONDS
                for host in self._up():
                    self.quarantine(host).decide()

    def _up(self) -> list[str]:
        return [name for name in self.fleet.names if name not in self.fleet.down]

    def _prompt(self) -> tuple[str, ...]:
        first = f"a-{min(self.random.randrange(20), self.random.randrange(20))}"
        second = f"b-{self.random.randrange(200)}"
        if self.deadly and self.random.random() < self.share:
            # The caller and the other parts are those of sound requests, too.
            return ("a-0", "b-0", DEADLY)
        return ("a-0", "b-0") if self.random.random() < 0.03 else (first, second)

    def _send(self) -> None:
        prompt = self._prompt()
        host = self.random.choice(self._up())
        up = [r for r in self.runners if r.down_until <= self.now]
        if not up:
            return
        quarantine = self.quarantine(host)
        record = quarantine.blocking_record(prompt)
        if record is not None:
            if record.part != DEADLY:
                self.refused.setdefault(record.part, []).append(self.now)
            return
        quarantine.begin_trial(prompt)
        if DEADLY in prompt:
            calm = self.now - self.disturbed_at.get(host, 0.0)
            self.reached.append((self.now, calm))
        incarnation = self.fleet.services[host].incarnation
        self.random.choice(up).sent.append(
            SentRequest(host, incarnation, prompt, self.now)
        )

    def _serve(self) -> None:
        for runner in self.runners:
            for request in list(runner.sent):
                if request not in runner.sent:
                    continue
                if self.now - request.at < SERVICE_SECONDS:
                    break
                if DEADLY in request.prompt and self.deadly:
                    self.crashed_at.append(self.now)
                    self._crash(runner)
                    break
                runner.sent.remove(request)
                if self._is_running(request):
                    self.quarantine(request.host).record_served(request.prompt)

    def _is_running(self, request: SentRequest) -> bool:
        """Return whether the process that sent a request still runs."""
        service = self.fleet.services[request.host]
        is_up = request.host not in self.fleet.down
        return is_up and service.incarnation == request.incarnation

    def _crash(self, runner: Runner) -> None:
        at = self.now + DETECTION_SECONDS
        self.reports += [(at, request, runner.key) for request in runner.sent]
        self.starts += 1
        runner.key = RunnerKey(f"r-{self.starts}", self.starts)
        runner.down_until = self.now + DOWN_SECONDS
        runner.sent = []

    def _report(self) -> None:
        due = [report for report in self.reports if report[0] <= self.now]
        self.reports = [report for report in self.reports if report[0] > self.now]
        for at, request, key in due:
            if self._is_running(request):
                parts = {part: n for n, part in enumerate(request.prompt)}
                self.quarantine(request.host).record_crash(key, at, parts)

    def _disturb(self) -> None:
        """Restart, cut off or reconnect hosts, or let runners crash by themselves."""
        choice = self.random.randrange(4)
        host = self.random.choice(self.fleet.names)
        if choice == 0:
            self.fleet.restart(host)
            self.disturbed_at[host] = self.now
        elif choice == 1:
            self.cut_off = host
            self.fleet.blocked_links = {
                pair
                for other in self.fleet.names
                for pair in ((host, other), (other, host))
            }
        elif choice == 2:
            self.fleet.blocked_links = set()
        else:
            for runner in self.random.sample(self.runners, 2):
                self._crash(runner)

    def late_requests(self, contact_seconds: float) -> int:
        """Return how many deadly requests reached runners although hosts could know.

        :param contact_seconds: time after the fifth crash from which they are counted,
            for hosts that have been undisturbed for as long
        """
        if len(self.crashed_at) < CRASHES_TO_LEARN:
            return 0
        start = self.crashed_at[CRASHES_TO_LEARN - 1] + contact_seconds
        return sum(at > start and calm >= contact_seconds for at, calm in self.reached)


@pytest.mark.parametrize(
    ("hosts", "runners", "share", "rate", "contact"),
    [
        (1, 5, 0.05, 40.0, CONTACT_SECONDS),
        (8, 5, 0.05, 40.0, CONTACT_SECONDS),
        (8, 5, 0.01, 40.0, CONTACT_SECONDS),
        (8, 30, 0.5, 40.0, CONTACT_SECONDS),
        (60, 45, 0.05, 200.0, LARGE_CONTACT_SECONDS),
    ],
)
def test_hosts_that_saw_one_crash_each_send_more(hosts, runners, share, rate, contact):
    """Guards against evidence that no host has whole."""
    replay = CrashReplay(hosts, runners, share, rate, seed=29)
    replay.run(4.0)
    replay.deadly = True
    replay.run(DAY_SECONDS)
    assert replay.late_requests(contact) <= ALLOWED_REQUESTS
    assert not replay.refused
    assert all(
        replay.quarantine(host).active() == {DEADLY} for host in replay.fleet.names
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_deadly_requests_reach_runners_beside_other_faults(seed):
    """Guards against evidence that restarts, cuts and unrelated crashes spoil."""
    replay = CrashReplay(8, 6, 0.06, 40.0, seed)
    replay.run(4.0, faults=True)
    replay.deadly = True
    replay.run(DAY_SECONDS, faults=True)
    assert replay.late_requests(CONTACT_SECONDS) <= ALLOWED_REQUESTS
    assert all(at[-1] - at[0] <= 2 * TRIAL_SECONDS for at in replay.refused.values()), (
        replay.refused
    )


def test_responsible_host_forgets_a_quarantine_when_it_restarts():
    """Guards against a host that is the only one to report a quarantine.

    Seen in the replay with other faults, seed 103.
    """
    replay = CrashReplay(8, 5, 0.05, 40.0, seed=29)
    replay.deadly = True
    replay.run(DAY_SECONDS / 2)
    for host in replay.fleet.names:
        replay.fleet.restart(host)
        replay.run(1.0)
        assert replay.quarantine(host).active() == {DEADLY}
        replay.run(RECORD_REPORT_SECONDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_sound_parts_are_refused_after_unrelated_crashes(seed):
    """Guards against a verdict on bystanders while runners crash by themselves."""
    replay = CrashReplay(8, 6, 0.0, 40.0, seed)
    replay.run(DAY_SECONDS, faults=True)
    assert not replay.refused


def test_heartbeat_with_evidence_exceeds_a_datagram():
    """Guards against evidence that keeps a host's heartbeats from being sent."""
    replay = CrashReplay(2, 1, 0.0, 1.0, seed=1)
    (host, _) = replay.fleet.names
    service = replay.fleet.services[host]
    names = (f"{number}-" + "x" * 1000 for number in range(10**6))
    for number in range(100):
        text = ",".join(f"{next(names)}:1" for _ in range(40))
        prompt = decode_prompt({"Prompt-Prefix": text})
        parts = shared_part_positions(prompt)
        for _ in range(8):
            replay.quarantine(host).record_crash(RunnerKey("r", number), 100.0, parts)
    assert len(encode(service.heartbeat())) < MAX_DATAGRAM_BYTES / 2
