from __future__ import annotations

import asyncio
import base64
import json
import math
import time

import pytest

from primroseford.gateway.heartbeat import HeartbeatService
from primroseford.gateway.peer_urls import CALLS_PORT_OFFSET
from primroseford.gateway.platform_watcher import PlatformWatcher
from primroseford.ids import JobId
from primroseford.jobs import recorder
from primroseford.jobs import scheduler
from primroseford.jobs.cancellations import SCAN_INTERVAL_SHARE
from primroseford.jobs.peers import JobPeers
from primroseford.jobs.preemption import preempt_item
from primroseford.jobs.preemption import preempt_items
from primroseford.jobs.scheduler import STOPPED_REPORT_SECONDS
from primroseford.jobs.service import JobService
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import JobView
from primroseford.jobs.state import decode_job
from primroseford.jobs.stopped import StoppedJob
from primroseford.jobs.store import CANCELLATIONS
from primroseford.jobs.store import CHECKPOINTS
from primroseford.jobs.store import JOBS
from primroseford.jobs.store import SEGMENTS
from primroseford.platform.configuration import decode_tables
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_runner import event

CANCEL_SECONDS = 3.0
"""Time in which a cancellation must take effect (``cancel_ms``)."""
SCAN_SECONDS = SCAN_INTERVAL_SHARE * CANCEL_SECONDS
"""Interval of the scans for cancellations."""
SETTLE_SECONDS = 1.0
"""Time after which a result read at one host must be read at all (``settle_ms``)."""
TEXT = "\n".join(f"token {number}" for number in range(1, 6))


def submission(count: int = 3, prefix: str = "it", tokens: int = 100) -> bytes:
    """Return the request body of a job."""
    items = [
        {
            "id": f"{prefix}{number}",
            "path": f"/notes/{prefix}{number}",
            "headers": {"Model": "m", "Prompt-Prefix": "a:1"},
            "body": base64.b64encode(b"\x00prompt").decode(),
            "tokens": tokens,
        }
        for number in range(count)
    ]
    return json.dumps({"items": items}).encode()


def service(host) -> JobService:
    """Return the job service of a host."""
    return next(
        host_service
        for host_service in host.services
        if isinstance(host_service, JobService)
    )


async def submit(site, job: str, host: int = 0, **fields):
    """Submit a job and return the status."""
    body = submission(**fields)
    return (await site.call("/notes/x", job, host=host, body=body))[0]


async def read(site, job: str, after: int = 0, host: int = 0):
    """Return the decoded response to a read."""
    status, _, body = await site.call(
        f"/lots/{job}?after={after}", method="GET", host=host, body=b"", Wait_Ms="1000"
    )
    assert status == 200
    return json.loads(body)


async def read_all(site, job: str, host: int = 0):
    """Read until every item has a result, and return the results."""
    results: list[dict] = []
    async with asyncio.timeout(30):
        while True:
            found = await read(site, job, len(results), host)
            assert found["next"] == len(results) + len(found["results"])
            results += found["results"]
            if len(results) == found["total"]:
                return results


async def join(site, count: int = 1, **fields):
    """Add hosts and wait until all receive heartbeats from each other."""
    for _ in range(count):
        await site.add_host(**fields)
    for host in site.hosts:
        members = host.gateway.members
        await site.until(lambda m=members, h=host: len(m.live(h.clock())) == count)


def stored(site, kind: str) -> dict:
    """Return the stored objects of a kind."""
    return site.platform.state.objects.get(kind, {})


async def test_job_completes_and_reads_are_the_same_on_all_hosts(site):
    """Guards against lost items and positions that differ between hosts."""
    await join(site)
    assert await submit(site, "job1") == 202
    from_first_host = await read_all(site, "job1")
    from_second_host = await read_all(site, "job1", host=1)
    assert from_first_host == from_second_host
    assert sorted(result["id"] for result in from_first_host) == ["it0", "it1", "it2"]
    assert {(r["state"], r["text"]) for r in from_first_host} == {("complete", TEXT)}
    runs = [run for runner in site.runners for run in runner.received]
    assert {run.request_id for run in runs} == {"it0", "it1", "it2"}
    assert all(run.body == b"\x00prompt" for run in runs)
    assert all(run.headers["Tenant"] == "caroni" for run in runs)
    assert all(run.headers["Prompt-Prefix"] == "a:1" for run in runs)


