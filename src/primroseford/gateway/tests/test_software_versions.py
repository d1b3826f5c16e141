from __future__ import annotations

import asyncio

import pytest

from primroseford.proof.resuming_caller import CallerStream
from primroseford.proof.resuming_caller import broken_stream
from primroseford.proof.resuming_caller import read_stream
from primroseford.proof.resuming_caller import send_try
from primroseford.standins.fleet_objects import runner_entry

EVENTS = 20
EVENT_SECONDS = 0.03
FIELDS = {"events": EVENTS, "event_seconds": EVENT_SECONDS}
AT_ONCE_SECONDS = 3.0
"""Bound for a response that must not wait for the deadline of 5 s."""
RETRIES = 2
"""Requests that a caller sends to the last host after refusals."""
TWO_OF_EACH = ("v1", "v1", "v2", "v2")


def host_urls(site) -> list[str]:
    """Return the base URLs of the hosts."""
    return [f"http://{host.settings.ingress}" for host in site.hosts]


def serving_runner(site):
    """Return the runner that serves the only stream."""
    (runner,) = [runner for runner in site.runners if runner.open]
    return runner


def load_runners(site, version: str, slots: int = 1) -> None:
    """Reserve slots on all runners of a version at all hosts.

    The least loaded runners are then those of the other versions.
    """
    for host in site.hosts:
        for runner in site.runners:
            state = host.gateway.allocator.runners.get(runner.name)
            if runner.version == version and state is not None:
                state.online += slots


def event_ids(stream: CallerStream) -> list[int]:
    """Return the ids of the events."""
    return [int(event.id) for event in stream.events]


def assert_whole(stream: CallerStream) -> None:
    """Check that a stream is whole and of one version."""
    assert stream.versions == [stream.events[0].version]
    assert stream.complete and event_ids(stream) == list(range(1, EVENTS + 1))


def at_event(number: int, act):
    """Return a callback that acts once, when a stream has this number of events."""

    def on_event(stream: CallerStream) -> None:
        if len(stream.events) == number:
            act(stream)

    return on_event


async def begin_and_crash(site, tries: int = 1) -> CallerStream:
    """Begin a stream, and crash its runner after the second event.

    Other runners of its version are loaded more than those of the other version.
    """

    def crash(stream: CallerStream) -> None:
        load_runners(site, stream.events[0].version)
        serving_runner(site).crash()

    async with asyncio.timeout(AT_ONCE_SECONDS):
        return await read_stream(
            site.session, host_urls(site), "/pick/x", "s", tries, at_event(2, crash)
        )


async def test_stream_goes_on_at_the_version_that_began_it(create_versions_site):
    """Guards against a response with events of two versions after a crash."""
    site = await create_versions_site(TWO_OF_EACH, **FIELDS)
    stream = await begin_and_crash(site)
    assert_whole(stream)
    assert stream.statuses == [200]


@pytest.mark.parametrize("others", ["none", "draining", "removed"])
async def test_stream_without_a_runner_of_its_version_breaks_off(
    create_versions_site, others
):
    """Guards against a stream that goes on at another version, or looks complete."""
    versions = ("v1",) if others == "none" else ("v1", "v1")
    site = await create_versions_site(versions, **FIELDS)
    allocator = site.hosts[0].gateway.allocator
    if others == "draining":
        site.put("servers", "i-2", runner_entry("127.0.0.1:1", state="draining"))
    elif others == "removed":
        site.remove_runner(site.runners[1])
    await site.until(lambda: len(allocator.pool_runners("models")) == 1)
    new = await site.add_runner("i-3", version="v2", **FIELDS)
    load_of = allocator.runners
    await site.until(lambda: "i-3" in load_of)
    load_of["i-3"].online = 1
    stream = await begin_and_crash(site)
    assert not stream.complete and stream.versions == ["v1"]
    assert not new.received


@pytest.mark.parametrize("others", [(), ("v1",)])
async def test_runner_that_comes_back_as_another_version(create_versions_site, others):
    """Guards against a stream that goes on at the new instance of its runner.

    The host sees the entry of the new instance before the connection breaks.
    """
    site = await create_versions_site(("v1", *others), **FIELDS)
    allocator = site.hosts[0].gateway.allocator
    old: list = []

    async def restart() -> None:
        runner = serving_runner(site)
        before = allocator.runners[runner.name].entry.key
        old.append(await site.restart_runner(runner.name, False, version="v2"))
        await site.until(lambda: allocator.runners[runner.name].entry.key != before)
        load_runners(site, "v1")
        runner.crash()

    tasks: list = []
    begin = at_event(2, lambda _: tasks.append(asyncio.create_task(restart())))
    stream = await read_stream(site.session, host_urls(site), "/pick/x", "s", 1, begin)
    await tasks[0]
    assert stream.versions == ["v1"] and not old[0].received
    assert stream.complete == bool(others)


