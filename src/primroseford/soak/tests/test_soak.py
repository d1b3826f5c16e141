from __future__ import annotations

import asyncio
import hashlib
import json
import subprocess
import sys
from random import Random

import pytest
import yaml
from multidict import CIMultiDict

from primroseford.jobs.store import CANCELLATIONS
from primroseford.soak.callers import Callers
from primroseford.soak.callers import RequestKind
from primroseford.soak.callers import SentRequest
from primroseford.soak.callers import SoakJob
from primroseford.soak.callers import resume_headers
from primroseford.soak.checks import CHECKS
from primroseford.soak.checks import WHOLE_STREAM
from primroseford.soak.checks import WHOLE_TEXT
from primroseford.soak.checks import FaultSpan
from primroseford.soak.checks import RunRecord
from primroseford.soak.fleet import SoakFleet
from primroseford.soak.fleet import SoakRunner
from primroseford.soak.plan import HOSTILE_RESPONSE_FAULTS
from primroseford.soak.plan import FaultKind
from primroseford.soak.plan import LinkFault
from primroseford.soak.plan import PlannedFault
from primroseford.soak.plan import create_plan
from primroseford.soak.plan import software_version
from primroseford.soak.processes import HostProcess
from primroseford.soak.proxy import Proxy
from primroseford.soak.run import REGRESSIONS
from primroseford.soak.run import SoakSize
from primroseford.soak.run import run_soak
from primroseford.standins.fleet_runner import PARTIAL_EVENT
from primroseford.standins.fleet_runner import FleetRunner
from primroseford.standins.fleet_runner import ReceivedRequest
from primroseford.standins.hostile_runner import HostileRunner
from primroseford.standins.hostile_runner import ResponseFault

PLANS_DIGEST = "32bdc782235068e1"
"""Start of the hash of the plans of twenty seeds."""

FIRST_FAULTS_OF_SEED_11 = [
    FaultKind.RUNNER_REFUSES,
    FaultKind.STORE_REFUSES,
    FaultKind.STORE_SLOW,
]
SHORT = SoakSize(seconds=6.0, hosts=2, runners=3, workers=6)


async def test_short_run_passes_all_checks(tmp_path):
    """Guards against failures that occur only with hosts in separate processes."""
    report = await run_soak(7, tmp_path, SHORT)
    assert report.problems == []
    assert report.statuses[200] > 100 and report.jobs > 0


def test_plan_depends_on_its_seed_only():
    """Guards against a failed seed that cannot be reproduced."""
    plan = create_plan(3, 20.0, 3, 4)
    assert plan == create_plan(3, 20.0, 3, 4) != create_plan(4, 20.0, 3, 4)
    assert [fault.at for fault in plan] == sorted(fault.at for fault in plan)


