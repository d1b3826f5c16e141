"""Which host tries a quarantined part, in a simulated network."""

from __future__ import annotations

from random import Random

import pytest

from primroseford.gateway.trial_turns import MAX_HELD_PARTS
from primroseford.gateway.trial_turns import TURN_SECONDS
from primroseford.gateway.trial_turns import host_in_turn
from primroseford.peer.codec import encode
from primroseford.platform.prompts import MAX_ID_LENGTH
from primroseford.proof.heartbeats import HeartbeatFleet
from primroseford.quarantine.state import TRIAL_SECONDS
from primroseford.quarantine.state import QuarantineRecord

PART = "shared"
OTHER_PART = "document"
STEP_SECONDS = 0.02
HEARING_SECONDS = 5.0
"""Time until hosts that have just started know of each other."""
CALM_SECONDS = 1.0
"""Time before a trial is due at which no host has tried again."""
MAX_DATAGRAM_BYTES = 65_507


class TrialReplay:
    """Hosts that have requests with a quarantined part.

    :param holders: number of hosts with a waiting item
    :param rate: online requests with the part per second and host
    :ivar idle: hosts that start no trial, although their heartbeats go on
    :ivar trials: time and host of each trial
    """

    def __init__(self, hosts: int, holders: int, rate: float, seed: int) -> None:
        self.random = Random(seed)
        self.fleet = HeartbeatFleet(hosts, loss=0.02)
        self.holders = set(self.random.sample(self.fleet.names, holders))
        self.rate = rate
        self.idle: set[str] = set()
        self.trials: list[tuple[float, str]] = []
        self.fleet.run(HEARING_SECONDS)
        due = self.fleet.clock() + HEARING_SECONDS
        record = QuarantineRecord(PART, 1, due, TRIAL_SECONDS)
        self.due = due
        for name in self.fleet.names:
            self.quarantine(name).apply(record)

    def quarantine(self, host: str):
        """Return the quarantine of a host."""
        return self.fleet.services[host].gateway.quarantine

    def run(self, seconds: float) -> None:
        """Let hosts try the part whenever they have it and may."""
        until = self.fleet.clock() + seconds
        while self.fleet.clock() < until:
            self.fleet.step()
            for name in self.random.sample(self.fleet.names, len(self.fleet.names)):
                if name not in self.fleet.down:
                    self._offer(name)

    def _offer(self, name: str) -> None:
        gateway = self.fleet.services[name].gateway
        gateway.trial_turns.hold({PART} if name in self.holders else ())
        has_request = self.random.random() < self.rate * STEP_SECONDS
        if name in self.idle or not (name in self.holders or has_request):
            return
        if gateway.quarantine.blocking_record([PART]) is None:
            gateway.quarantine.begin_trial([PART])
            self.trials.append((self.fleet.clock(), name))


@pytest.mark.parametrize(
    ("hosts", "holders", "idle", "rate"),
    [
        (1, 1, 0, 0.0),
        (3, 1, 0, 0.0),
        (3, 3, 2, 0.0),
        (9, 1, 0, 0.0),
        (9, 4, 0, 20.0),
        (9, 9, 5, 0.0),
        (9, 0, 0, 20.0),
        (60, 25, 3, 0.0),
        (60, 60, 0, 5.0),
    ],
)
@pytest.mark.parametrize("seed", range(2))
def test_hosts_with_held_items_wait_for_each_other(hosts, holders, idle, rate, seed):
    """Guards against a part that nobody tries (LOST), or several at a time (BUDGET)."""
    replay = TrialReplay(hosts, holders, rate, seed)
    replay.idle = set(replay.random.sample(sorted(replay.holders), idle))
    replay.run(HEARING_SECONDS + (idle + 2) * TURN_SECONDS)
    assert len(replay.trials) == 1
    ((at, host),) = replay.trials
    assert at - replay.due <= (idle + 1) * TURN_SECONDS
    assert host in (replay.holders or replay.fleet.names)
    next_due = at + 2 * TRIAL_SECONDS
    replay.run(next_due - CALM_SECONDS - replay.fleet.clock())
    assert len(replay.trials) == 1
    replay.run(CALM_SECONDS + (idle + 1) * TURN_SECONDS)
    assert len(replay.trials) == 2
    assert replay.trials[1][0] >= next_due