async def test_stream_without_an_event_runs_at_any_version(create_versions_site):
    """Guards against a refusal of a stream that no version has begun."""
    site = await create_versions_site(("v1", "v2"), **FIELDS)
    site.runners[0].faults.deadly_body = b"prompt"
    load_runners(site, "v2")
    stream = await read_stream(site.session, host_urls(site), "/pick/x", "s", 1)
    assert_whole(stream)
    assert stream.versions == ["v2"] and len(site.runners[0].received) == 1


@pytest.mark.parametrize("kills", [1, 2])
async def test_resumed_stream_of_a_killed_host_keeps_its_version(
    create_versions_site, kills
):
    """Guards against a stream with events of two versions after its host was killed.

    Each host is killed right after the first event that it has sent, so that it says
    nothing more to the other hosts.
    """
    site = await create_versions_site(TWO_OF_EACH, kills + 1, **FIELDS)
    tasks: dict[int, asyncio.Task] = {}

    def kill(stream: CallerStream) -> None:
        number = len(stream.hosts) - 1
        if number < kills and number not in tasks:
            if not number:
                load_runners(site, stream.events[0].version)
            tasks[number] = site.create_kill(number)

    urls = host_urls(site)
    urls += [urls[-1]] * RETRIES
    stream = await read_stream(site.session, urls, "/pick/x", "s", len(urls), kill)
    for task in tasks.values():
        await task
    assert len(tasks) == kills
    assert_whole(stream)


@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize(
    "began", ["absent.0", "", "x" * 1000], ids=["unknown", "no header", "too long"]
)
async def test_resumed_stream_of_an_unknown_version_is_refused(
    create_versions_site, began, hosts
):
    """Guards against a stream that goes on at a version which may not have begun it."""
    site = await create_versions_site(("v1", "v2"), hosts, **FIELDS)
    stream = broken_stream(2, began)
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(site.session, host_urls(site)[0], "/pick/x", "s.1", stream)
    assert stream.statuses == [503] and float(stream.retry_after) > 0
    assert not any(runner.received for runner in site.runners)


@pytest.mark.parametrize("began", ["absent.0", ""], ids=["unknown", "no header"])
@pytest.mark.parametrize(
    ("hosts", "has_started_lately", "status"),
    [(1, False, 200), (1, True, 503), (2, False, 200), (2, True, 200)],
    ids=["alone", "new and alone", "with another", "new beside another"],
)
async def test_resumed_stream_goes_on_where_only_one_version_has_served(
    create_versions_site, began, hosts, has_started_lately, status
):
    """Guards against needless refusals in a service with one version.

    A host that has started lately needs another one that has seen the list for long.
    """
    site = await create_versions_site(("v1", "v1"), hosts, **FIELDS)
    site.age_runner_lists()
    if has_started_lately:
        site.hosts[0].gateway.allocator.versions.known_since = site.hosts[0].clock()
    stream = broken_stream(2, began)
    await send_try(site.session, host_urls(site)[0], "/pick/x", "s.1", stream)
    assert stream.statuses == [status]
    if status == 200:
        assert_whole(stream)


async def test_resumed_stream_of_a_version_that_is_gone_is_refused(
    create_versions_site,
):
    """Guards against a resumed stream that goes on at a later version."""
    site = await create_versions_site(("v1",), **FIELDS)
    allocator = site.hosts[0].gateway.allocator
    stream = await begin_and_crash(site)
    assert stream.versions == ["v1"] and not stream.complete
    site.remove_runner(site.runners[0])
    new = await site.add_runner("i-2", version="v2", **FIELDS)
    await site.until(lambda: set(allocator.runners) == {"i-2"})
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(site.session, host_urls(site)[0], "/pick/x", "s.1", stream)
    assert stream.statuses == [200, 503] and float(stream.retry_after) > 0
    assert not new.received


