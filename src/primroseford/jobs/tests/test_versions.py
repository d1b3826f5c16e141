"""Decisions on the software version at which an item's text goes on."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from structlog.testing import capture_logs

from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.state import GatewayMetrics
from primroseford.ids import JobId
from primroseford.jobs.deadlines import DeadlineEstimator
from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import JobRun
from primroseford.jobs.run import RunOutcome
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.state import Item
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.state import Progress
from primroseford.jobs.versions import MAX_VERSION_WAIT_SECONDS as WAIT
from primroseford.jobs.versions import DiscardReason
from primroseford.jobs.versions import TextVersions
from primroseford.jobs.versions import find_discard_reason
from primroseford.jobs.waiting import WaitReason
from primroseford.metrics import Metrics
from primroseford.standins.fleet_runner import event
from primroseford.standins.fleet_runner import event_without_id

POOL = "models"
ROUTE = SimpleNamespace(pools=((POOL, 1),))
EVENTS = 10


def create_item(version: str | None = "v1", events: int = EVENTS) -> ItemRun:
    """Return an item with some events of a version."""
    item = Item("it0", "/notes/it0", {}, "", 1)
    job = Job(JobId("job1"), None, "vans.example", "/notes/", 0.0, (item,))
    run = ItemRun(job, item, 100.0)
    for number in range(1, events + 1):
        run.append_events(event(number), version)
    return run


def entry(number: int, version: str) -> SimpleNamespace:
    """Return the part of a runner's entry that the decisions need."""
    return SimpleNamespace(key=RunnerKey(f"i-{number}", 1), version=version, pool=POOL)


class Capacity:
    """Capacity with room at some versions, on runners without or with a limit."""

    def __init__(self, *versions: str, limited: tuple[str, ...] = ()) -> None:
        self.versions = versions
        self.limited = limited
        self.calls = 0

    def choose_runner(self, pool, tried=(), version=None):
        self.calls += 1
        return self._first(self.versions, version)

    def choose_limited_runner(self, pool, tried=(), version=None):
        return self._first(self.limited, version)

    def _first(self, versions, version):
        return next((v for v in versions if version in (None, v)), None)


def create_texts(capacity=None, entries=()) -> TextVersions:
    """Return the decisions of a host that knows these ready runners."""
    runners = [SimpleNamespace(entry=known) for known in entries]
    allocator = SimpleNamespace(pool_runners=lambda pool: runners)
    return TextVersions(SimpleNamespace(allocator=allocator), capacity or Capacity())


@pytest.mark.parametrize(
    ("versions", "failed_on", "stalled_seconds", "expected"),
    [
        ((), (), 0.0, None),
        ((), (), WAIT, None),
        (("v1", "v2"), (), 0.0, None),
        (("v1", "v2"), (), 0.9 * WAIT, None),
        (("v1", "v2"), (), WAIT, DiscardReason.VERSION_STALLED),
        (("v1", "v1"), (), WAIT, None),
        (("v1", "v2"), (1,), WAIT, None),
        (("v2", "v2"), (), 0.0, DiscardReason.VERSION_GONE),
        (("v1", "v2"), (0,), 0.0, DiscardReason.VERSION_GONE),
        (("v1", "v1", "v2"), (0,), 0.0, None),
        (("v1", "v1"), (0, 1), 0.0, None),
        (("v1", "v2"), (0, 1), 0.0, None),
    ],
)
def test_text_cannot_go_on_at_its_version(
    versions, failed_on, stalled_seconds, expected
):
    """Guards against an item that waits for a version for ever, or loses its text."""
    entries = [entry(number, version) for number, version in enumerate(versions)]
    failed = {entries[number].key for number in failed_on}
    assert find_discard_reason("v1", entries, failed, stalled_seconds) == expected


@pytest.mark.parametrize(
    ("versions", "kept"),
    [((), True), (("v1", "v2"), True), (("v2", "v2"), False)],
)
def test_text_of_a_version_that_is_gone_is_dropped(versions, kept):
    """Guards against an item that waits for runners that have left."""
    item = create_item()
    entries = [entry(number, version) for number, version in enumerate(versions)]
    with capture_logs() as logs:
        create_texts(entries=entries).check_ready(item, ROUTE, 0.0)
    assert (len(item.data), item.version) == ((EVENTS, "v1") if kept else (0, None))
    assert [(line["reason"], line["events"], line["version"]) for line in logs] == (
        [] if kept else [("version_gone", EVENTS, "v1")]
    )


@pytest.mark.parametrize("kind", ["without ids", "with ids"])
def test_text_without_resumable_events_is_bound_to_a_version(kind):
    """Guards against an item that waits for a version although its run starts anew."""
    item = create_item(events=0)
    make = event_without_id if kind == "without ids" else event
    item.append_events(make(1), "v1")
    assert item.required_version == (None if kind == "without ids" else "v1")
    item.discard_unresumable_events()
    item.append_events(make(2), "v2")
    assert item.version == ("v2" if kind == "without ids" else "v1")


