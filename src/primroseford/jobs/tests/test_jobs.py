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
from primroseford.jobs.peers import JobPeers
from primroseford.jobs.preemption import preempt_item
from primroseford.jobs.scheduler import TOLD_SECONDS
from primroseford.jobs.service import ENDS_SECONDS
from primroseford.jobs.service import JobService
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import JobView
from primroseford.jobs.state import decode_job
from primroseford.jobs.store import CHECKPOINTS
from primroseford.jobs.store import ENDS
from primroseford.jobs.store import JOBS
from primroseford.jobs.store import SEGMENTS
from primroseford.platform.configuration import decode_tables
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_runner import event

CANCEL_SECONDS = 3.0
"""Time in which the end of a job takes effect (``cancel_ms``)."""
SETTLE_SECONDS = 1.0
"""Time after which what was read at one host is read at all (``settle_ms``)."""
TEXT = "\n".join(f"token {number}" for number in range(1, 6))


def submission(count: int = 3, prefix: str = "it", tokens: int = 100) -> bytes:
    """Return the body of a job."""
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
    return next(duty for duty in host.services if isinstance(duty, JobService))


async def submit(rig, job: str, host: int = 0, **fields):
    """Submit a job and return the status."""
    body = submission(**fields)
    return (await rig.call("/notes/x", job, host=host, body=body))[0]


async def read(rig, job: str, after: int = 0, host: int = 0):
    """Return the decoded answer to a read."""
    status, _, body = await rig.call(
        f"/lots/{job}?after={after}", method="GET", host=host, body=b"", Wait_Ms="1000"
    )
    assert status == 200
    return json.loads(body)


async def read_all(rig, job: str, host: int = 0):
    """Read until every item is listed, and return the results."""
    results: list[dict] = []
    async with asyncio.timeout(30):
        while True:
            found = await read(rig, job, len(results), host)
            assert found["next"] == len(results) + len(found["results"])
            results += found["results"]
            if len(results) == found["total"]:
                return results


async def join(rig, count: int = 1, **fields):
    """Add hosts and wait until all hear each other."""
    for _ in range(count):
        await rig.add_host(**fields)
    for host in rig.hosts:
        members = host.gateway.members
        await rig.until(lambda m=members, h=host: len(m.live(h.clock())) == count)


def stored(rig, kind: str) -> dict:
    """Return the stored objects of a kind."""
    return rig.platform.state.objects.get(kind, {})


async def test_job_completes_and_reads_alike_everywhere(rig):
    """Guards against lost items and positions that differ between hosts."""
    await join(rig)
    assert await submit(rig, "job1") == 202
    here = await read_all(rig, "job1")
    there = await read_all(rig, "job1", host=1)
    assert here == there
    assert sorted(result["id"] for result in here) == ["it0", "it1", "it2"]
    assert {(r["state"], r["text"]) for r in here} == {("complete", TEXT)}
    runs = [run for runner in rig.runners for run in runner.received]
    assert {run.request_id for run in runs} == {"it0", "it1", "it2"}
    assert all(run.body == b"\x00prompt" for run in runs)
    assert all(run.headers["Tenant"] == "caroni" for run in runs)
    assert all(run.headers["Prompt-Prefix"] == "a:1" for run in runs)


async def test_items_that_finish_together_are_listed_by_one_write(rig):
    """Guards against one write to the store for each item of a job."""
    for number, runner in enumerate(rig.runners):
        runner.event_seconds = 0.02 * (number + 1)
    assert await submit(rig, "job1", count=8) == 202
    assert len(await read_all(rig, "job1")) == 8
    assert len(stored(rig, SEGMENTS)) == 1