async def test_resumed_stream_that_waits_does_not_hold_up_new_streams(
    create_versions_site,
):
    """Guards against a resumed stream that runs at another version or blocks others.

    All slots of its version are in use, and those of the other version are free.
    """
    site = await create_versions_site(("v1", "v1"), **FIELDS)
    allocator = site.hosts[0].gateway.allocator
    for runner in site.runners:
        runner.faults.cut_after, runner.faults.cuts = 2, 1
    url = host_urls(site)[0]
    stream = await read_stream(site.session, [url], "/pick/x", "s", 1)
    assert event_ids(stream) == [1, 2, 3, 4] and not stream.complete
    for number in (3, 4):
        await site.add_runner(f"i-{number}", version="v2", **FIELDS)
    await site.until(lambda: len(allocator.pool_runners("models")) == 4)
    slots = allocator.runners["i-1"].entry.slots
    load_runners(site, "v1", slots)
    resumed = asyncio.create_task(send_try(site.session, url, "/pick/x", "s.1", stream))
    await site.until(
        lambda: (
            allocator.waiting()
            or stream.statuses[-1]
            or any(
                run.request_id == "s.1"
                for runner in site.runners
                for run in runner.received
            )
        )
    )
    new = await asyncio.gather(
        *(read_stream(site.session, [url], "/pick/x", f"n{n}", 1) for n in range(4))
    )
    for other in new:
        assert_whole(other)
        assert other.versions == ["v2"]
    load_runners(site, "v1", -slots)
    allocator.grant()
    await resumed
    assert stream.versions == ["v1"]
    if stream.statuses[-1] == 200:
        assert_whole(stream)
    else:
        assert stream.statuses[-1] == 503 and float(stream.retry_after) > 0
        assert event_ids(stream) == [1, 2, 3, 4]


@pytest.mark.parametrize(
    ("version", "usable"),
    [
        ("v1.1", True),
        ("x" * 256, True),
        ("absent", False),
        ("", False),
        (7, False),
        (None, False),
        (["v1"], False),
        ({"v1": 1}, False),
        ("x" * 257, False),
    ],
    ids=["text", "longest", "absent", "empty", "number", "null", "list", "map", "long"],
)
async def test_entry_without_a_valid_version_names_no_runner(site, version, usable):
    """Guards against requests to a runner whose version is not known."""
    allocator = site.hosts[0].gateway.allocator
    spec = dict(site.platform.state.objects["servers"]["i-2"]["spec"])
    spec["version"], spec["slots"] = version, 7
    if version == "absent":
        del spec["version"]
    site.put("servers", "i-2", spec)
    await site.add_runner("i-3")
    await site.until(lambda: "i-3" in allocator.runners)
    names = {runner.entry.key.name for runner in allocator.pool_runners("models")}
    assert names == ({"i-1", "i-2", "i-3"} if usable else {"i-1", "i-3"})


async def test_stream_breaks_off_since_a_runner_of_its_version_is_full_for_a_moment(
    create_versions_site,
):
    """Guards against a refusal that counts as a failure of the only runner left."""
    site = await create_versions_site(("v1", "v1", "v2"), **FIELDS)

    def crash(stream: CallerStream) -> None:
        begun = serving_runner(site)
        (other,) = [r for r in site.runners if r.version == "v1" and r is not begun]
        other.faults.refuse = True
        asyncio.get_running_loop().call_later(0.05, setattr, other.faults, "refuse", 0)
        begun.crash()

    load_runners(site, "v2")
    async with asyncio.timeout(AT_ONCE_SECONDS):
        stream = await read_stream(
            site.session, host_urls(site), "/pick/x", "s", 1, at_event(2, crash)
        )
    assert_whole(stream)
    assert stream.versions == ["v1"]


@pytest.mark.parametrize("faulty", [1, 2])
async def test_taken_up_stream_begins_again_at_a_faulty_runner(
    create_versions_site, faulty
):
    """Guards against events that a caller gets twice, as ids that go back."""
    site = await create_versions_site(("v1", "v1"), **FIELDS)
    for runner in site.runners[:faulty]:
        runner.faults.from_start = True
    site.hosts[0].gateway.allocator.runners["i-2"].online += 2
    site.age_runner_lists()
    stream = broken_stream(4, "s.0")
    await send_try(site.session, host_urls(site)[0], "/pick/x", "s.1", stream)
    assert len(site.runners[0].received) == 1
    if faulty == 1:
        assert_whole(stream)
    else:
        assert event_ids(stream) == [1, 2, 3, 4] and not stream.complete