async def test_items_that_finish_together_are_committed_by_one_write(site):
    """Guards against one write to the store for each item of a job."""
    for number, runner in enumerate(site.runners):
        runner.event_seconds = 0.02 * (number + 1)
    assert await submit(site, "job1", count=8) == 202
    assert len(await read_all(site, "job1")) == 8
    assert len(stored(site, SEGMENTS)) == 1


@pytest.mark.parametrize("committed_elsewhere", [1, 3])
async def test_items_that_another_host_commits_meanwhile_are_committed_once(
    site, committed_elsewhere
):
    """Guards against an item at two positions after two hosts ran a job.

    A caller's read adds the other host's results while finished items wait for their
    commit.
    """
    assert await submit(site, "job1") == 202
    jobs = service(site.hosts[0])
    run = jobs.scheduler.runs["job1"]
    site.runners[1].event_seconds = 0.05
    await site.until(lambda: run.finished)
    ids = [item.item.id for item in run.finished]
    ids += [item.id for item in run.view.job.items if item.id not in ids]
    results = [
        ItemResult(ItemId(item), ItemState.COMPLETE, TEXT)
        for item in ids[:committed_elsewhere]
    ]
    assert await jobs.store.commit(JobView(run.view.job), results)
    await jobs.store.refresh(run.view)
    found = await read_all(site, "job1")
    assert sorted(result["id"] for result in found) == ["it0", "it1", "it2"]
    await site.until(lambda: "job1" not in jobs.scheduler.runs)
    segments = stored(site, SEGMENTS).values()
    committed = [r[0] for s in segments for r in s["spec"]["content"]["results"]]
    assert sorted(committed) == ["it0", "it1", "it2"]


@pytest.mark.parametrize("reader", [0, 2])
async def test_results_of_a_stopping_host_are_read_on_all_hosts(site, reader):
    """Guards against results that are missing on the host that took over the job.

    The stopping host has committed a result after its job was taken over.
    """
    await join(site, 2)
    for runner in site.runners:
        runner.faults.silent = True
    assert await submit(site, "job1") == 202
    assert (await read(site, "job1", host=2))["results"] == []
    stopping = service(site.hosts[1])
    view = JobView(service(site.hosts[0]).views.views["job1"].job)
    result = ItemResult(ItemId("it0"), ItemState.COMPLETE, TEXT)
    assert await stopping.store.commit(view, [result])
    stopped = StoppedJob(view, site.hosts[1].clock() + 30.0)
    stopping.scheduler.recently_stopped["job1"] = stopped
    site.hosts[1].gateway.stopping = True
    site.hosts[1].gateway.allocator.changed = True
    await asyncio.sleep(SETTLE_SECONDS - 0.3)
    found = await site.call(
        "/lots/job1?after=0", method="GET", host=reader, body=b"", Wait_Ms="0"
    )
    assert [r["id"] for r in json.loads(found[2])["results"]] == ["it0"]
    run = service(site.hosts[0]).scheduler.runs["job1"]
    await site.until(lambda: run.view.committed == {"it0"})
    await site.until(lambda: "it0" not in {item.item.id for item in run.running})