@pytest.mark.parametrize("listed_elsewhere", [1, 3])
async def test_items_that_another_host_commits_meanwhile_are_committed_once(
    rig, listed_elsewhere
):
    """Guards against an item at two positions after two hosts ran a job.

    The other host's results are read here, for a caller, while finished items wait.
    """
    assert await submit(rig, "job1") == 202
    jobs = service(rig.hosts[0])
    run = jobs.scheduler.runs["job1"]
    rig.runners[1].event_seconds = 0.05
    await rig.until(lambda: run.finished)
    ids = [item.item.id for item in run.finished]
    ids += [item.id for item in run.view.job.items if item.id not in ids]
    results = [
        ItemResult(ItemId(item), ItemState.COMPLETE, TEXT)
        for item in ids[:listed_elsewhere]
    ]
    assert await jobs.store.commit(JobView(run.view.job), results)
    await jobs.store.refresh(run.view)
    found = await read_all(rig, "job1")
    assert sorted(result["id"] for result in found) == ["it0", "it1", "it2"]
    await rig.until(lambda: "job1" not in jobs.scheduler.runs)
    segments = stored(rig, SEGMENTS).values()
    listed = [r[0] for s in segments for r in s["spec"]["content"]["results"]]
    assert sorted(listed) == ["it0", "it1", "it2"]


@pytest.mark.parametrize("reader", [0, 2])
async def test_results_of_a_stopping_host_are_read_on_all_hosts(rig, reader):
    """Guards against results that vanish while another host runs the job unaware.

    The leaving host has listed a result after its job had been taken over.
    """
    await join(rig, 2)
    for runner in rig.runners:
        runner.faults.silent = True
    assert await submit(rig, "job1") == 202
    assert (await read(rig, "job1", host=2))["results"] == []
    leaving = service(rig.hosts[1])
    view = JobView(service(rig.hosts[0]).views.views["job1"].job)
    result = ItemResult(ItemId("it0"), ItemState.COMPLETE, TEXT)
    assert await leaving.store.commit(view, [result])
    leaving.scheduler.told["job1"] = (view, rig.hosts[1].clock() + 30.0)
    rig.hosts[1].gateway.stopping = True
    rig.hosts[1].gateway.allocator.changed = True
    await asyncio.sleep(SETTLE_SECONDS - 0.3)
    found = await rig.call(
        "/lots/job1?after=0", method="GET", host=reader, body=b"", Wait_Ms="0"
    )
    assert [r["id"] for r in json.loads(found[2])["results"]] == ["it0"]
    run = service(rig.hosts[0]).scheduler.runs["job1"]
    await rig.until(lambda: run.view.listed == {"it0"})
    await rig.until(lambda: "it0" not in {item.item.id for item in run.running})


@pytest.mark.parametrize("urgent", [True, False])
async def test_results_committed_during_a_handover(rig, urgent, monkeypatch):
    """Guards against a result that one host has shown and the next host lacks.

    The leaving host has finished an item that it lists after the job was taken over.
    """
    await join(rig, 2)
    rig.runners[0].event_seconds = rig.runners[1].event_seconds = 0.4
    if not urgent:
        # As if the write took longer than the other host waits.
        monkeypatch.setattr(scheduler, "HAND_OVER_SECONDS", 0.0)
    assert await submit(rig, "job1", host=1, count=3) == 202
    leaving, rest = service(rig.hosts[1]), service(rig.hosts[0])
    run = leaving.scheduler.runs["job1"]

    await rig.until(lambda: len(run.running) == 3)
    item = next(iter(run.running))
    item.not_before = math.inf
    item.task.cancel()
    await rig.until(lambda: item in run.waiting)
    run.waiting.remove(item)
    item.result, item.data = ItemState.COMPLETE, TEXT.split("\n")
    run.finished.append(item)
    leaving.scheduler.recorder.commit_soon(run)
    rig.hosts[1].gateway.stopping = True
    rig.hosts[1].gateway.allocator.changed = True
    await rig.until(
        lambda: any("job1" in s.scheduler.runs for s in (rest, service(rig.hosts[2])))
    )
    await rig.until(lambda: run.view.listed)
    await asyncio.sleep(SETTLE_SECONDS - 0.2)
    for host in (0, 2):
        found = await rig.call(
            "/lots/job1?after=0", method="GET", host=host, body=b"", Wait_Ms="0"
        )
        assert len(json.loads(found[2])["results"]) >= 1
    runs = [r for runner in rig.runners for r in runner.received]
    assert sum(r.request_id == item.item.id for r in runs) <= 1 or not urgent


