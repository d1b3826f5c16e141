"""Which runners a host limits after a start or a suspicion, and until when."""

from __future__ import annotations

import math

import pytest

from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import RunnerAnswers
from primroseford.gateway.gen.messages.ttypes import RunnerPace
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import batch_runner
from primroseford.gateway.placement import batch_start_limit
from primroseford.gateway.placement import expected_wait
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.tests.test_cold_runners import EVENTS
from primroseford.gateway.tests.test_cold_runners import FIRST
from primroseford.gateway.tests.test_cold_runners import OLD
from primroseford.gateway.tests.test_cold_runners import POOL
from primroseford.gateway.tests.test_cold_runners import UNIX_NOW
from primroseford.gateway.tests.test_cold_runners import create_gateway
from primroseford.gateway.tests.test_cold_runners import list_runners
from primroseford.gateway.tests.test_cold_runners import suspect
from primroseford.proof.site import Site
from primroseford.standins.fleet_objects import configuration

EXPECTED = [(apply, left is not None) for apply, left in EVENTS]


def create_paced(cold_pools: dict, slowness: bool):
    """Return the state of a host with a pool that may be limited."""
    gateway = create_gateway(rate=0.0)
    gateway.pace.unix_time = lambda: UNIX_NOW
    gateway.pace.cold_pools = cold_pools
    if slowness:
        gateway.allocator.slowness_pools.add(POOL)
    return gateway


@pytest.mark.parametrize(("apply", "is_cold"), EXPECTED)
def test_deployment_without_cold_time_or_fourth_figure_is_limited(apply, is_cold):
    """Guards against changes for deployments to which the feature does not apply."""
    gateway = create_paced({}, slowness=False)
    apply(gateway)
    heartbeat = Heartbeat(
        host="peer",
        incarnation="1",
        loads=[],
        runner_answers=[RunnerAnswers("i-1", OLD, 1, 1, 1)],
        paces=[RunnerPace("i-1", OLD, 3.0, 0)],
    )
    gateway.pace.apply_heartbeat(heartbeat)
    for runner in gateway.allocator.runners.values():
        gateway.pace.note_answer(runner, 0.1)
        gateway.pace.note_failure(runner)
        assert gateway.allocator.may_use(runner)
        assert runner.load().limit == math.inf
    assert not gateway.pace.ramps.ramps
    assert not gateway.pace.usual.means
    sent = Heartbeat()
    gateway.pace.fill_heartbeat(sent)
    assert not sent.paces
    assert not sent.runner_answers


@pytest.mark.parametrize(
    ("apply", "is_limited"),
    [
        # An entry that states a cold time is no new start of the runner.
        (apply, left in (2.0, 3.0, 4.0, 9.0) and apply is not EVENTS[1][0])
        for apply, left in EVENTS
    ],
)
def test_runner_that_has_started_or_returned_is_not_limited(apply, is_limited):
    """Guards against runners that get full load at their start or return."""
    gateway = create_paced({POOL: 3.0}, slowness=False)
    apply(gateway)
    assert bool(gateway.pace.ramps.ramps) is is_limited


def test_first_list_limits_runners_that_only_report_their_slowness():
    """Guards against a restarted host that limits all runners of a pool."""
    gateway = create_paced({}, slowness=True)
    list_runners(FIRST)(gateway)
    assert not gateway.pace.ramps.ramps
    suspect(gateway)
    assert gateway.pace.ramps.ramps


@pytest.mark.parametrize(
    ("limit", "born", "is_limited"),
    [
        (5.0, OLD, True),
        (5.0, OLD + 1, False),
        (math.nan, OLD, False),
        (-1.0, OLD, False),
        (10.0, OLD, False),
    ],
)
def test_report_is_applied_to_another_instance(limit, born, is_limited):
    """Guards against reports of other instances and values that are no limit."""
    gateway = create_paced({POOL: 3.0}, slowness=False)
    EVENTS[0][0](gateway)
    report = RunnerPace("i-1", born, limit, 0)
    gateway.pace.apply_heartbeat(Heartbeat("peer", "1", loads=[], paces=[report]))
    key = RunnerKey("i-1", OLD)
    assert (key in gateway.pace.ramps.ramps) is is_limited
    assert (gateway.allocator.runners["i-1"].load().limit == limit) is is_limited