@pytest.mark.parametrize("urgent", [True, False])
async def test_results_committed_during_a_handover(site, urgent, monkeypatch):
    """Guards against a result that one host has returned and the next host lacks.

    The stopping host has finished an item that it commits after the takeover.
    """
    await join(site, 2)
    site.runners[0].event_seconds = site.runners[1].event_seconds = 0.4
    if not urgent:
        # Simulates a write that takes longer than the handover timeout.
        monkeypatch.setattr(scheduler, "HANDOVER_TIMEOUT_SECONDS", 0.0)
    assert await submit(site, "job1", host=1, count=3) == 202
    stopping, other = service(site.hosts[1]), service(site.hosts[0])
    run = stopping.scheduler.runs["job1"]

    await site.until(lambda: len(run.running) == 3)
    item = next(iter(run.running))
    item.not_before = math.inf
    item.task.cancel()
    await site.until(lambda: item in run.waiting)
    run.waiting.remove(item)
    item.result, item.data = ItemState.COMPLETE, TEXT.split("\n")
    run.finished.append(item)
    stopping.scheduler.recorder.schedule_commit(run)
    site.hosts[1].gateway.stopping = True
    site.hosts[1].gateway.allocator.changed = True
    await site.until(
        lambda: any("job1" in s.scheduler.runs for s in (other, service(site.hosts[2])))
    )
    await site.until(lambda: run.view.committed)
    await asyncio.sleep(SETTLE_SECONDS - 0.2)
    for host in (0, 2):
        found = await site.call(
            "/lots/job1?after=0", method="GET", host=host, body=b"", Wait_Ms="0"
        )
        assert len(json.loads(found[2])["results"]) >= 1
    runs = [r for runner in site.runners for r in runner.received]
    assert sum(r.request_id == item.item.id for r in runs) <= 1 or not urgent


async def test_takeover_requests_every_stopping_host(site):
    """Guards against a host that keeps running a job that another has taken over.

    The first stopping host has handed the job over to the second, which stops as well.
    """
    await join(site)
    site.runners[0].event_seconds = site.runners[1].event_seconds = 0.5
    assert await submit(site, "job1", host=1) == 202
    first, second = (service(host) for host in site.hosts)
    await site.until(lambda: any(r.data for r in second.scheduler.runs["job1"].running))
    first.views.cache(JobView(second.views.views["job1"].job))
    settings = [host.settings for host in site.hosts]
    urls = [f"http://{s.ip}:{s.peer_port + CALLS_PORT_OFFSET}" for s in settings]
    peers = JobPeers(site.session, lambda _: [], lambda _: urls, first.gateway.clock)
    progress = await peers.take_over(first.views.views["job1"])
    assert any(done.data for done in progress.values())
    assert "job1" not in second.scheduler.runs


async def test_finished_job_is_read_from_the_host_that_ran_it(site):
    """Guards against calls to the store by each host that serves reads of a job."""
    await join(site)
    assert await submit(site, "job1") == 202
    await read_all(site, "job1")
    await asyncio.sleep(STOPPED_REPORT_SECONDS + 0.5)
    calls = site.platform.state.calls
    before = calls["GET", SEGMENTS] + calls["GET", JOBS]
    assert len(await read_all(site, "job1", host=1)) == 3
    assert calls["GET", SEGMENTS] + calls["GET", JOBS] == before


@pytest.mark.parametrize("second_host", [0, 1])
async def test_job_is_accepted_once(site, second_host):
    """Guards against a job that runs twice after a repeated submission."""
    await join(site)
    assert await submit(site, "job1") == 202
    assert await submit(site, "job1", host=second_host) == 202
    results = await read_all(site, "job1", host=second_host)
    assert len(results) == 3 and len(stored(site, JOBS)) == 1
    runs = [run.request_id for r in site.runners for run in r.received]
    assert sorted(runs) == ["it0", "it1", "it2"]


@pytest.mark.parametrize(
    ("fault", "status"),
    [("lose_write_answers", 202), ("lose_writes", 202), ("down", 503)],
)
async def test_response_to_a_submission_is_true(site, fault, status):
    """Guards against an error for an accepted job, and a 202 for one that is lost."""
    setattr(site.platform.faults, fault, True if fault == "down" else 1)
    assert await submit(site, "job1") == status
    site.platform.faults.down = False
    assert len(stored(site, JOBS)) == (status == 202)


async def test_unknown_outcome_is_not_reported_as_a_rejection(site):
    """Guards against 429 or 503 for a job that may have been accepted."""
    site.platform.faults.lose_write_answers = 1
    site.platform.faults.down_after_writes = 1
    assert await submit(site, "job1") == 504
    site.platform.faults.down = False
    assert await submit(site, "job1") == 202
    assert len(await read_all(site, "job1")) == 3