def test_all_faults_occur_in_plans():
    """Guards against a kind of fault that no plan contains."""
    plans = [create_plan(seed, 20.0, 3, 4) for seed in range(50)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    assert {fault.link for plan in plans for fault in plan} == set(LinkFault)
    response_faults = {fault.response_fault for plan in plans for fault in plan}
    assert response_faults == {None, *HOSTILE_RESPONSE_FAULTS}


def test_hostile_runners_do_not_change_the_other_faults_of_a_seed():
    """Guards against recorded seeds that no longer reproduce their failures.

    This happens if planning hostile runners draws from the same random generator.
    """
    plan = create_plan(11, 15.0, 3, 4)
    others = [fault for fault in plan if fault.kind is not FaultKind.RUNNER_HOSTILE]
    assert [fault.kind for fault in others[:3]] == FIRST_FAULTS_OF_SEED_11


def test_regression_seeds_have_a_cause():
    """Guards against recorded seeds without a cause."""
    cases = yaml.safe_load(REGRESSIONS.read_text())
    assert all(isinstance(c["seed"], int) and len(c["cause"]) > 20 for c in cases)


@pytest.mark.parametrize(
    ("fault", "response", "reached"),
    [
        (LinkFault.NONE, b"pong", True),
        (LinkFault.DELAY, b"pong", True),
        (LinkFault.SILENT, None, False),
        (LinkFault.CUT_TO_SERVER, None, False),
        (LinkFault.CUT_TO_CLIENT, None, True),
        (LinkFault.RESET, ConnectionResetError, False),
    ],
)
async def test_proxy_applies_faults_to_open_connections(fault, response, reached):
    """Guards against planned link faults that have no effect."""
    received = []

    async def serve(reader, writer):
        while data := await reader.read(100):
            received.append(data)
            writer.write(b"pong")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    proxy = Proxy(server.sockets[0].getsockname())
    await proxy.start()
    reader, writer = await asyncio.open_connection(*proxy.address.split(":"))
    writer.write(b"ping")
    assert await reader.read(100) == b"pong"
    proxy.set_fault(fault)
    writer.write(b"ping")
    try:
        async with asyncio.timeout(0.5):
            found = await reader.read(100)
    except TimeoutError:
        found = None
    except ConnectionResetError:
        found = ConnectionResetError
    assert found == response and (len(received) == 2) == reached
    proxy.set_fault(LinkFault.NONE)
    if response is None:
        async with asyncio.timeout(5):
            assert await reader.read(100) == b"pong"
    writer.close()
    await proxy.stop()
    server.close()


async def test_unexpected_exit_of_a_process_is_recorded(tmp_path, monkeypatch):
    """Guards against a crash of a host that is hidden by its restart."""
    monkeypatch.setattr("primroseford.soak.processes.PROGRAM", tmp_path / "absent.py")
    host = HostProcess("host-0", "127.0.0.2", "127.0.0.1:1", tmp_path, 1, 2, 3)
    await host.start()
    await host.watch
    assert host.unexpected_exits == ["start 1 ended by itself with 2"]
    await host.kill()
    assert len(host.unexpected_exits) == 1


@pytest.fixture
def record(tmp_path):
    """Return the record of one request and one job without problems."""
    fleet = SoakFleet(tmp_path)
    host = HostProcess("host-0", "127.0.0.2", "", tmp_path, 1, 2, 3, starts=1)
    fleet.hosts.append(host)
    fleet.runners.append(SoakRunner("r", Proxy(("", 0)), None, [FleetRunner("r")]))
    fleet.versions.routes["/added-2/"] = 0.0
    fleet.versions.keys["old"] = 0.0
    callers = Callers(fleet, Random(0))
    callers.sent = [
        SentRequest(
            "a",
            RequestKind.ONCE,
            "/once/whole-1",
            "key",
            host,
            1,
            100.0,
            100.1,
            200,
            True,
        )
    ]
    callers.sent[0].body, callers.sent[0].response_id = b"r", "a"
    callers.sent[0].signature = "sig-r"
    texts = [
        {"id": f"j.{n}", "state": "complete", "text": WHOLE_TEXT} for n in range(6)
    ]
    callers.jobs = [SoakJob("j", [202], texts)]
    built = RunRecord(fleet, callers)
    add_execution(built, "a")
    return built


def add_execution(record: RunRecord, request_id: str, at: float = 100.0) -> None:
    """Record that the runner executed a request."""
    received = ReceivedRequest(request_id, "POST", "/", CIMultiDict(), b"", at)
    record.fleet.runners[0].runs[0].received.append(received)


def set_outcome(record: RunRecord, **fields) -> None:
    """Set fields of the request's outcome."""
    for name, value in fields.items():
        setattr(record.callers.sent[0], name, value)


def problems(record: RunRecord) -> list[str]:
    """Return the problems that all checks report."""
    return [problem for check in CHECKS for problem in check(record)]


def test_checks_accept_a_valid_record(record):
    """Guards against checks that report problems of a correct run."""
    assert problems(record) == []


@pytest.mark.parametrize(
    ("fields", "runs", "found"),
    [
        ({}, ["a"], "ran 2 times"),
        ({"status": 503, "signature": ""}, [], "was rejected and ran"),
        ({"response_id": "b"}, [], "has the id"),
        ({"signature": "sig-x"}, [], "is signed"),
        ({"body": b"x"}, [], "has the body"),
        (
            {"kind": RequestKind.STREAM_ONCE, "body": WHOLE_STREAM[:-9]},
            [],
            "has the body",
        ),
        (
            {"kind": RequestKind.STREAM_ONCE, "body": WHOLE_STREAM * 2},
            [],
            "has the body",
        ),
        ({"ended_at": 106.0}, [], "took 6.00 s"),
        ({"kind": RequestKind.ADDED, "path": "/added-2/x", "status": 404}, [], "older"),
        ({"kind": RequestKind.WITHDRAWN_KEY, "key": "old"}, [], "older"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_checks_find_wrong_answers(record, fields, runs, found):
    """Guards against checks that miss wrong responses."""
    set_outcome(record, **fields)
    for request_id in runs:
        add_execution(record, request_id)
    assert [found in problem for problem in problems(record)] == [True]


def test_partial_event_of_a_broken_runner_is_accepted(record):
    """Guards against a check that reports a runner's interrupted stream as a fault."""
    body = WHOLE_STREAM[: WHOLE_STREAM.index(b"id: 2")] + PARTIAL_EVENT
    set_outcome(record, kind=RequestKind.STREAM_ONCE, body=body, complete=False)
    assert problems(record) == []
    set_outcome(record, complete=True)
    assert "has the body" in problems(record)[0]


def resume(record: RunRecord, events: int, skipped: int = 0) -> SentRequest:
    """Break the request's stream after some events and resume it; return the resume.

    :param skipped: events that the resumed stream lacks at its start
    """
    blocks = WHOLE_STREAM.split(b"\n\n")[:-1]
    encoded = [block + b"\n\n" for block in blocks]
    kind, begun = RequestKind.STREAM_RESUMABLE, record.callers.sent[0]
    set_outcome(record, kind=kind, complete=False, body=b"".join(encoded[:events]))
    resumed = SentRequest("b", kind, "/pick/1", "key", begun.host, 1, 100.0, 100.1)
    resumed.status, resumed.complete, resumed.resumed = 200, True, (begun,)
    resumed.response_id, resumed.signature = "b", "sig-r"
    resumed.body = b"".join(encoded[events + skipped :])
    record.callers.sent.append(resumed)
    add_execution(record, "b")
    return resumed


@pytest.mark.parametrize(("skipped", "found"), [(0, 0), (1, 1)])
def test_stream_over_several_tries_is_checked_as_one(record, skipped, found):
    """Guards against a check that misses events lost between two tries."""
    resume(record, 3, skipped)
    assert len(problems(record)) == found


def test_resumed_stream_after_a_hostile_runner_is_checked_by_itself(record):
    """Guards against events of a hostile runner that are attributed to a host."""
    resumed = resume(record, 3, 1)
    hostile = HostileRunner("r", ResponseFault.ENDLESS_EVENTS, [("a", 100.0)])
    record.fleet.runners[0].hostile.append(hostile)
    assert problems(record) == []
    resumed.body = resumed.body[:-9]
    assert "has the body" in problems(record)[0]


@pytest.mark.parametrize(
    ("bodies", "headers"),
    [
        ([b""], {}),
        ([b"data: x\n\n"], {}),
        ([b"id: 1\ndata: x\n\nid: 2\nda"], {"Last-Event-Id": "1", "Resumes": "0"}),
        (
            [b"", b"id: 1\ndata: x\n\n", b"id: 2\ndata: x\n\n", b"id: 3"],
            {"Last-Event-Id": "2", "Resumes": "1"},
        ),
    ],
    ids=["no event", "no id", "partial event", "several tries"],
)
def test_caller_resumes_after_the_last_complete_event(record, bodies, headers):
    """Guards against a caller that resumes at an event that it has not received."""
    host = record.callers.sent[0].host
    kind = RequestKind.STREAM_RESUMABLE
    tries = [
        SentRequest(str(n), kind, "/pick/1", "key", host, 1, 0.0, 0.0, 200, False, body)
        for n, body in enumerate(bodies)
    ]
    assert resume_headers(tries) == headers


def test_restarts_change_the_versions_of_some_runners():
    """Guards against a soak in which all runners have the same version."""
    versions = [
        [software_version(seed, f"runner-{number}", start) for start in range(4)]
        for seed in range(20)
        for number in range(4)
    ]
    assert {version for starts in versions for version in starts} == {"v1", "v2"}
    changed = sum(starts[0] != starts[1] for starts in versions)
    assert 0 < changed < len(versions)


@pytest.mark.parametrize("tries", [1, 2])
def test_checks_find_a_stream_of_two_versions(record, tries):
    """Guards against a check that misses a stream that goes on at another version."""
    if tries == 1:
        body = WHOLE_STREAM.replace(b"token 9", b"token@v2 9")
        set_outcome(record, kind=RequestKind.STREAM_ONCE, body=body)
    else:
        resumed = resume(record, 3)
        resumed.body = resumed.body.replace(b"token", b"token@v2")
    (problem,) = problems(record)
    assert f"try {tries}, has events of ['v1', 'v2']" in problem


def test_checks_find_a_text_of_two_versions(record):
    """Guards against a check that misses an item that goes on at another version."""
    text = WHOLE_TEXT.replace("token 9", "token@v2 9")
    record.callers.jobs[0].results[2]["text"] = text
    assert problems(record) == ["item j.2 has events of ['v1', 'v2']"]


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_checks_accept_streams_and_texts_of_any_version(record, version):
    """Guards against checks that report the events of a later version."""
    mark = b"" if version == "v1" else b"@" + version.encode()
    body = WHOLE_STREAM.replace(b"token", b"token" + mark)
    set_outcome(record, kind=RequestKind.STREAM_ONCE, body=body)
    job = record.callers.jobs[0]
    job.results[0]["text"] = WHOLE_TEXT.replace("token", "token" + mark.decode())
    assert problems(record) == []
    for cut in range(1, 20):
        set_outcome(record, body=body[:-cut], complete=False)
        assert problems(record) == []


@pytest.mark.parametrize(("complete", "found"), [(False, 0), (True, 1)])
def test_invalid_events_of_a_hostile_runner_are_accepted_if_incomplete(
    record, complete, found
):
    """Guards against problems that are attributed to a host but a runner's fault.

    Invalid events in a response that looks complete must still be reported.
    """
    hostile = HostileRunner("r", ResponseFault.ENDLESS_EVENTS, [("a", 100.0)])
    record.fleet.runners[0].hostile.append(hostile)
    record.fleet.runners[0].runs[0].received.clear()
    set_outcome(
        record, kind=RequestKind.STREAM_ONCE, body=b"data: xxx\n\n", complete=complete
    )
    assert len(problems(record)) == found


def test_request_received_by_a_hostile_runner_counts_as_run(record):
    """Guards against a check that ignores executions by hostile runners."""
    hostile = HostileRunner("r", ResponseFault.NOT_HTTP, [("a", 100.0)])
    record.fleet.runners[0].hostile.append(hostile)
    assert "may run once and ran 2 times" in problems(record)[0]


@pytest.mark.parametrize(
    ("kinds", "interrupted"),
    [
        ([FaultKind.HOST_STOP], True),
        ([FaultKind.HOST_STOP, FaultKind.CONFIGURATION], True),
        ([FaultKind.HOST_STOP, FaultKind.RUNNER_SILENT], False),
    ],
)
def test_checks_find_requests_interrupted_by_a_planned_stop(record, kinds, interrupted):
    """Guards against a check that misses requests interrupted by a planned stop.

    Requests that another fault may have interrupted must not be reported.
    """
    set_outcome(record, status=0, complete=False, reason="ServerDisconnectedError()")
    set_outcome(record, response_id="", signature="")
    for kind in kinds:
        fault = PlannedFault(0.0, 1.0, kind, 0)
        record.spans.append(FaultSpan(fault, 99.9, 108.0))
    assert (
        any("was interrupted by a stop" in p for p in problems(record)) == interrupted
    )


@pytest.mark.parametrize(
    ("changes", "found"),
    [
        ({"statuses": [503]}, "j was rejected and ran"),
        ({"results": []}, "has 0 results"),
        ({"problems": ["host-0 answered 404"]}, "host-0 answered 404"),
        ({"cancelled_at": 50.0}, "ran 1 items after its cancellation"),
    ],
    ids=["refused", "lost", "forgotten", "ended"],
)
def test_checks_find_faulty_jobs(record, changes, found):
    """Guards against checks that miss lost or duplicate results."""
    add_execution(record, "j.0")
    for name, value in changes.items():
        setattr(record.callers.jobs[0], name, value)
    assert [found in problem for problem in problems(record)] == [True]


@pytest.mark.parametrize(
    ("sent", "stored", "found"),
    [(True, True, False), (True, False, True), (False, True, True)],
)
def test_job_whose_cancellation_was_stored_counts_as_lost(record, sent, stored, found):
    """Guards against a report of a job that its caller has ended (seed 3323).

    The host that stored the cancellation was killed before it answered. A cancellation
    that is not stored, or that no caller has sent, is no reason for a missing result.
    """
    add_execution(record, "j.0")
    job = record.callers.jobs[0]
    job.results, job.cancellation_sent = [], sent
    if stored:
        item = {"metadata": {"name": job.id}, "spec": {}}
        record.fleet.platform.state.create(CANCELLATIONS, item)
    assert bool(problems(record)) is found


def test_command_prints_a_report(tmp_path):
    """Guards against a command without a JSON report.

    The callers occupy the only runner, so that batch items wait until they stop.
    """
    done = subprocess.run(
        [sys.executable, "-m", "primroseford.soak", "--seed", "1", "--seconds", "0.5"]
        + ["--hosts", "1", "--runners", "1", "--workers", "24"]
        + ["--logs", str(tmp_path)],
        capture_output=True,
        check=False,
    )
    report = json.loads(done.stdout)
    assert done.returncode == 0 and report["seed"] == 1 and report["problems"] == []


def test_new_faults_change_the_plans_of_earlier_seeds():
    """Guards against recorded seeds that no longer replay what they once found."""
    plans = [
        (
            fault.at,
            fault.kind.value,
            fault.target,
            fault.response_fault and fault.response_fault.value,
        )
        for seed in range(20)
        for fault in create_plan(seed, 15.0, 3, 3)
    ]
    assert hashlib.sha256(repr(plans).encode()).hexdigest()[:16] == PLANS_DIGEST
