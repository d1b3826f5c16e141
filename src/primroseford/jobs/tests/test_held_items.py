"""Items whose prompt is quarantined: who tries them, and when they start again."""

from __future__ import annotations

import asyncio
import base64
import json

import pytest

from primroseford.gateway.heartbeat import IDLE_HEARTBEAT_SECONDS
from primroseford.gateway.members import preferred_host
from primroseford.jobs.preemption import preempt_item
from primroseford.jobs.tests.test_jobs import join
from primroseford.jobs.tests.test_jobs import service
from primroseford.quarantine.state import TRIAL_SECONDS
from primroseford.quarantine.state import QuarantineRecord

PART = "shared"
TRIAL_IN_SECONDS = 2.0
"""Time until the trial that these tests wait for."""
CALM_SECONDS = 6.0
"""Time after a trial in which no other one may begin: several turns of hosts."""


async def quarantine_part(site) -> None:
    """Let all hosts know a quarantine whose trial is due soon."""
    for host in site.hosts:
        trial_at = host.clock() + TRIAL_IN_SECONDS
        record = QuarantineRecord(PART, 1, trial_at, TRIAL_SECONDS)
        host.gateway.quarantine.apply(record)


async def submit_item(site, job: str, host: int) -> None:
    """Submit a job of one item with the quarantined part to a host."""
    item = {
        "id": f"{job}-item",
        "path": f"/notes/{job}",
        "headers": {"Model": "m", "Prompt-Prefix": f"{PART}:100,own-{job}:10"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 10,
    }
    body = json.dumps({"items": [item]}).encode()
    assert (await site.call("/notes/x", job, host=host, body=body))[0] == 202


def trials(site) -> list[str]:
    """Return the ids of the items with the part that have reached runners."""
    return [
        request.request_id
        for runner in site.runners
        for request in runner.received
        if PART in request.headers.get("Prompt-Prefix", "")
    ]


def preferred(site) -> int:
    """Return the number of the host that a hash over all hosts prefers."""
    names = [host.gateway.members.own for host in site.hosts]
    return names.index(preferred_host(PART, names))


@pytest.mark.parametrize("distance", [0, 1, 2])
async def test_held_item_that_only_its_host_has_is_tried_by_nobody(site, distance):
    """Guards against a trial that waits for a host without a request to try (LOST)."""
    await join(site, 2)
    await quarantine_part(site)
    owner = (preferred(site) + distance) % len(site.hosts)
    await submit_item(site, "job1", owner)
    await site.until(lambda: trials(site))
    await site.until(lambda: "job1" not in service(site.hosts[owner]).scheduler.runs)
    assert trials(site) == ["job1-item"]
    for host in site.hosts:
        await site.until(lambda host=host: not host.gateway.quarantine.active())


async def test_each_host_with_a_held_item_tries_it(site):
    """Guards against trials by several hosts at a time (BUDGET)."""
    await join(site, 2)
    for runner in site.runners:
        runner.faults.deadly_part = PART
    await quarantine_part(site)
    for number in range(len(site.hosts)):
        await submit_item(site, f"job{number}", number)
    await site.until(lambda: trials(site))
    await asyncio.sleep(CALM_SECONDS)
    assert len(trials(site)) == 1
    for host in site.hosts:
        assert host.gateway.quarantine.active() == {PART}
        assert service(host).scheduler.runs


@pytest.mark.parametrize("idle", [0, 1, 2])
async def test_host_whose_turn_it_is_starts_no_trial(site, idle):
    """Guards against a trial that depends on one host, however alive it is (LOST)."""
    await join(site, 2)
    await quarantine_part(site)
    capacity = service(site.hosts[idle]).scheduler.capacity
    capacity.choose_runner = capacity.choose_limited_runner = lambda *_: None
    for number in range(len(site.hosts)):
        await submit_item(site, f"job{number}", number)
    await site.until(lambda: trials(site))
    others = [service(h).scheduler for n, h in enumerate(site.hosts) if n != idle]
    await site.until(lambda: not any(scheduler.runs for scheduler in others))
    heard = site.hosts[idle].gateway.members.own
    for number, host in enumerate(site.hosts):
        if number != idle:
            peer = host.gateway.members.peers[heard]
            await site.until(
                lambda peer=peer, host=host: (
                    host.clock() - peer.heard_at < IDLE_HEARTBEAT_SECONDS
                )
            )


async def test_held_items_wait_after_the_end_of_a_quarantine(site):
    """Guards against items that keep the retry delay of their crashes (LOST)."""
    await quarantine_part(site)
    scheduler = service(site.hosts[0]).scheduler
    for number in range(4):
        await submit_item(site, f"job{number}", 0)
    await site.until(
        lambda: all(i.held for run in scheduler.runs.values() for i in run.waiting)
    )
    for run in scheduler.runs.values():
        for item in run.waiting:
            item.interruptions = 4
            item.not_before = site.hosts[0].clock() + 3600.0
    site.hosts[0].gateway.quarantine.lift(PART, "a test")
    await site.until(lambda: not scheduler.runs)
    assert len(trials(site)) == 4


async def test_trial_is_preempted_before_it_shows_anything(site):
    """Guards against a trial that is used up for nothing, with 60 s until the next."""
    for runner in site.runners:
        runner.faults.silent = True
    await quarantine_part(site)
    await submit_item(site, "job1", 0)
    scheduler = service(site.hosts[0]).scheduler
    await site.until(lambda: scheduler.runs["job1"].running)
    (item,) = scheduler.runs["job1"].running
    task = item.task
    preempt_item(scheduler, item.runner)
    assert not task.cancelling()
    for runner in site.runners:
        runner.faults.silent = False
    site.hosts[0].gateway.quarantine.lift(PART, "a test")
    await site.until(lambda: "job1" not in scheduler.runs)


async def test_running_item_whose_quarantine_has_ended_is_never_preempted(site):
    """Guards against a trial that keeps its slot once its first event has come."""
    await quarantine_part(site)
    for runner in site.runners:
        runner.event_seconds = 1.0
    await submit_item(site, "job1", 0)
    scheduler = service(site.hosts[0]).scheduler
    await site.until(lambda: any(i.data for i in scheduler.runs["job1"].running))
    (item,) = scheduler.runs["job1"].running
    task = item.task
    preempt_item(scheduler, item.runner)
    assert task.cancelling()


async def test_trial_that_reaches_no_runner_is_used_up(site):
    """Guards against a wait of 60 s after a trial that met a runner that was gone."""
    for runner in site.runners:
        runner.crash()
    await quarantine_part(site)
    await submit_item(site, "job1", 0)
    quarantine = site.hosts[0].gateway.quarantine
    await site.until(lambda: quarantine.records[PART].generation > 2)
    record = quarantine.records[PART]
    assert record.trial_seconds == TRIAL_SECONDS
    await site.add_runner("i-3")
    await site.until(lambda: trials(site))
    await site.until(lambda: not quarantine.active())