@pytest.mark.parametrize(
    ("status", "runs", "state"),
    [(422, 1, "dead_letter"), (500, 3, "dead_letter")],
)
async def test_failing_item_becomes_a_dead_letter(site, status, runs, state):
    """Guards against poison items that are retried forever or abandoned too early."""
    for runner in site.runners:
        runner.faults.status = status
    assert await submit(site, "job1", count=1) == 202
    (result,) = await read_all(site, "job1")
    assert result == {"id": "it0", "state": state, "text": ""}
    assert sum(len(runner.received) for runner in site.runners) == runs


@pytest.mark.parametrize("faults", [{"cut_after": 2, "cuts": 1}, {"wrong_id": True}])
async def test_interrupted_run_resumes_on_another_runner(site, faults):
    """Guards against missing and repeated events in a text."""
    for name, value in faults.items():
        setattr(site.runners[0].faults, name, value)
    assert await submit(site, "job1", count=2) == 202
    results = await read_all(site, "job1")
    assert {result["text"] for result in results} == {TEXT}


async def test_events_without_ids_are_not_repeated(site):
    """Guards against events kept from a run that the next run cannot resume.

    In the soak test with a hostile runner, seed 721, a stream of events without ids was
    interrupted, and the whole stream of the next runner was appended to them.
    """
    for runner in site.runners:
        runner.faults.plain = True
        runner.faults.cut_after, runner.faults.cuts = 2, 1
    assert await submit(site, "job1", count=2) == 202
    results = await read_all(site, "job1")
    assert {result["text"] for result in results} == {TEXT}


async def test_preempted_item_resumes_after_its_last_event(site):
    """Guards against a preemption that loses or repeats events."""
    for runner in site.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(site, "job1", count=1) == 202
    runs = service(site.hosts[0]).scheduler.runs["job1"]
    await site.until(lambda: any(len(i.data) > 3 for i in runs.running))
    (item,) = runs.running
    item.task.cancel()
    (result,) = await read_all(site, "job1")
    assert result["text"] == "\n".join(f"token {n}" for n in range(1, 41))
    runs = [run for runner in site.runners for run in runner.received]
    assert max(int(r.headers.get("Last-Event-Id", 0)) for r in runs) > 3


async def test_one_item_on_a_runner_is_preempted(site):
    """Guards against a request that waits for a slot, and needless preemptions."""
    for runner in site.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(site, "job1", count=6) == 202
    scheduler = service(site.hosts[0]).scheduler
    run = scheduler.runs["job1"]
    await site.until(lambda: all(len(item.data) > 3 for item in run.running))
    before = {item: item.runner for item in run.running}
    preempt_item(scheduler, "i-1")
    preempt_item(scheduler, "absent")
    await site.until(lambda: len(run.running) == len(before) - 1)
    (paused,) = before.keys() - run.running
    assert before[paused] == "i-1"
    results = await read_all(site, "job1")
    text = "\n".join(f"token {n}" for n in range(1, 41))
    assert [result["text"] for result in results] == [text] * 6


async def test_item_on_a_runner_with_a_limit_is_preempted_for_a_slot_elsewhere(site):
    """Guards against runs cut on runners whose slots the requests cannot use."""
    for runner in site.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(site, "job1", count=6) == 202
    scheduler = service(site.hosts[0]).scheduler
    run = scheduler.runs["job1"]
    await site.until(lambda: all(len(item.data) > 3 for item in run.running))
    before = {item: item.runner for item in run.running}
    assert set(before.values()) == {"i-1", "i-2"}
    allocator = scheduler.gateway.allocator
    limited, full = allocator.runners["i-1"], allocator.runners["i-2"]
    allocator.tokens.limits.observe(limited.entry.key, 1.0, allocator.clock())
    full.set_peer_load("front-2", full.entry.slots, 0)
    preempt_items(scheduler)
    full.remove_peer_load("front-2")
    await site.until(lambda: len(run.running) < len(before))
    assert {before[item] for item in before.keys() - run.running} == {"i-2"}


