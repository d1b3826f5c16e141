"""Tests of the check of tables and of the conditional writes of a plan."""

from __future__ import annotations

import pytest

from primroseford.clock import ManualClock
from primroseford.configuration.apply import StepResult
from primroseford.configuration.apply import apply_plan
from primroseford.configuration.apply import plan_changes
from primroseford.configuration.apply import read_platform
from primroseford.configuration.apply import wait_until_in_force
from primroseford.configuration.check import check_tables
from primroseford.configuration.check import read_tables
from primroseford.configuration.relay import HostVersion
from primroseford.configuration.tests.fakes import FakePlatform
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

ORGANISATION = {"kind": "Organisation", "name": "caroni", "rate": 5, "burst": 5}
RUNNER = {"name": "r1", "address": "127.0.0.1:1", "failure_domain": "d1"}
POOL = {"kind": "Pool", "name": "vans", "runners": [RUNNER]}
ROUTE = {"kind": "Route", "name": "vans", "pool": "vans", "organisations": ["caroni"]}
TABLES = [ORGANISATION, POOL, ROUTE]


@pytest.mark.parametrize(
    "change, code, field",
    [
        ("text", ResultCode.MALFORMED, "document 4"),
        ({"name": "x"}, ResultCode.MISSING_FIELD, "document 4.kind"),
        ({"kind": "Rout"}, ResultCode.INVALID_VALUE, "document 4.kind"),
        ({"kind": "Pool"}, ResultCode.MISSING_FIELD, "document 4.name"),
        ({"kind": "Pool", "name": 3}, ResultCode.INVALID_VALUE, "Pool/3.name"),
        (ROUTE | {"name": "b", "prio": 1}, ResultCode.UNKNOWN_FIELD, "Route/b.prio"),
        (POOL | {"runners": []}, ResultCode.DUPLICATE_NAME, "Pool/vans.name"),
        (
            ROUTE | {"name": "b", "priority": 2, "pool": "no"},
            ResultCode.DANGLING_REFERENCE,
            "Route/b.pool",
        ),
        (
            ROUTE | {"name": "b", "priority": 2, "organisations": ["caroni", "no"]},
            ResultCode.DANGLING_REFERENCE,
            "Route/b.organisations.1",
        ),
        (
            ORGANISATION | {"name": "b", "rate": -1},
            ResultCode.INVALID_VALUE,
            "Organisation/b.rate",
        ),
        (ROUTE | {"name": "b"}, ResultCode.INVALID_VALUE, "Route/vans.match"),
        (
            POOL | {"name": "b"},
            ResultCode.DUPLICATE_NAME,
            "Pool/b.runners.0.name",
        ),
    ],
)
def test_each_problem_is_found_with_its_path(change, code, field):
    """Guards against invalid tables that are written to the platform."""
    problems = check_tables([*TABLES, change])
    assert [(p.code, p.field) for p in problems] == [(code, field)]


def test_all_problems_are_reported_at_once():
    """Guards against a check that reports only the first problem."""
    bad = [{"kind": "Pool"}, ROUTE | {"pool": "no"}, ORGANISATION | {"rate": -1}]
    assert len(check_tables(bad)) >= 3
    assert check_tables(TABLES) == []


async def applied(platform, documents):
    client = platform.client()
    current = await read_platform(client)
    steps = plan_changes(read_tables(documents), current, prune=True)
    return await apply_plan(client, steps, current)


async def test_partial_tables_delete_nothing_by_default():
    """Guards against a file with some tables that deletes all other tables."""
    platform = FakePlatform()
    await applied(platform, TABLES)
    current = await read_platform(platform.client())
    assert plan_changes(read_tables([ORGANISATION]), current) == []


async def test_writes_never_leave_a_dangling_reference():
    """Guards against a route that is written before its pool or deleted after it."""
    platform = FakePlatform()
    made = await applied(platform, TABLES)
    assert [o.step.kind for o in made] == ["organisations", "pools", "routes"]
    removed = await applied(platform, [])
    assert [o.step.kind for o in removed] == ["routes", "pools", "organisations"]
    assert not platform.objects


@pytest.mark.parametrize(
    "before, after, losses",
    [
        ([], [ORGANISATION], 1),
        ([ORGANISATION], [ORGANISATION | {"rate": 9}], 1),
        ([ORGANISATION], [], 1),
    ],
    ids=["create", "update", "delete"],
)
async def test_answer_lost_after_effect_is_reported_as_done(before, after, losses):
    """Guards against a write that took effect and is reported as failed."""
    platform = FakePlatform()
    await applied(platform, before)
    version = platform.version
    platform.lose_answers = losses
    outcomes = await applied(platform, after)
    assert [o.result for o in outcomes] == [StepResult.DONE]
    assert platform.version == version + 1


@pytest.mark.parametrize("after", [[ORGANISATION | {"rate": 9}], []])
async def test_lost_race_reports_the_changed_fields(after):
    """Guards against an edit that overwrites another operator's edit."""
    platform = FakePlatform()
    await applied(platform, [ORGANISATION])
    theirs = {"rate": 7, "burst": 5}
    platform.before_write.append(
        lambda: platform.put("organisations", "caroni", theirs)
    )
    (outcome,) = await applied(platform, after)
    assert outcome.result is StepResult.LOST_RACE
    assert [(c.path, c.old, c.new) for c in outcome.theirs] == [("rate", 5, 7)]
    assert platform.objects["organisations", "caroni"].spec == theirs


async def test_race_of_two_creations_has_one_winner():
    """Guards against a lost race that is not reported, and against later writes."""
    platform = FakePlatform()
    spec = {"rate": 1, "burst": 1}
    platform.before_write.append(lambda: platform.put("organisations", "caroni", spec))
    outcomes = await applied(platform, TABLES)
    lost, *rest = [o.result for o in outcomes]
    assert lost is StepResult.LOST_RACE
    assert rest == [StepResult.NOT_TRIED] * 2


async def test_wait_names_the_hosts_that_have_not_confirmed():
    """Guards against an ``apply --wait`` that ends before the edit is in force, or
    because the queried host is still starting."""
    clock = ManualClock()
    versions = {"a": HostVersion(5, 0, 0), "b": HostVersion(4, 0, 0), "c": None}
    failures = [PrimrosefordError(ResultCode.PEER_UNREACHABLE, "starting")]

    async def read():
        if failures:
            raise failures.pop()
        return versions

    async def pause(seconds):
        clock.advance(seconds)

    assert await wait_until_in_force(5, read, clock, pause, 2) == ["b", "c"]
    versions |= {"b": HostVersion(5, 0, 0), "c": HostVersion(6, 0, 0)}
    assert await wait_until_in_force(5, read, clock, pause, 2) == []
