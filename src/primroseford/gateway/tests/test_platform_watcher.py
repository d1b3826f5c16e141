from __future__ import annotations

import asyncio
from itertools import pairwise
from random import Random

import pytest
from yarl import URL

from primroseford.clock import ManualClock
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.members import Members
from primroseford.gateway.platform_watcher import CONFIRMING_WATCH_SECONDS
from primroseford.gateway.platform_watcher import PEER_BOOTSTRAP_SECONDS
from primroseford.gateway.platform_watcher import PlatformWatcher
from primroseford.gateway.platform_watcher import choose_watch_duration
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.state import Gateway
from primroseford.gateway.state import GatewayMetrics
from primroseford.gateway.tests.test_forwarding import find_service
from primroseford.ids import Version
from primroseford.metrics import Metrics
from primroseford.platform.configuration import decode_tables
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import WatchEvent
from primroseford.platform.runner_list import RUNNER_KIND
from primroseford.platform.view import Delta
from primroseford.proof.addresses import own_address
from primroseford.soak.proxy import Proxy
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry

ENTRY = RunnerEntry(
    RunnerKey("x", 1), "p", "127.0.0.1:9", "a", 8, RunnerStage.READY, "v1"
)
VERSION = Version(9)
KEPT_CONNECTIONS = 8


class FakeTask:
    """Stands in for the task of an open watch."""

    cancelled = False

    def cancel(self) -> None:
        """Record the cancellation."""
        self.cancelled = True

    def done(self) -> bool:
        """Return whether the task was cancelled."""
        return self.cancelled


def fleet_watcher(hosts: int) -> PlatformWatcher:
    """Return the watcher of one of many hosts, which is not a confirming host."""
    clock, random = ManualClock(100.0), Random(5)
    members = Members("host-0")
    members.hosts = lambda _: [f"host-{number}" for number in range(hosts)]
    gateway = Gateway(
        members,
        SlotAllocator("a", clock, random),
        None,
        clock,
        random,
        GatewayMetrics(Metrics()),
    )
    watcher = PlatformWatcher(gateway, None, None)
    watcher.is_confirming = lambda: False
    return watcher


@pytest.mark.parametrize("kind", ["config", "servers"])
async def test_relist_when_a_watch_delivers_no_changes(site, kind):
    """Guards against a stale host while its connection delivers no packets."""
    view = await site.add_view()
    behind = await site.add_host(platform=view.url)
    await site.until(lambda: len(behind.gateway.members.live(behind.clock())) == 1)
    reflector = find_service(behind, PlatformWatcher).tables
    lists = view.state.calls["GET", kind]
    view.faults.hold_watches = True
    if kind == "config":
        site.put("config", "main", configuration(7))
        await site.until(lambda: behind.gateway.tables.version == 7)
    else:
        site.put("servers", "i-3", runner_entry("127.0.0.1:9"))
        await site.until(lambda: "i-3" in behind.gateway.allocator.runners)
        reflector = find_service(behind, PlatformWatcher).runners
    assert view.state.calls["GET", kind] == lists + 1
    assert reflector.failures <= 1


async def test_relist_uses_a_new_connection(site):
    """Guards against a delay for each pooled connection that delivers no packets.

    A call on such a connection gets no response for seconds.
    """
    proxy = Proxy(("127.0.0.1", URL(site.platform.url).port))
    await proxy.start()
    behind = await site.add_host(platform=f"http://{proxy.address}")
    await site.until(lambda: len(behind.gateway.members.live(behind.clock())) == 1)
    client = find_service(behind, PlatformWatcher).tables.client
    # Leaves this number of idle connections in the pool.
    await asyncio.gather(*(client.list("jobs") for _ in range(KEPT_CONNECTIONS)))
    proxy.silence_open_connections()
    site.put("config", "main", configuration(7))
    await site.until(lambda: behind.gateway.tables.version == 7)
    assert not [data for data in proxy.undelivered if b"/objects/config" in data]
    await proxy.stop()