@pytest.mark.parametrize("cause", ["silent", "leaving"])
async def test_job_of_a_lost_host_is_taken_over(site, cause):
    """Guards against jobs that no host runs after theirs is lost."""
    await join(site, 2)
    for runner in site.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(site, "job1") == 202
    await site.until(lambda: sum(r.open for r in site.runners) == 3)
    lost_host = site.hosts[0]
    if cause == "leaving":
        lost_host.gateway.stopping = True
    for host_service in lost_host.services:
        await host_service.stop()
    results = await read_all(site, "job1", host=1)
    assert len({result["id"] for result in results}) == 3


async def test_stopping_host_hands_over_its_progress(site):
    """Guards against items that restart from the beginning when their host stops."""
    for runner in site.runners:
        runner.events, runner.event_seconds = 150, 0.02
    assert await submit(site, "job1", count=1) == 202
    await join(site)
    (item,) = service(site.hosts[0]).scheduler.runs["job1"].running
    await site.until(lambda: len(item.data) > 10)
    site.hosts[0].gateway.stopping = True
    (result,) = await read_all(site, "job1", host=1)
    assert result["text"] == "\n".join(f"token {n}" for n in range(1, 151))
    runs = [run for runner in site.runners for run in runner.received]
    assert len(runs) == 2
    assert max(int(r.headers.get("Last-Event-Id", 0)) for r in runs) > 10


async def test_job_of_a_restarted_host_is_taken_over(site):
    """Guards against jobs that are lost when their host restarts quickly."""
    await join(site)
    for runner in site.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(site, "job1") == 202
    await site.until(lambda: site.hosts[1].gateway.members.known_jobs() == {"job1"})
    heartbeats = next(
        d for d in site.hosts[0].services if isinstance(d, HeartbeatService)
    )
    service(site.hosts[0]).scheduler.stop_job(
        service(site.hosts[0]).scheduler.runs["job1"], "killed"
    )
    service(site.hosts[0]).scheduler.recently_stopped.clear()
    service(site.hosts[0]).views.views.clear()
    heartbeats.incarnation, heartbeats.sequence = "anew", 0
    await site.until(lambda: site.hosts[1].gateway.members.orphaned == {"job1"})
    assert len(await read_all(site, "job1", host=1)) == 3


