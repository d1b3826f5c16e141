"""Runners that serve as a new process before their entries say so."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerList
from primroseford.gateway.runners import RunnerRestart
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.runners import unlisted_version
from primroseford.gateway.tests.test_software_versions import FIELDS
from primroseford.gateway.tests.test_software_versions import assert_whole
from primroseford.gateway.tests.test_software_versions import at_event
from primroseford.gateway.tests.test_software_versions import host_urls
from primroseford.gateway.tests.test_software_versions import serving_runner
from primroseford.gateway.version_history import VersionHistory
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import submit
from primroseford.jobs.tests.test_software_versions import item_with_events
from primroseford.platform.runner_calls import decode_start
from primroseford.proof.resuming_caller import read_stream
from primroseford.standins.fleet_runner import event_version

SLOTS = 4
STAGE = RunnerStage.READY


def load_runner(site, name: str, slots: int = SLOTS) -> None:
    """Reserve slots on a runner at all hosts, so that they prefer the others."""
    for host in site.hosts:
        host.gateway.allocator.runners[name].online += slots


def names(site) -> list[str]:
    """Return the names of the runners in their order."""
    return [runner.name for runner in site.runners]


@pytest.mark.parametrize("others", [(), ("v1",)], ids=["alone", "with another"])
async def test_stream_goes_on_at_a_runner_that_came_back_as_another_version(
    create_versions_site, others
):
    """Guards against events of two versions while the entry is that of the old one."""
    site = await create_versions_site(("v1", "v1", *others), **FIELDS)
    for name in names(site)[1:]:
        load_runner(site, name)
    if others:
        load_runner(site, "i-3")
    back = await site.restart_unlisted("i-2", version="v2", **FIELDS)

    stream = await read_stream(
        site.session,
        host_urls(site),
        "/pick/x",
        "s",
        1,
        at_event(2, lambda _: site.runners[0].crash()),
    )
    assert stream.versions == ["v1"] and not back.received
    assert stream.complete == bool(others)


@pytest.mark.parametrize("seen_by", ["this host", "another host"])
async def test_stream_that_began_at_an_unlisted_restart_goes_on_at_its_old_version(
    create_versions_site, seen_by
):
    """Guards against a wrong record of the version that began a stream.

    A stream breaks off when the runner crashes, so that one host knows of it.
    """
    count = 1 if seen_by == "this host" else 2
    site = await create_versions_site(("v1", "v1"), count, **FIELDS)
    urls = host_urls(site)
    load_runner(site, "i-2")

    tasks: list = []

    def restart(_) -> None:
        tasks.append(
            asyncio.create_task(site.restart_unlisted("i-1", version="v2", **FIELDS))
        )

    before = await read_stream(
        site.session, urls[:1], "/pick/x", "a", 1, at_event(2, restart)
    )
    assert before.versions == ["v1"]
    back = await tasks[0]
    back.faults.cut_after, back.faults.cuts = 3, 1
    stream = await read_stream(site.session, urls[-1:], "/pick/x", "s", 1)
    assert len(stream.versions) == 1
    if stream.complete:
        assert_whole(stream)


async def test_resumed_stream_of_an_unlisted_restart_goes_on_at_its_old_version(
    create_versions_site,
):
    """Guards against a caller who is sent to another version than the first one.

    The host that began the stream is killed while its runner is not listed yet.
    """
    site = await create_versions_site(("v1", "v1"), 2, **FIELDS)
    urls = host_urls(site)
    load_runner(site, "i-2")
    begun = asyncio.create_task(read_stream(site.session, urls[:1], "/pick/x", "a", 1))
    await site.until(lambda: any(runner.open for runner in site.runners))
    assert serving_runner(site).name == "i-1"
    await site.restart_unlisted("i-1", version="v2", **FIELDS)
    await begun
    tasks: list = []

    def kill(stream) -> None:
        if not tasks:
            runners = site.hosts[1].gateway.allocator.runners
            runners["i-1"].online, runners["i-2"].online = SLOTS + 3, 0
            tasks.append(site.create_kill(0))

    stream = await read_stream(
        site.session, [urls[0], urls[1], urls[1]], "/pick/x", "s", 3, kill
    )
    await tasks[0]
    assert len(stream.versions) == 1


async def test_stream_that_began_at_an_unnoticed_restart_goes_on_at_its_old_version(
    create_versions_site,
):
    """Guards against a wrong record where no exchange showed the restart."""
    site = await create_versions_site(("v1", "v1"), **FIELDS)
    load_runner(site, "i-2")
    back = await site.restart_unlisted("i-1", version="v2", **FIELDS)
    back.faults.cut_after, back.faults.cuts = 3, 1
    stream = await read_stream(site.session, host_urls(site), "/pick/x", "s", 1)
    assert len(stream.versions) == 1


async def test_answer_of_an_unlisted_restart_stands_for_its_old_version(
    create_versions_site,
):
    """Guards against a record of the old version once the new process has answered.

    A request that needs no version is answered before the runner has been probed.
    """
    site = await create_versions_site(("v1", "v1"), **FIELDS)
    urls = host_urls(site)
    allocator = site.hosts[0].gateway.allocator
    load_runner(site, "i-2")
    site.runners[0].crash()
    assert (await site.call("/ping/whole", "first"))[0] == 200
    assert allocator.runners["i-1"].suspect_until > site.hosts[0].clock()
    back = await site.restart_unlisted("i-1", version="v2", **FIELDS)
    # Nothing else is left, so that the request goes to the suspected runner.
    allocator.suspect(allocator.runners["i-2"])
    assert (await site.call("/ping/whole", "second"))[0] == 200
    assert [run.request_id for run in back.received] == ["second"]
    allocator.clear_suspicion(allocator.runners["i-2"])
    back.faults.cut_after, back.faults.cuts = 3, 1
    stream = await read_stream(site.session, urls, "/pick/x", "s", 1)
    assert len(stream.versions) == 1


async def test_text_goes_on_at_a_runner_that_came_back_as_another_version(
    create_versions_site,
):
    """Guards against the text of a batch item with lines of two versions."""
    site = await create_versions_site(("v1", "v1"), events=100, event_seconds=0.02)
    load_runner(site, "i-2")
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site)
    assert runner.name == "i-1"
    await site.restart_unlisted("i-2", version="v2", events=100, event_seconds=0.02)
    load_runner(site, "i-2", -SLOTS)
    runner.crash()
    (result,) = await read_all(site, "job1")
    lines = result["text"].split("\n")
    assert len({event_version(line) for line in lines}) == 1 and len(lines) == 100


def entry(born: int, version: str = "v1") -> RunnerEntry:
    """Return an entry of the runner ``i-1``."""
    return RunnerEntry(
        RunnerKey("i-1", born), "models", "10.0.0.1:80", "a", 8, STAGE, version
    )


def replay(steps) -> RunnerList:
    """Return the list after steps: an entry, a restart or the name of a removal."""
    found = RunnerList()
    for step in steps:
        if isinstance(step, RunnerRestart):
            found.record_restart(step, 0.0)
        elif isinstance(step, RunnerEntry):
            found.update([step], [], 0.0)
        else:
            found.update([], [step], 0.0)
    return found


@pytest.mark.parametrize(
    ("steps", "version"),
    [
        ([entry(10)], "v1"),
        ([entry(10), RunnerRestart("i-1", 10, 20)], "unlisted i-1 20"),
        ([entry(10), RunnerRestart("i-1", 10, 20), entry(20, "v2")], "v2"),
        ([entry(10), RunnerRestart("i-1", 10, 20), entry(10)], "unlisted i-1 20"),
        ([entry(10), RunnerRestart("i-1", 9, 20)], "v1"),
        ([entry(20, "v2"), RunnerRestart("i-1", 10, 20)], "v2"),
        (
            [entry(10), RunnerRestart("i-1", 10, 20), RunnerRestart("i-1", 20, 30)],
            "unlisted i-1 30",
        ),
        (
            [
                entry(10),
                RunnerRestart("i-1", 10, 20),
                RunnerRestart("i-1", 20, 30),
                entry(10),
            ],
            "unlisted i-1 30",
        ),
        ([entry(10), RunnerRestart("i-1", 10, 5), entry(5, "v2")], "v2"),
        ([entry(10), RunnerRestart("i-1", 10, 20), "i-1"], None),
        ([entry(10), RunnerRestart("i-1", 10, 20), "i-1", entry(20, "v2")], "v2"),
        ([RunnerRestart("i-1", 10, 20)], None),
    ],
    ids=[
        "listed",
        "restarted",
        "registered",
        "late change of the old one",
        "report of an older entry",
        "report after the entry",
        "twice",
        "twice, late change",
        "clock of the runner set back",
        "removed",
        "removed and registered",
        "unknown",
    ],
)
def test_list_has_the_version_of_an_instance_before(steps, version):
    """Guards against a version that is not that of the process which serves."""
    found = replay(steps).entries.get("i-1")
    assert (found.version if found else None) == version
    assert (version or "").startswith("unlisted") == bool(found and found.is_unlisted)


FOLLOWS = {
    "restart": [entry(10), RunnerRestart("i-1", 10, 20)],
    "registration": [entry(10), entry(20, "v2")],
    "restart and registration": [
        entry(10),
        RunnerRestart("i-1", 10, 20),
        entry(20, "v2"),
    ],
    "two restarts": [
        entry(10),
        RunnerRestart("i-1", 10, 15),
        RunnerRestart("i-1", 15, 20),
    ],
    "two registrations": [entry(10), entry(15, "v3"), entry(20, "v2")],
}
"""What the host that tells of a restart has seen, by name."""


@pytest.mark.parametrize("steps", FOLLOWS.values(), ids=FOLLOWS)
@pytest.mark.parametrize(
    ("known", "born"),
    [
        ([entry(10)], 20),
        ([entry(20, "v2")], 20),
        ([entry(30, "v4")], 30),
        ([entry(10), RunnerRestart("i-1", 10, 30)], 30),
    ],
    ids=["old entry", "new entry", "newer entry", "newer restart"],
)
def test_host_with_an_old_list_is_told_of_a_restart(steps, known, born):
    """Guards against the version before at a host whose watch returns nothing."""
    told = replay(known)
    for restart in replay(steps).restarts(5.0):
        told.record_restart(restart, 5.0)
    assert told.entries["i-1"].key.born == born
    assert told.entries["i-1"].version != "v1"


def test_restart_is_told_until_others_have_listed_it():
    """Guards against heartbeats that grow with each restart."""
    registered, unlisted = replay(FOLLOWS["registration"]), replay(FOLLOWS["restart"])
    assert registered.restarts(9.0) and unlisted.restarts(9.0)
    assert not registered.restarts(11.0) and not registered.superseded
    assert unlisted.restarts(1000.0)


@pytest.mark.parametrize(
    ("version", "expected"),
    [("v2", True), ("v1", False), (unlisted_version(RunnerKey("i-1", 20)), True)],
)
def test_stream_that_began_before_the_registration_ends(version, expected):
    """Guards against a stream without a runner, whose own runner has registered."""
    assert entry(20, "v2").has_version(version) == expected


def test_registration_counts_as_another_version(clock):
    """Guards against refusals for want of a known version after a restart."""
    history = VersionHistory(clock)
    for change in (entry(1), replay([entry(1), RunnerRestart("i-1", 1, 2)])):
        is_list = isinstance(change, RunnerList)
        history.update(change.entries.values() if is_list else [change])
    assert len(history.seen("models")) > 1
    history.update([entry(2)])
    assert history.seen("models") == {"v1"}


@pytest.mark.parametrize(
    ("body", "start"),
    [
        (b'{"stage":"both","born":1783237666594}', 1783237666594),
        (b'{"stage":"both"}', None),
        (b'{"born":"1783237666594"}', None),
        (b'{"born":1783237666594.0}', None),
        (b'{"born":true}', None),
        (b'{"born":0}', None),
        (b'{"born":-1}', None),
        (b"[]", None),
        (b"[" * 100_000, None),
        (b"\xff\xfe", None),
        (b"", None),
    ],
)
def test_report_that_tells_no_start_is_used(body, start):
    """Guards against a start that the runner has not told."""
    assert decode_start(body) == start