async def test_takeover_requests_every_stopping_host(rig):
    """Guards against a host that goes on with a job that another has taken over.

    The first host that leaves has handed the job to the second, which leaves as well.
    """
    await join(rig)
    rig.runners[0].event_seconds = rig.runners[1].event_seconds = 0.5
    assert await submit(rig, "job1", host=1) == 202
    first, second = (service(host) for host in rig.hosts)
    await rig.until(lambda: any(r.data for r in second.scheduler.runs["job1"].running))
    first.views.remember(JobView(second.views.views["job1"].job))
    settings = [host.settings for host in rig.hosts]
    urls = [f"http://{s.ip}:{s.peer_port + CALLS_PORT_OFFSET}" for s in settings]
    peers = JobPeers(rig.session, lambda _: [], lambda _: urls, first.gateway.clock)
    progress = await peers.take_over(first.views.views["job1"])
    assert any(done.data for done in progress.values())
    assert "job1" not in second.scheduler.runs


async def test_finished_job_is_read_from_the_host_that_ran_it(rig):
    """Guards against calls to the store by each host that is asked about a job."""
    await join(rig)
    assert await submit(rig, "job1") == 202
    await read_all(rig, "job1")
    await asyncio.sleep(TOLD_SECONDS + 0.5)
    calls = rig.platform.state.calls
    before = calls["GET", SEGMENTS] + calls["GET", JOBS]
    assert len(await read_all(rig, "job1", host=1)) == 3
    assert calls["GET", SEGMENTS] + calls["GET", JOBS] == before


@pytest.mark.parametrize("second_host", [0, 1])
async def test_job_is_accepted_once(rig, second_host):
    """Guards against a resent job that runs twice."""
    await join(rig)
    assert await submit(rig, "job1") == 202
    assert await submit(rig, "job1", host=second_host) == 202
    results = await read_all(rig, "job1", host=second_host)
    assert len(results) == 3 and len(stored(rig, JOBS)) == 1
    runs = [run.request_id for r in rig.runners for run in r.received]
    assert sorted(runs) == ["it0", "it1", "it2"]


@pytest.mark.parametrize(
    ("fault", "status"),
    [("lose_write_answers", 202), ("lose_writes", 202), ("down", 503)],
)
async def test_truth_of_the_answer_to_a_submission(rig, fault, status):
    """Guards against a refusal of a job that runs, and a 202 of one that is lost."""
    setattr(rig.platform.faults, fault, True if fault == "down" else 1)
    assert await submit(rig, "job1") == status
    rig.platform.faults.down = False
    assert len(stored(rig, JOBS)) == (status == 202)


async def test_unknown_outcome_is_not_reported_as_a_rejection(rig):
    """Guards against 429 or 503 for a job that may be accepted yet."""
    rig.platform.faults.lose_write_answers = 1
    rig.platform.faults.down_after_writes = 1
    assert await submit(rig, "job1") == 504
    rig.platform.faults.down = False
    assert await submit(rig, "job1") == 202
    assert len(await read_all(rig, "job1")) == 3


@pytest.mark.parametrize(
    ("status", "runs", "state"),
    [(422, 1, "dead_letter"), (500, 3, "dead_letter")],
)
async def test_item_that_can_never_be_done(rig, status, runs, state):
    """Guards against poison items that run for ever, or are given up too early."""
    for runner in rig.runners:
        runner.faults.status = status
    assert await submit(rig, "job1", count=1) == 202
    (result,) = await read_all(rig, "job1")
    assert result == {"id": "it0", "state": state, "text": ""}
    assert sum(len(runner.received) for runner in rig.runners) == runs


@pytest.mark.parametrize("faults", [{"cut_after": 2, "cuts": 1}, {"wrong_id": True}])
async def test_broken_run_goes_on_elsewhere(rig, faults):
    """Guards against missing and doubled events in a text."""
    for name, value in faults.items():
        setattr(rig.runners[0].faults, name, value)
    assert await submit(rig, "job1", count=2) == 202
    results = await read_all(rig, "job1")
    assert {result["text"] for result in results} == {TEXT}