async def test_heartbeats_of_current_versions_cause_no_relist(site):
    """Guards against hosts that endlessly cause each other to list."""
    other = await site.add_host()
    await site.until(lambda: len(other.gateway.members.live(other.clock())) == 1)
    site.put("servers", "i-3", runner_entry("127.0.0.1:9"))
    site.platform.state.delete("servers", "i-3", None)
    site.platform.announce()
    await site.until(lambda: "i-3" not in other.gateway.allocator.runners)
    lists = site.platform.state.calls["GET", "servers"]
    last_sequence = other.gateway.members.peers["host-0"].heartbeat.sequence
    await site.until(
        lambda: (
            other.gateway.members.peers["host-0"].heartbeat.sequence > last_sequence + 5
        )
    )
    assert site.platform.state.calls["GET", "servers"] == lists


@pytest.mark.parametrize(
    ("hosts", "shortest", "longest"),
    [(1, 5.0, 5.0), (8, 5.0, 5.0), (20, 6.0, 12.0), (54, 14.5, 29.0), (1500, 14.5, 29)],
)
def test_watch_duration_grows_with_the_fleet(hosts, shortest, longest):
    """Guards against a cost of watches that grows with the square of the fleet."""
    assert choose_watch_duration(hosts, 0.0, False) == pytest.approx(shortest)
    assert choose_watch_duration(hosts, 1.0, False) == pytest.approx(longest)


@pytest.mark.parametrize("hosts", [8, 20, 67, 165, 1500])
def test_spread_of_watches_that_started_together(hosts):
    """Guards against a change that no host sees for long after an outage.

    The outage ends all watches, so that all hosts start new ones at once. Seen on
    hakata-fortune-grown, day scale-2, where these watches then returned no changes and
    their connections broke 14 s later.
    """
    random = Random(3)
    ends = []
    for host in range(hosts):
        now = 0.0
        while now < 30.0:
            now += choose_watch_duration(hosts, random.random(), confirming=host == 7)
            ends.append(now)
    ends = sorted(end for end in ends if end <= 30.0)
    longest = max(later - earlier for earlier, later in pairwise([0.0, *ends]))
    assert longest <= CONFIRMING_WATCH_SECONDS + 1e-6


async def test_new_confirming_host_ends_its_long_watches(site):
    """Guards against a fleet without short watch calls after the loss of a host."""
    watcher = find_service(site.hosts[0], PlatformWatcher)
    await site.until(lambda: watcher.confirming)
    watcher.confirming = False
    lists = site.platform.state.calls["GET", "config"]
    await site.until(lambda: site.platform.state.calls["GET", "config"] > lists)
    assert watcher.confirming


@pytest.mark.parametrize(
    ("kind", "confirming", "shortest", "longest"),
    [
        ("config", False, 14.5, 29.0),
        ("servers", False, 14.5, 29.0),
        ("config", True, CONFIRMING_WATCH_SECONDS, CONFIRMING_WATCH_SECONDS),
        ("servers", True, 2 * CONFIRMING_WATCH_SECONDS, 2 * CONFIRMING_WATCH_SECONDS),
    ],
)
def test_watch_duration_by_kind_in_a_large_fleet(kind, confirming, shortest, longest):
    """Guards against a cost of the runner list that grows with the fleet.

    If connections deliver no packets, two short watches of equal duration would also
    time out at once, which marks the store as unreachable from this host.
    """
    watcher = fleet_watcher(165)
    watcher.is_confirming = lambda: confirming
    reflectors = {r.kind: r for r in (watcher.tables, watcher.runners)}
    waits = [reflectors[kind].watch_seconds() for _ in range(50)]
    assert shortest <= min(waits) and max(waits) <= longest


@pytest.mark.parametrize(
    ("hosts", "seconds", "listed"),
    [(8, 0.9, False), (8, 1.1, True), (165, 1.3, False), (165, 1.5, True)],
)
def test_runner_list_is_relisted_only_after_the_pause(hosts, seconds, listed):
    """Guards against a list call by every host of a large fleet at each change."""
    watcher = fleet_watcher(hosts)
    watcher.runners.clock = clock = watcher.gateway.clock
    watcher.runners.watch_task = watching = FakeTask()
    newer = Heartbeat(host="host-1", configuration=0, runner_list=7)
    watcher.compare_versions(newer)
    clock.advance(seconds)
    watcher.compare_versions(newer)
    assert watching.cancelled is listed


