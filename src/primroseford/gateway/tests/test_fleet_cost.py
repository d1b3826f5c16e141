"""Tests that incremental state for cheap heartbeats in large fleets stays exact."""

from __future__ import annotations

from random import Random

import pytest

from primroseford.clock import ManualClock
from primroseford.errors import PrimrosefordError
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import RunnerLoad
from primroseford.gateway.gen.messages.ttypes import Spending
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.tables import Organisation
from primroseford.gateway.tables import Tables
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.proof.heartbeats import HeartbeatFleet

RUNNERS = 4
HOSTS = 5


def entry(number: int, stage: RunnerStage = RunnerStage.READY) -> RunnerEntry:
    """Return the entry of a runner."""
    key = RunnerKey(f"i-{number}", 1)
    return RunnerEntry(key, "models", "127.0.0.1:1", "a", 8, stage, "v1")


def heartbeat(host: int, sequence: int, loads: dict[int, tuple[int, int]]) -> Heartbeat:
    """Return a heartbeat that reports loads by the number of the runner."""
    reports = [RunnerLoad(f"i-{n}", *load, False) for n, load in loads.items()]
    return Heartbeat(
        f"h-{host}",
        "1",
        "127.0.0.1:1",
        "a",
        sequence,
        False,
        1,
        0,
        reports,
        [],
        [],
        ended_jobs=[],
    )


@pytest.mark.parametrize("seed", range(20))
def test_sums_of_loads_are_those_of_the_hosts(seed):
    """Guards against slots that stay reserved, or are released twice, after changes."""
    random, allocator = Random(seed), SlotAllocator("a", ManualClock(), Random(seed))
    allocator.set_runners({f"i-{n}": entry(n) for n in range(RUNNERS)})
    for sequence in range(200):
        host = random.randrange(HOSTS)
        match random.random():
            case chance if chance < 0.1:
                allocator.remove_host(f"h-{host}")
            case chance if chance < 0.15:
                kept = random.sample(range(RUNNERS), random.randint(0, RUNNERS))
                stages = [random.choice(list(RunnerStage)) for _ in kept]
                entries = zip(kept, stages, strict=True)
                allocator.set_runners({f"i-{n}": entry(n, s) for n, s in entries})
            case _:
                reported = random.sample(range(RUNNERS), random.randint(0, RUNNERS))
                loads = {
                    n: (random.randrange(9), random.randrange(9)) for n in reported
                }
                allocator.apply_heartbeat(heartbeat(host, sequence, loads))
        for runner in allocator.runners.values():
            online = sum(load[0] for load in runner.peers.values())
            batch = sum(load[1] for load in runner.peers.values())
            assert (runner.load().online, runner.load().batch) == (online, batch)
        ready = [
            runner
            for runner in allocator.runners.values()
            if runner.entry.stage is RunnerStage.READY
        ]
        assert allocator.pool_runners("models") == ready


@pytest.mark.parametrize(
    ("reports", "counted"),
    [
        # Admissions before the first heartbeat do not count, only the fresh ones in it.
        ([(7, 2), (7, 0), (9, 2)], 4),
        ([(7, 0), (9, 1)], 2),
        ([(7, 0), (7, 0), (8, 1)], 1),
    ],
)
def test_admissions_of_others_are_counted_once(reports, counted):
    """Guards against admissions that are missed after a lost heartbeat, or count twice.

    :param reports: admissions since the start and since the last heartbeat, in order
    """
    fleet = HeartbeatFleet(2)
    service = fleet.services["a-0"]
    organisation = Organisation("caroni", 1.0, 100.0)
    service.gateway.tables = Tables(1, (), {}, {"caroni": organisation}, None)
    quotas = service.gateway.quotas
    before = quotas.refill(organisation, fleet.clock()).level
    for sequence, (admitted, fresh) in enumerate(reports):
        message = heartbeat(9, sequence, {})
        message.spending = [Spending("caroni", admitted, fresh)]
        service.receive_direct(encode(message))
    assert quotas.buckets["caroni"].level == before - counted


@pytest.mark.parametrize("truncated_at", range(1, 40, 3))
def test_message_after_a_broken_one_is_read_whole(truncated_at):
    """Guards against a decoder that keeps state of a truncated message."""
    message = heartbeat(1, 5, {0: (1, 2), 3: (4, 5)})
    data = encode(message)
    with pytest.raises(PrimrosefordError):
        decode(Heartbeat, data[:truncated_at])
    assert decode(Heartbeat, data) == message