async def test_events_without_ids_are_not_repeated(rig):
    """Guards against a run that goes on behind events it is not asked to go on after.

    Seen in the soak with a hostile runner, seed 721: events without ids, a break, and
    the whole stream of the next runner behind them.
    """
    for runner in rig.runners:
        runner.faults.plain = True
        runner.faults.cut_after, runner.faults.cuts = 2, 1
    assert await submit(rig, "job1", count=2) == 202
    results = await read_all(rig, "job1")
    assert {result["text"] for result in results} == {TEXT}


async def test_paused_item_resumes_after_its_last_event(rig):
    """Guards against a pause that loses or repeats events."""
    for runner in rig.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(rig, "job1", count=1) == 202
    runs = service(rig.hosts[0]).scheduler.runs["job1"]
    await rig.until(lambda: any(len(i.data) > 3 for i in runs.running))
    (item,) = runs.running
    item.task.cancel()
    (result,) = await read_all(rig, "job1")
    assert result["text"] == "\n".join(f"token {n}" for n in range(1, 41))
    runs = [run for runner in rig.runners for run in runner.received]
    assert max(int(r.headers.get("Last-Event-Id", 0)) for r in runs) > 3


async def test_one_item_on_a_runner_steps_back(rig):
    """Guards against a request that waits for a slot, and items that pause in vain."""
    for runner in rig.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(rig, "job1", count=6) == 202
    scheduler = service(rig.hosts[0]).scheduler
    run = scheduler.runs["job1"]
    await rig.until(lambda: all(len(item.data) > 3 for item in run.running))
    before = {item: item.runner for item in run.running}
    preempt_item(scheduler, "i-1")
    preempt_item(scheduler, "absent")
    await rig.until(lambda: len(run.running) == len(before) - 1)
    (paused,) = before.keys() - run.running
    assert before[paused] == "i-1"
    results = await read_all(rig, "job1")
    text = "\n".join(f"token {n}" for n in range(1, 41))
    assert [result["text"] for result in results] == [text] * 6


@pytest.mark.parametrize("way", ["silent", "leaving"])
async def test_job_of_a_lost_host_is_taken_over(rig, way):
    """Guards against jobs that nobody runs after their host is gone."""
    await join(rig, 2)
    for runner in rig.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(rig, "job1") == 202
    await rig.until(lambda: sum(r.open for r in rig.runners) == 3)
    lost = rig.hosts[0]
    if way == "leaving":
        lost.gateway.stopping = True
    for duty in lost.services:
        await duty.stop()
    results = await read_all(rig, "job1", host=1)
    assert len({result["id"] for result in results}) == 3


async def test_stopping_host_hands_over_its_progress(rig):
    """Guards against items that start anew because their host stops."""
    for runner in rig.runners:
        runner.events, runner.event_seconds = 150, 0.02
    assert await submit(rig, "job1", count=1) == 202
    await join(rig)
    (item,) = service(rig.hosts[0]).scheduler.runs["job1"].running
    await rig.until(lambda: len(item.data) > 10)
    rig.hosts[0].gateway.stopping = True
    (result,) = await read_all(rig, "job1", host=1)
    assert result["text"] == "\n".join(f"token {n}" for n in range(1, 151))
    runs = [run for runner in rig.runners for run in runner.received]
    assert len(runs) == 2
    assert max(int(r.headers.get("Last-Event-Id", 0)) for r in runs) > 10


async def test_job_of_a_restarted_host_is_taken_over(rig):
    """Guards against jobs that are forgotten when their host is back at once."""
    await join(rig)
    for runner in rig.runners:
        runner.events, runner.event_seconds = 40, 0.02
    assert await submit(rig, "job1") == 202
    await rig.until(lambda: rig.hosts[1].gateway.members.known_jobs() == {"job1"})
    beat = next(d for d in rig.hosts[0].services if isinstance(d, HeartbeatService))
    service(rig.hosts[0]).scheduler.stop_job(
        service(rig.hosts[0]).scheduler.runs["job1"], "killed"
    )
    service(rig.hosts[0]).scheduler.told.clear()
    service(rig.hosts[0]).views.views.clear()
    beat.incarnation, beat.sequence = "anew", 0
    await rig.until(lambda: rig.hosts[1].gateway.members.orphaned == {"job1"})
    assert len(await read_all(rig, "job1", host=1)) == 3