def test_responses_before_the_next_step_are_lost():
    """Guards against a runner that stays limited since its responses came at once."""
    gateway = create_paced({POOL: 3.0}, slowness=False)
    suspect(gateway)
    for _ in range(12):
        gateway.pace.note_answer(gateway.allocator.runners["i-1"], 0.001)
    assert not gateway.pace.ramps.ramps


def test_old_report_of_a_paused_owner_is_applied():
    """Guards against the limit from before a pause of its owner."""
    gateway = create_paced({POOL: 3.0}, slowness=False)
    suspect(gateway)
    report = RunnerPace("i-1", OLD, 9.0, 5000)
    gateway.pace.apply_heartbeat(Heartbeat("peer", "1", loads=[], paces=[report]))
    assert not next(iter(gateway.pace.ramps.ramps.values())).reports


def load(limit: float, online: int = 0) -> RunnerLoad:
    """Return the load of a runner with 8 slots."""
    return RunnerLoad(RunnerKey("i-1", OLD), "a", 8, online, 0, limit=limit)


@pytest.mark.parametrize(
    ("limit", "online", "is_chosen"),
    [(math.inf, 7, True), (math.inf, 8, False), (3.0, 0, True), (3.0, 1, False)],
)
def test_batch_takes_the_room_of_online_requests(limit, online, is_chosen):
    """Guards against items on a runner that is ramping up with online requests."""
    gateway = create_gateway()
    chosen = batch_runner([load(limit, online)], gateway.random)
    assert (chosen is not None) is is_chosen


def test_room_of_limited_runners_is_overestimated():
    """Guards against waits and starts that assume that all slots can be used."""
    gateway = create_gateway()
    assert batch_start_limit([load(3.0)], 1.0, gateway.random) < batch_start_limit(
        [load(math.inf)], 1.0, gateway.random
    )
    assert expected_wait(9, [load(3.0)], 1.0) > expected_wait(9, [load(math.inf)], 1.0)


@pytest.fixture
async def site(platform, session):
    """A site of one host and one runner whose pool has a cold time without a limit."""
    created = Site(platform, session)
    content = configuration()
    content["services"][0] |= {"cold_start_s": 3.0}
    created.put("config", "main", content)
    await created.add_runner("i-1")
    await created.add_host()
    yield created
    await created.stop()


@pytest.mark.parametrize("path", ["/ping/whole", "/nudge/x", "/pick/x"])
async def test_runner_stays_limited_although_it_responds(site, path):
    """Guards against responses that do not raise the limit of a runner."""
    gateway = site.hosts[0].gateway
    gateway.suspect(gateway.allocator.runners["i-1"], "silent")
    assert gateway.pace.ramps.ramps
    for number in range(12):
        assert (await site.call(path, f"id-{number}"))[0] == 200
    await site.until(lambda: not gateway.pace.ramps.ramps)
    assert gateway.allocator.runners["i-1"].load().limit == math.inf


@pytest.mark.parametrize(("cold_per_s", "paced"), [(0.0, True), (8.3, False)])
async def test_pool_with_a_bound_on_cold_runners_is_paced_as_well(
    site, cold_per_s, paced
):
    """Guards against counts of ramping runners where the bound limits them already."""
    gateway = site.hosts[0].gateway
    content = configuration(2)
    content["services"][0] |= {"cold_start_s": 3.0, "cold_per_s": cold_per_s}
    site.put("config", "main", content)
    await site.until(lambda: gateway.tables.version == 2)
    assert gateway.pace.is_paced("models") is paced
