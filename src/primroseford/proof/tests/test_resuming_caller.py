from __future__ import annotations

import pytest

from primroseford.proof.resuming_caller import StreamEvent
from primroseford.proof.resuming_caller import parse_stream_event
from primroseford.proof.resuming_caller import read_stream
from primroseford.standins.fleet_runner import event
from primroseford.standins.fleet_runner import versioned_token


def host_url(site, number: int = 0) -> str:
    """Return the base URL of a host."""
    return f"http://{site.hosts[number].settings.ingress}"


@pytest.mark.parametrize(
    ("version", "data"), [("v1", "token 3"), ("v1.1", "token@v1.1 3")]
)
def test_events_tell_the_version_that_wrote_them(version, data):
    """Guards against stand-in events from which a test cannot tell the version."""
    block = event(3, versioned_token("token", version)).removesuffix(b"\n\n")
    assert parse_stream_event(block) == StreamEvent("3", data, version)


@pytest.mark.parametrize("breaks", [0, 1, 2])
async def test_caller_resumes_an_interrupted_stream(site, breaks):
    """Guards against a caller that repeats a stream instead of resuming it.

    The host has no second runner on which it could resume the stream itself.
    """
    runner, other = site.runners
    site.remove_runner(other)
    await site.until(lambda: len(site.hosts[0].gateway.allocator.runners) == 1)
    runner.faults.cut_after, runner.faults.cuts = 2, breaks
    stream = await read_stream(site.session, [host_url(site)], "/pick/x", "s")
    assert [event.id for event in stream.events] == ["1", "2", "3", "4", "5"]
    assert stream.complete and stream.versions == ["v1"]
    assert stream.statuses == [200] * (breaks + 1) and stream.began == "s.0"
    first_runs = {run.request_id: run.headers for run in reversed(runner.received)}
    sent = [first_runs[name] for name in stream.ids]
    assert [h.get("Last-Event-Id") for h in sent] == [None, "2", "4"][: breaks + 1]
    assert [h.get("Resumes") for h in sent] == [None, "s.0", "s.0"][: breaks + 1]


async def test_caller_retries_a_refusal_and_keeps_its_status(site):
    """Guards against a caller that hides refusals or retries without a limit."""
    for runner in site.runners:
        runner.faults.refuse = True
    stream = await read_stream(site.session, [host_url(site)], "/nudge/x", "s", 2)
    assert stream.statuses == [503, 503] and float(stream.retry_after) > 0
    assert not stream.events and not stream.complete and stream.ids == ["s.0", "s.1"]


async def test_restarted_runner_has_the_version_of_its_new_software(site):
    """Guards against a stand-in that keeps its instance or version over a restart."""
    allocator = site.hosts[0].gateway.allocator
    site.remove_runner(site.runners[0])
    await site.until(lambda: len(allocator.runners) == 1)
    before = allocator.runners["i-2"].entry.key
    await site.restart_runner("i-2", version="v2")
    await site.until(lambda: allocator.runners["i-2"].entry.key != before)
    stream = await read_stream(site.session, [host_url(site)], "/pick/x", "s")
    assert stream.complete and stream.versions == ["v2"]


async def test_killed_host_breaks_its_streams_and_ends_its_runs(site):
    """Guards against a kill that lets a response end, or a run continue."""
    await site.add_host()
    for runner in site.runners:
        runner.event_seconds = 0.2
    kills = []

    def kill(stream) -> None:
        kills or kills.append(site.create_kill(0))

    urls = [host_url(site)]
    stream = await read_stream(site.session, urls, "/nudge/x", "s", 1, kill)
    await kills[0]
    assert len(stream.events) < 5 and not stream.complete
    await site.until(lambda: sum(runner.open for runner in site.runners) == 0)
    assert sum(len(runner.received) for runner in site.runners) == 1