@pytest.mark.parametrize("seed", range(8))
def test_hosts_that_learn_late_of_a_quarantine_count_other_turns(seed):
    """Guards against two trials at a time after a host restarted (BUDGET)."""
    replay = TrialReplay(9, 9, 0.0, seed)
    replay.idle = set(replay.fleet.names)
    replay.run(HEARING_SECONDS + replay.random.uniform(0.0, 5.0))
    for name in replay.random.sample(replay.fleet.names, 4):
        replay.fleet.restart(name)
        replay.run(replay.random.uniform(0.0, 3.0))
    replay.run(HEARING_SECONDS)
    assert all(replay.quarantine(name).active() for name in replay.fleet.names)
    replay.idle = set()
    replay.run(2 * TURN_SECONDS)
    assert len(replay.trials) == 1


class PairReplay(TrialReplay):
    """Hosts whose waiting items all have the same two quarantined parts.

    Both trials are due at the same time, as after a common trial.
    """

    def __init__(self, hosts: int, holders: int, seed: int) -> None:
        super().__init__(hosts, holders, 0.0, seed)
        for name in self.fleet.names:
            record = QuarantineRecord(OTHER_PART, 1, self.due, TRIAL_SECONDS)
            self.quarantine(name).apply(record)

    def _offer(self, name: str) -> None:
        parts = [PART, OTHER_PART]
        gateway = self.fleet.services[name].gateway
        gateway.trial_turns.hold(set(parts) if name in self.holders else ())
        if name in self.holders and gateway.quarantine.blocking_record(parts) is None:
            gateway.quarantine.begin_trial(parts)
            self.trials.append((self.fleet.clock(), name))


@pytest.mark.parametrize(("hosts", "holders"), [(3, 1), (3, 3), (9, 4), (9, 9)])
@pytest.mark.parametrize("seed", range(2))
def test_item_with_two_quarantined_parts_waits_for_turns_that_never_meet(
    hosts, holders, seed
):
    """Guards against an item that nobody tries (LOST), or that several try (BUDGET)."""
    replay = PairReplay(hosts, holders, seed)
    replay.run(replay.due - replay.fleet.clock() + 2 * TURN_SECONDS)
    assert len(replay.trials) == 1


def test_hosts_of_which_some_never_have_a_turn():
    """Guards against a host that alone has a request to try and no turn for it."""
    holders, hosts = ["a", "b"], ["a", "b", "c", "d"]
    turns = [host_in_turn(PART, holders, hosts, turn) for turn in range(12)]
    assert all(set(turns[n : n + 3]) >= set(holders) for n in range(0, 12, 3))
    assert set(turns) == set(hosts)
    turns = [host_in_turn(PART, [], hosts, turn) for turn in range(4)]
    assert sorted(turns) == hosts


def test_heartbeat_with_held_parts_exceeds_a_datagram():
    """Guards against held parts that keep a host's heartbeats from being sent."""
    fleet = HeartbeatFleet(2)
    service = fleet.services[fleet.names[0]]
    parts = {f"{number:0{MAX_ID_LENGTH}}" for number in range(200)}
    for part in parts:
        service.gateway.quarantine.apply(
            QuarantineRecord(part, 1, fleet.clock() + TRIAL_SECONDS, TRIAL_SECONDS)
        )
    service.gateway.trial_turns.hold(parts)
    fleet.run(HEARING_SECONDS)
    assert len(service.heartbeat().held_parts) == MAX_HELD_PARTS
    assert len(encode(service.heartbeat())) < MAX_DATAGRAM_BYTES