async def test_progress_survives_the_loss_of_all_hosts(rig, monkeypatch):
    """Guards against items that start anew after every host was killed."""
    monkeypatch.setattr(recorder, "CHECKPOINT_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    for runner in rig.runners:
        runner.events, runner.event_seconds = 150, 0.02
    assert await submit(rig, "job1", count=1) == 202
    await rig.until(lambda: stored(rig, CHECKPOINTS))
    for duty in rig.hosts[0].services:
        await duty.stop()
    await rig.add_host()
    (result,) = await read_all(rig, "job1", host=1)
    assert result["text"] == "\n".join(f"token {n}" for n in range(1, 151))
    runs = [run for runner in rig.runners for run in runner.received]
    assert max(int(r.headers.get("Last-Event-Id", 0)) for r in runs) >= 10


async def test_all_hosts_are_lost(rig):
    """Guards against jobs that only memory knew."""
    rig.runners[0].faults.silent = rig.runners[1].faults.silent = True
    assert await submit(rig, "job1") == 202
    await rig.until(lambda: sum(r.open for r in rig.runners) == 3)
    for duty in rig.hosts[0].services:
        await duty.stop()
    rig.runners[0].faults.silent = rig.runners[1].faults.silent = False
    await rig.add_host()
    assert len(await read_all(rig, "job1", host=1)) == 3


async def test_two_hosts_that_run_one_job_commit_each_item_once(rig):
    """Guards against items at two positions after a wrong take-over."""
    await join(rig)
    for runner in rig.runners:
        runner.events, runner.event_seconds = 20, 0.01
    assert await submit(rig, "job1", count=5) == 202
    other = service(rig.hosts[1])
    other.scheduler.start_job(await other.views.read("job1"))
    results = await read_all(rig, "job1", host=1)
    assert sorted(r["id"] for r in results) == [f"it{n}" for n in range(5)]
    assert await read_all(rig, "job1") == results


async def test_stale_view_starts_no_finished_job(rig):
    """Guards against a take-over from a view that lacks the latest results."""
    await join(rig)
    assert await submit(rig, "job1") == 202
    late = service(rig.hosts[1])
    await late.views.read("job1")
    await read_all(rig, "job1")
    await rig.until(lambda: "job1" not in service(rig.hosts[0]).scheduler.runs)
    runs = sum(len(runner.received) for runner in rig.runners)
    for host in rig.hosts:
        service(host).ownership.orphans["job1"] = host.clock() - 100
        await service(host).ownership.take_orphans(host.clock())
    assert all(not service(host).scheduler.runs for host in rig.hosts)
    assert sum(len(runner.received) for runner in rig.runners) == runs


async def test_unknown_job_is_looked_for_once(rig):
    """Guards against a call to the store twice a second for a job that is gone."""
    members = rig.hosts[0].gateway.members
    members.orphaned.add("gone")
    await rig.until(lambda: not members.orphaned)
    ownership = service(rig.hosts[0]).ownership
    await ownership.take_orphans(rig.hosts[0].clock() + 100)
    assert not ownership.orphans


@pytest.mark.parametrize("end_host", [0, 1])
async def test_ended_job_stops(rig, end_host):
    """Guards against items that run after their job was ended."""
    await join(rig)
    for runner in rig.runners:
        runner.faults.silent = True
    assert await submit(rig, "job1") == 202
    await rig.until(lambda: sum(r.open for r in rig.runners) == 3)
    for _ in range(2):
        status, _, _ = await rig.call(
            "/lots/job1", method="DELETE", host=end_host, body=b""
        )
        assert status == 200
    await rig.until(lambda: sum(r.open for r in rig.runners) == 0)
    assert (await read(rig, "job1"))["results"] == []


async def test_cancellations_recorded_by_a_lost_host_stop_jobs(rig):
    """Guards against items that go on after an end of which no heartbeat told.

    One host of the fleet looks for such ends and tells the others.
    """
    await join(rig, 2)
    for runner in rig.runners:
        runner.faults.silent = True
    for host in range(3):
        job = f"job{host}"
        assert await submit(rig, job, host=host, prefix=job, count=2) == 202
    await rig.until(lambda: sum(r.open for r in rig.runners) == 6)
    calls = rig.platform.state.calls
    before, started = calls["GET", ENDS], time.monotonic()
    await asyncio.sleep(2 * ENDS_SECONDS)
    for host in range(3):
        rig.put(ENDS, f"job{host}", {})
    async with asyncio.timeout(CANCEL_SECONDS):
        await rig.until(lambda: sum(r.open for r in rig.runners) == 0)
    looks = (time.monotonic() - started) / ENDS_SECONDS + 1
    assert 1 <= calls["GET", ENDS] - before <= looks


@pytest.mark.parametrize(
    ("version", "confirmed_ago", "submitted_ago", "given_up"),
    [
        (None, 0.0, 10.0, False),
        (9, 20.0, 10.0, False),
        (9, 9.0, 10.0, False),
        (9, 0.0, 10.0, True),
    ],
    ids=["no configuration", "too old", "perhaps too old", "route is gone"],
)
async def test_items_are_kept_by_a_host_with_an_old_configuration(
    rig, version, confirmed_ago, submitted_ago, given_up
):
    """Guards against items given up by a host that has missed a configuration."""
    host = rig.hosts[0]
    for duty in host.services:
        if isinstance(duty, PlatformWatcher):
            await duty.stop()
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
    scheduler.start_job(service(host).views.remember(JobView(job)))
    await asyncio.sleep(0.3)
    assert ("job1" not in scheduler.runs) == given_up


async def test_body_of_an_item(rig):
    """Guards against bodies that are lost or changed."""
    rig.runners[0].faults.silent = rig.runners[1].faults.silent = True
    await submit(rig, "job1")
    for item, status in (("it1", 200), ("absent", 404)):
        found, _, body = await rig.call(
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
async def test_malformed_job_is_refused(rig, body):
    """Guards against malformed jobs that are accepted or break the host."""
    status, _, _ = await rig.call("/notes/x", "job1", body=body)
    assert 400 <= status < 429 and not stored(rig, JOBS)


async def test_jobs_beyond_the_limit_are_refused(rig):
    """Guards against more waiting tokens than an organisation may have."""
    rig.runners[0].faults.silent = rig.runners[1].faults.silent = True
    await join(rig)
    assert await submit(rig, "job1", tokens=2_000) == 202
    await rig.until(lambda: rig.hosts[1].gateway.members.known_jobs() == {"job1"})
    assert await submit(rig, "job2", host=1, tokens=2_000) == 429
    assert await submit(rig, "job3", host=1, tokens=1_000) == 202


async def test_large_job_is_stored_in_parts(rig):
    """Guards against a job that is larger than the store's values."""
    body = json.loads(submission(4))
    for item in body["items"]:
        item["body"] = base64.b64encode(b"x" * 400_000).decode()
    content = json.dumps(body).encode()
    status, _, _ = await rig.call("/notes/x", "job1", body=content)
    assert status == 202
    assert len(stored(rig, "batch-parts")) == 3
    assert len(await read_all(rig, "job1")) == 4


async def test_finished_jobs_are_removed_after_their_time(rig):
    """Guards against jobs that fill the store, and results that go too early."""
    jobs = service(rig.hosts[0])
    await submit(rig, "job1")
    await read_all(rig, "job1")
    await rig.until(lambda: "job1" not in jobs.scheduler.runs)
    await jobs.ownership.scan(rig.hosts[0].clock())
    assert stored(rig, JOBS)
    jobs.ownership.retention = -1000.0
    await jobs.ownership.scan(rig.hosts[0].clock())
    assert not stored(rig, JOBS) and not stored(rig, SEGMENTS)


def test_events_of_the_stand_in_are_numbered():
    """Guards against a stand-in whose text would hide a lost event."""
    assert event(2) == b"id: 2\ndata: token 2\n\n"