@pytest.mark.parametrize(
    ("kind", "seconds", "listed"),
    [
        ("config", 0.5, False),
        ("config", 0.7, True),
        ("servers", 0.9, False),
        ("servers", 1.1, True),
    ],
)
def test_relist_after_the_reporting_peer_is_lost(kind, seconds, listed):
    """Guards against a change that is lost with the only host that reported it."""
    watcher = fleet_watcher(8)
    watcher.gateway.tables = decode_tables(configuration(1))
    for reflector in (watcher.tables, watcher.runners):
        reflector.clock = clock = watcher.gateway.clock
        reflector.watch_task = FakeTask()
    newer = {"config": {"configuration": 7}, "servers": {"runner_list": 7}}
    versions = {"configuration": 1, "runner_list": 0} | newer[kind]
    watcher.compare_versions(Heartbeat(host="host-1", **versions))
    clock.advance(seconds)
    watcher._expire()
    ended = {r.kind: r.watch_task.cancelled for r in (watcher.tables, watcher.runners)}
    assert ended == {"config": False, "servers": False} | {kind: listed}


@pytest.mark.parametrize(
    ("away_seconds", "kept"),
    [(0.0, False), (1.0, False), (3.0, True), (20.0, True)],
)
def test_runner_removed_in_an_outage_without_a_failed_call(away_seconds, kept):
    """Guards against dropped live runners after an outage that ended during a watch."""
    watcher = fleet_watcher(165)
    gateway = watcher.gateway
    gateway.confirmed_at = gateway.clock()
    gateway.runner_list.update([ENTRY], (), gateway.clock())
    gateway.clock.advance(away_seconds)
    watcher.detect_platform_return()
    gateway.confirmed_at = gateway.clock()
    watcher.detect_platform_return()
    gateway.runner_list.update((), ["x"], gateway.clock())
    assert ("x" in gateway.runner_list.entries) is kept


@pytest.mark.parametrize(("away_seconds", "kept"), [(0.3, False), (3.0, True)])
def test_runner_removed_in_the_first_change_after_an_outage(away_seconds, kept):
    """Guards against dropped live runners if the outage has not been detected yet."""
    watcher = fleet_watcher(165)
    gateway = watcher.gateway
    gateway.confirmed_at = gateway.clock()
    gateway.runner_list.update([ENTRY], (), gateway.clock())
    gateway.clock.advance(away_seconds)
    gone = PlatformObject(RUNNER_KIND, "x", VERSION, runner_entry("127.0.0.1:9"))
    event = WatchEvent(EventType.DELETED, VERSION, gone)
    watcher.apply_runners(Delta(VERSION, (event,)))
    assert ("x" in gateway.runner_list.entries) is kept


@pytest.mark.parametrize(
    ("changes", "kept"),
    [({}, True), ({"version": ""}, False), ({"slots": 0}, False)],
    ids=["valid", "no version", "no slots"],
)
def test_entry_that_names_no_runner_after_an_outage(changes, kept):
    """Guards against an old entry that stays in use in place of an odd one.

    The entry has not expired, so that nothing will bring the runner back.
    """
    watcher = fleet_watcher(165)
    gateway = watcher.gateway
    gateway.runner_list.update([ENTRY], (), gateway.clock())
    gateway.clock.advance(20.0)
    spec = runner_entry("127.0.0.1:9", **changes)
    odd = PlatformObject(RUNNER_KIND, "x", VERSION, spec)
    event = WatchEvent(EventType.MODIFIED, VERSION, odd)
    watcher.apply_runners(Delta(VERSION, (event,)))
    assert ("x" in gateway.runner_list.entries) is kept