@pytest.mark.parametrize(
    ("capacity", "may_start", "waits"),
    [
        (Capacity("v1", "v2"), True, False),
        (Capacity("v1"), True, False),
        (Capacity("v2"), True, True),
        (Capacity(), True, False),
        (Capacity("v2"), False, False),
        (Capacity("v2", limited=("v1",)), False, False),
        (Capacity(limited=("v2",)), False, True),
    ],
)
def test_item_waits_for_room_at_its_version(capacity, may_start, waits):
    """Guards against an item that runs at another version, or never again.

    It waits only while other versions have room: a pool without room has no better
    place for it, and its text must outlast that time.
    """
    item, texts = create_item(), create_texts(capacity)
    reasons = []
    for now in (0.0, 0.9 * WAIT, WAIT):
        texts.renew()
        reasons.append(texts.check_room(item, POOL, lambda: may_start, now))
    assert reasons == [WaitReason.VERSION_FULL if waits else None] * 2 + [None]
    assert len(item.data) == (0 if waits else EVENTS)
    assert item.required_version == (None if waits else "v1")


def test_wait_for_a_version_outlasts_its_limit():
    """Guards against a text that is dropped while no other version has room."""
    item, capacity = create_item(), Capacity("v2")
    texts = create_texts(capacity)
    assert texts.check_room(item, POOL, lambda: True, 0.0)
    capacity.versions = ()
    now = 2 * WAIT
    for versions, events in [((), EVENTS), (("v1", "v2"), EVENTS), (("v2",), 0)]:
        capacity.versions = versions
        texts.renew()
        assert texts.check_room(item, POOL, lambda: True, now) is None
        assert len(item.data) == events


def test_each_item_looks_at_all_runners():
    """Guards against many waiting items that each look at all runners of a pool.

    An urgent item may start where the others may not, so it looks again.
    """
    capacity = Capacity("v2")
    texts = create_texts(capacity)
    for _ in range(100):
        assert texts.check_room(create_item(), POOL, lambda: False, 0.0) is None
    assert capacity.calls == 0
    waiting = [create_item() for _ in range(100)]
    for item in waiting:
        assert texts.check_room(item, POOL, lambda: True, 0.0)
    texts.renew()
    capacity.calls = 0
    for item in waiting:
        assert texts.check_room(item, POOL, lambda: True, 1.0)
    assert capacity.calls == 1


@pytest.mark.parametrize("version", [None, "v1"])
@pytest.mark.parametrize("versions", [(), ("v1",), ("v2",), ("v1", "v2")])
def test_restored_progress_does_not_tell_its_version(versions, version):
    """Guards against progress of an earlier release that goes on at any version.

    The host may not have heard of the version that made it, whatever it lists.
    """
    item = create_item(events=0)
    item.restore(Progress(["a", "b"], "2", 1, version))
    entries = [entry(number, name) for number, name in enumerate(versions)]
    texts = create_texts(entries=entries)
    texts.check_restored(item)
    assert item.required_version == version
    assert item.last_event == ("2" if version else None)
    assert item.failures == 1


def test_dropped_text_takes_other_counts_with_it(clock):
    """Guards against a bad item that runs for ever, as its failures are forgotten.

    The forecast counts the dropped events as to be made again.
    """
    item = create_item()
    item.failures, item.interruptions = 2, 3
    item.tried, item.failed_on = {entry(1, "v1").key}, {entry(1, "v1").key}
    estimator = DeadlineEstimator(SimpleNamespace(clock=clock), {})
    new = create_item(events=0)
    assert estimator.rank(item, 0.0) != estimator.rank(new, 0.0)
    create_texts(entries=[entry(2, "v2")]).check_ready(item, ROUTE, 0.0)
    assert (item.failures, item.interruptions, item.text_bytes) == (2, 3, 0)
    assert item.tried == item.failed_on == {entry(1, "v1").key}
    assert estimator.rank(item, 0.0) == estimator.rank(new, 0.0)
    assert estimator.slack(item, 0.0) == estimator.slack(new, 0.0)
    run = JobRun(JobView(item.job), [item])
    assert run.progress() == {"it0": Progress([], None, 2)}


@pytest.mark.parametrize(
    ("outcome", "new_events", "seconds", "reason"),
    [
        (RunOutcome.FAILED, 0, 0.0, "version_gone"),
        (RunOutcome.BROKEN, 0, 0.0, "version_gone"),
        (RunOutcome.REFUSED, 0, 0.0, None),
        (RunOutcome.REFUSED, 0, WAIT, "version_stalled"),
        (RunOutcome.BROKEN, 1, 0.0, None),
        (RunOutcome.BROKEN, 1, WAIT, None),
    ],
)
def test_only_runner_of_a_version_fails(clock, outcome, new_events, seconds, reason):
    """Guards against an item that one runner fails until it is a dead letter.

    One that hangs, or that this host cannot reach, may be listed for ever.
    """
    metrics = GatewayMetrics(Metrics())
    gateway = SimpleNamespace(clock=clock, allocator=None, metrics=metrics)
    scheduler = JobScheduler(gateway, None)
    item = create_item()
    item.events_at_start = EVENTS - new_events
    route = SimpleNamespace(pools=ROUTE.pools, max_attempts=3)
    key = entry(1, "v1").key
    runner = SimpleNamespace(entry=entry(1, "v1"))
    scheduler._handle_outcome(item, route, outcome, runner)
    texts = create_texts(entries=[entry(1, "v1"), entry(2, "v2")])
    with capture_logs() as logs:
        texts.check_ready(item, route, clock() + seconds)
    assert [line["reason"] for line in logs] == ([reason] if reason else [])
    assert len(item.data) == (0 if reason else EVENTS)
    assert item.tried == {key}
    item.append_events(event(EVENTS + 1), "v1")
    assert (item.stalled_since, item.failed_on) == (None, set())