async def test_progress_survives_the_loss_of_all_hosts(site, monkeypatch):
    """Guards against items that lose their progress when all hosts are killed."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    for runner in site.runners:
        runner.events, runner.event_seconds = 150, 0.02
    assert await submit(site, "job1", count=1) == 202
    await site.until(lambda: stored(site, CHECKPOINTS))
    for host_service in site.hosts[0].services:
        await host_service.stop()
    await site.add_host()
    (result,) = await read_all(site, "job1", host=1)
    assert result["text"] == "\n".join(f"token {n}" for n in range(1, 151))
    runs = [run for runner in site.runners for run in runner.received]
    assert max(int(r.headers.get("Last-Event-Id", 0)) for r in runs) >= 10


async def test_job_survives_the_loss_of_all_hosts(site):
    """Guards against jobs that are held only in memory."""
    site.runners[0].faults.silent = site.runners[1].faults.silent = True
    assert await submit(site, "job1") == 202
    await site.until(lambda: sum(r.open for r in site.runners) == 3)
    for host_service in site.hosts[0].services:
        await host_service.stop()
    site.runners[0].faults.silent = site.runners[1].faults.silent = False
    await site.add_host()
    assert len(await read_all(site, "job1", host=1)) == 3


async def test_two_hosts_that_run_one_job_commit_each_item_once(site):
    """Guards against items at two positions after a needless takeover."""
    await join(site)
    for runner in site.runners:
        runner.events, runner.event_seconds = 20, 0.01
    assert await submit(site, "job1", count=5) == 202
    other = service(site.hosts[1])
    other.scheduler.start_job(await other.views.read("job1"))
    results = await read_all(site, "job1", host=1)
    assert sorted(r["id"] for r in results) == [f"it{n}" for n in range(5)]
    assert await read_all(site, "job1") == results


async def test_stale_view_does_not_restart_a_finished_job(site):
    """Guards against a takeover based on a view that lacks the latest results."""
    await join(site)
    assert await submit(site, "job1") == 202
    second = service(site.hosts[1])
    await second.views.read("job1")
    await read_all(site, "job1")
    await site.until(lambda: "job1" not in service(site.hosts[0]).scheduler.runs)
    runs = sum(len(runner.received) for runner in site.runners)
    for host in site.hosts:
        service(host).ownership.orphans["job1"] = host.clock() - 100
        await service(host).ownership.take_over_orphans()
    assert all(not service(host).scheduler.runs for host in site.hosts)
    assert sum(len(runner.received) for runner in site.runners) == runs


async def test_unknown_job_is_looked_up_once(site):
    """Guards against two store calls per second for a job that no longer exists."""
    members = site.hosts[0].gateway.members
    members.orphaned.add("gone")
    await site.until(lambda: not members.orphaned)
    ownership = service(site.hosts[0]).ownership
    await ownership.take_over_orphans()
    assert not ownership.orphans


@pytest.mark.parametrize("cancelling_host", [0, 1])
async def test_cancelled_job_stops(site, cancelling_host):
    """Guards against items that run after their job was cancelled."""
    await join(site)
    for runner in site.runners:
        runner.faults.silent = True
    assert await submit(site, "job1") == 202
    await site.until(lambda: sum(r.open for r in site.runners) == 3)
    for _ in range(2):
        status, _, _ = await site.call(
            "/lots/job1", method="DELETE", host=cancelling_host, body=b""
        )
        assert status == 200
    await site.until(lambda: sum(r.open for r in site.runners) == 0)
    assert (await read(site, "job1"))["results"] == []


async def test_cancellations_recorded_by_a_lost_host_stop_jobs(site):
    """Guards against items that run on after a cancellation that no heartbeat reported.

    One host of the fleet scans for such cancellations and reports them to the others.
    """
    await join(site, 2)
    for runner in site.runners:
        runner.faults.silent = True
    for host in range(3):
        job = f"job{host}"
        assert await submit(site, job, host=host, prefix=job, count=2) == 202
    await site.until(lambda: sum(r.open for r in site.runners) == 6)
    calls = site.platform.state.calls
    before, started = calls["GET", CANCELLATIONS], time.monotonic()
    await asyncio.sleep(2 * SCAN_SECONDS)
    for host in range(3):
        site.put(CANCELLATIONS, f"job{host}", {})
    async with asyncio.timeout(CANCEL_SECONDS):
        await site.until(lambda: not any(service(h).scheduler.runs for h in site.hosts))
        await site.until(lambda: sum(r.open for r in site.runners) == 0)
    scans = (time.monotonic() - started) / SCAN_SECONDS + 1
    assert 1 <= calls["GET", CANCELLATIONS] - before <= scans


@pytest.mark.parametrize("call", ["list_jobs", "load"])
async def test_cancellation_waits_for_another_call_that_hangs(site, call):
    """Guards against items that start after the end of their job (UNASKED).

    The host waits for a scan of all jobs, or for a job that it takes over.
    """
    host = site.hosts[0]
    waiting = asyncio.Event()

    async def hang(*_) -> None:
        waiting.set()
        await asyncio.Event().wait()

    for runner in site.runners:
        runner.faults.silent = True
    assert await submit(site, "job1") == 202
    await site.until(lambda: sum(r.open for r in site.runners) == 3)
    setattr(service(host).store, call, hang)
    host.gateway.members.orphaned.add(JobId("job2"))
    await waiting.wait()
    site.put(CANCELLATIONS, "job1", {})
    async with asyncio.timeout(CANCEL_SECONDS):
        await site.until(lambda: "job1" not in service(host).scheduler.runs)


@pytest.mark.parametrize(
    ("version", "confirmed_ago", "submitted_ago", "abandoned"),
    [
        (None, 0.0, 10.0, False),
        (9, 20.0, 10.0, False),
        (9, 9.0, 10.0, False),
        (9, 0.0, 10.0, True),
    ],
    ids=["no configuration", "too old", "perhaps too old", "route is gone"],
)
async def test_items_are_kept_by_a_host_with_an_old_configuration(
    site, version, confirmed_ago, submitted_ago, abandoned
):
    """Guards against items abandoned by a host that has missed a configuration."""
    host = site.hosts[0]
    for host_service in host.services:
        if isinstance(host_service, PlatformWatcher):
            await host_service.stop()
    routes = [r for r in configuration()["routes"] if r["kind"] != "batch"]
    spec = configuration(version or 1, routes=routes)
    host.gateway.tables = decode_tables(spec) if version else None
    host.gateway.confirmed_at = host.clock() - confirmed_ago
    job = decode_job(
        JobId("job1"),
        {
            "organisation": "caroni",
            "host": HOST,
            "prefix": "/notes/",
            "submitted": time.time() - submitted_ago,
        },
        [["it0", "/notes/it0", {}, "", 1]],
    )
    scheduler = service(host).scheduler
    scheduler.start_job(service(host).views.cache(JobView(job)))
    await asyncio.sleep(0.3)
    assert ("job1" not in scheduler.runs) == abandoned


async def test_item_body_is_readable(site):
    """Guards against item bodies that are lost or changed."""
    site.runners[0].faults.silent = site.runners[1].faults.silent = True
    await submit(site, "job1")
    for item, status in (("it1", 200), ("absent", 404)):
        found, _, body = await site.call(
            f"/items/job1?id={item}", method="GET", body=b""
        )
        assert found == status
        assert status == 404 or body == b"\x00prompt"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"items":[]}',
        b'{"items":[{"id":"a"}]}',
        submission(201),
        submission(2).replace(b"it1", b"it0"),
        submission(1).replace(b'"body": "', b'"body": "*'),
    ],
    ids=["empty", "list", "no items", "no path", "too many", "same id", "not base64"],
)
async def test_malformed_job_is_rejected(site, body):
    """Guards against malformed jobs that are accepted or break the host."""
    status, _, _ = await site.call("/notes/x", "job1", body=body)
    assert 400 <= status < 429 and not stored(site, JOBS)


async def test_jobs_beyond_the_token_limit_are_rejected(site):
    """Guards against more waiting tokens than an organisation may have."""
    site.runners[0].faults.silent = site.runners[1].faults.silent = True
    await join(site)
    assert await submit(site, "job1", tokens=2_000) == 202
    await site.until(lambda: site.hosts[1].gateway.members.known_jobs() == {"job1"})
    assert await submit(site, "job2", host=1, tokens=2_000) == 429
    assert await submit(site, "job3", host=1, tokens=1_000) == 202


async def test_large_job_is_stored_in_parts(site):
    """Guards against a job that is larger than the store's values."""
    body = json.loads(submission(4))
    for item in body["items"]:
        item["body"] = base64.b64encode(b"x" * 400_000).decode()
    content = json.dumps(body).encode()
    status, _, _ = await site.call("/notes/x", "job1", body=content)
    assert status == 202
    assert len(stored(site, "batch-parts")) == 3
    assert len(await read_all(site, "job1")) == 4


async def test_finished_jobs_are_removed_after_their_retention(site):
    """Guards against jobs that fill the store, and results removed too early."""
    jobs = service(site.hosts[0])
    await submit(site, "job1")
    await read_all(site, "job1")
    await site.until(lambda: "job1" not in jobs.scheduler.runs)
    await jobs.ownership.scan()
    assert stored(site, JOBS)
    jobs.ownership.retention_seconds = -1000.0
    await jobs.ownership.scan()
    assert not stored(site, JOBS) and not stored(site, SEGMENTS)


def test_stand_in_events_are_numbered():
    """Guards against a stand-in whose text cannot reveal a lost event."""
    assert event(2) == b"id: 2\ndata: token 2\n\n"