@pytest.mark.parametrize(
    ("changes", "listed", "seen"),
    [
        (["v1"], "v1", {"v1"}),
        (["v2", None], None, {"v2"}),
        (["v2", None, "v1"], "v1", {"v1", "v2"}),
        (["v1", "odd"], None, {"v1"}),
        (["odd", "v1"], "v1", {"v1"}),
        ([None, "v1"], "v1", {"v1"}),
    ],
    ids=[
        "written",
        "came and went",
        "came back",
        "overwritten",
        "written again",
        "registered again",
    ],
)
def test_changes_of_one_runner_in_one_response(changes, listed, seen):
    """Guards against a runner that is lost, and a version that nobody has seen.

    The changes are versions that are written, removals, and an entry of another writer.
    """
    watcher = fleet_watcher(3)
    allocator = watcher.gateway.allocator
    events = []
    for number, change in enumerate(changes, 1):
        fields = {"slots": 0} if change == "odd" else {"version": change or "v1"}
        entry = runner_entry("127.0.0.1:9", **fields)
        kind = EventType.MODIFIED if change else EventType.DELETED
        item = PlatformObject(RUNNER_KIND, "x", Version(number), entry)
        events.append(WatchEvent(kind, Version(number), item))
    watcher.apply_runners(Delta(Version(len(changes)), tuple(events)))
    known = allocator.runners.get("x")
    assert (known.entry.version if known else None) == listed
    assert allocator.versions.seen("models") == seen


def test_many_changes_in_one_response_are_applied_one_by_one(monkeypatch):
    """Guards against a time at the start that grows with the square of the runners."""
    watcher = fleet_watcher(3)
    applied = []
    monkeypatch.setattr(watcher.gateway.allocator, "set_runners", applied.append)
    events = [
        WatchEvent(
            EventType.MODIFIED,
            Version(number),
            PlatformObject(
                RUNNER_KIND, f"i-{number}", Version(number), runner_entry("10.0.0.1:9")
            ),
        )
        for number in range(1, 101)
    ]
    watcher.apply_runners(Delta(Version(100), tuple(events)))
    watcher.apply_runners(Delta(Version(101), ()))
    assert [len(entries) for entries in applied] == [100]


async def test_host_that_starts_in_an_outage_serves(site):
    """Guards against a host that restarts in an outage and cannot serve requests.

    Its peers know its address from before the restart.
    """
    first = site.hosts[0]
    view = await site.add_view()
    site.platform.faults.down = view.faults.down = True
    port = first.settings.peer_port
    first.gateway.members.add_from_store(
        "host-1", f"{own_address(1)}:{port}", first.clock()
    )
    await site.add_host(platform=view.url)
    restarted = site.hosts[1].gateway
    assert (await site.call("/once/whole", "id-1", host=1))[0] == 200
    assert restarted.tables.version == first.gateway.tables.version
    assert restarted.confirmed_at <= first.clock() - PEER_BOOTSTRAP_SECONDS
    site.platform.state.delete("servers", "i-2", None)
    site.put("config", "main", configuration(7))
    site.platform.faults.down = view.faults.down = False
    await site.until(lambda: restarted.tables.version == 7)
    await site.until(lambda: list(restarted.allocator.runners) == ["i-1"])
    assert (await site.call("/once/whole", "id-2", host=1))[0] == 200


@pytest.mark.parametrize("peer_configuration", [None, (configuration(1), 3)])
async def test_platform_takes_precedence_over_a_peer(site, peer_configuration):
    """Guards against a peer's old configuration that replaces the newest one."""
    find_service(site.hosts[0], PlatformWatcher).tables.load_initial_list(
        ObjectList(Version(9_999), ())
        if peer_configuration is None
        else configuration_list(peer_configuration)
    )
    assert site.hosts[0].gateway.tables.version == 1
    site.put("config", "main", configuration(2))
    await site.until(lambda: site.hosts[0].gateway.tables.version == 2)


def configuration_list(peer_configuration) -> ObjectList:
    """Return a list with one configuration."""
    spec, version = peer_configuration
    return ObjectList(
        Version(version), (PlatformObject("config", "main", Version(version), spec),)
    )
