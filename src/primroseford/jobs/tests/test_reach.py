"""Which jobs a host hands on that reaches none of their runners."""

from __future__ import annotations

import math
from types import SimpleNamespace

import pytest

from primroseford.ids import HostId
from primroseford.jobs.reach import LAPSE_SECONDS
from primroseford.jobs.reach import PEER_LAPSE_SECONDS
from primroseford.jobs.reach import UNREACHED_SECONDS
from primroseford.jobs.reach import PoolReach

STEP_SECONDS = 0.05
PEERS = [HostId("host-2"), HostId("host-3")]
ALL = (0, 1)


def create_runners(count: int = 2) -> list:
    """Return runners that no host suspects."""
    return [
        SimpleNamespace(
            suspect_until=-math.inf, last_byte=-math.inf, suspected_by=set()
        )
        for _ in range(count)
    ]


@pytest.mark.parametrize(
    ("own", "peers", "hosts", "seconds", "handed_on"),
    [
        (ALL, {}, PEERS, UNREACHED_SECONDS + 1.0, True),
        (ALL, {}, PEERS, UNREACHED_SECONDS - 1.0, False),
        (ALL, {}, [], UNREACHED_SECONDS + 60.0, False),
        ((0,), {}, PEERS, UNREACHED_SECONDS + 60.0, False),
        ((), {}, PEERS, UNREACHED_SECONDS + 60.0, False),
        (ALL, {"host-2": ALL}, PEERS, UNREACHED_SECONDS + 1.0, True),
        (ALL, {"host-2": (0,)}, PEERS[:1], UNREACHED_SECONDS + 1.0, True),
        (ALL, {"host-2": ALL}, PEERS[:1], UNREACHED_SECONDS + 60.0, False),
        (ALL, dict.fromkeys(PEERS, ALL), PEERS, UNREACHED_SECONDS + 60.0, False),
    ],
)
def test_job_is_passed_on_for_ever_or_never(
    clock, own, peers, hosts, seconds, handed_on
):
    """Guards against jobs kept at a cut host, and jobs that no host can keep (LOST)."""
    runners, reach = create_runners(), PoolReach()
    for host, lost in peers.items():
        for index in lost:
            runners[index].suspected_by.add(host)
    end = clock() + seconds
    while clock() < end:
        for index in own:
            runners[index].suspect_until = clock() + STEP_SECONDS
        reach.update(runners, hosts, clock())
        clock.advance(STEP_SECONDS)
    assert reach.is_reached_elsewhere(hosts, clock()) is handed_on


@pytest.mark.parametrize(
    ("lapses", "data", "handed_on"), [(True, False, True), (False, True, False)]
)
def test_suspicion_that_lapses_counts_as_an_answer(clock, lapses, data, handed_on):
    """Guards against the same where each probe times out after its suspicion.

    Data from a runner begins the time anew, whatever the suspicions.
    """
    runners, reach = create_runners(), PoolReach()
    for step in range(int(2 * UNREACHED_SECONDS / STEP_SECONDS)):
        for runner in runners:
            if not lapses or step % int(LAPSE_SECONDS / STEP_SECONDS) == 0:
                runner.suspect_until = clock() + STEP_SECONDS
        if data:
            runners[0].last_byte = clock()
        reach.update(runners, PEERS, clock())
        clock.advance(STEP_SECONDS)
    assert reach.is_reached_elsewhere(PEERS, clock()) is handed_on


def test_peer_whose_suspicions_lapse_gets_the_job_back(clock):
    """Guards against two hosts that pass a job to and fro if none reaches runners."""
    runners, reach = create_runners(), PoolReach()
    for step in range(int(60.0 / STEP_SECONDS)):
        lapsed = step % int(1.0 / STEP_SECONDS) < int(0.5 / STEP_SECONDS)
        for runner in runners:
            runner.suspect_until = clock() + STEP_SECONDS
            runner.suspected_by = set() if lapsed and step else {"host-2"}
        reach.update(runners, PEERS[:1], clock())
        assert not reach.is_reached_elsewhere(PEERS[:1], clock())
        clock.advance(STEP_SECONDS)
    clock.advance(PEER_LAPSE_SECONDS)
    assert reach.is_reached_elsewhere(PEERS[:1], clock())
