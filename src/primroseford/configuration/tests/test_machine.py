"""State machine test of the distribution protocol under faults."""

from __future__ import annotations

import copy

from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from primroseford.configuration import relay
from primroseford.configuration.merge import create_merge
from primroseford.configuration.merge import next_delta
from primroseford.configuration.merge import record_event
from primroseford.configuration.merge import record_list
from primroseford.configuration.objects import ObjectSet
from primroseford.configuration.objects import apply_delta
from primroseford.configuration.objects import make_delta
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import WatchEvent

HOSTS = 4
KINDS = ("pools", "routes")
host_numbers = st.integers(0, HOSTS - 1)
choices = st.integers(0, 1_000)


class Distribution(RuleBasedStateMachine):
    """Hosts, two of them watchers, on a network that drops, repeats and reorders."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.version = 0
        self.objects = {}
        self.history = {0: {}}
        self.events = []
        self.down = False
        self.in_flight_messages = []
        self.hosts = [self.create_host(n) for n in range(HOSTS)]
        self.merges = {0: self.merge(0), 1: self.merge(1)}
        self.seen = [0] * HOSTS

    def create_host(self, number):
        return relay.RelayState(f"h{number}", ObjectSet(max_log=4))

    def merge(self, number):
        return create_merge(KINDS, self.hosts[number].objects)

    @rule(kind=st.sampled_from(KINDS), name=st.sampled_from("abc"), value=choices)
    def edit(self, kind, name, value):
        self.version += 1
        known = self.objects.get((kind, name))
        if known is not None and value % 3 == 0:
            del self.objects[kind, name]
            event = WatchEvent(EventType.DELETED, known.version, known)
        else:
            item = PlatformObject(kind, name, self.version, {"value": value})
            self.objects[kind, name] = item
            event_type = EventType.MODIFIED if known else EventType.ADDED
            event = WatchEvent(event_type, self.version, item)
        self.events.append((self.version, kind, event))
        self.history[self.version] = {k: o.spec for k, o in self.objects.items()}

    @rule(down=st.booleans())
    def outage(self, down):
        self.down = down

    @rule(pick=choices, kind=st.sampled_from(KINDS), relist=st.booleans())
    def watch(self, pick, kind, relist):
        number = sorted(self.merges)[pick % len(self.merges)]
        if not self.down:
            self.feed(number, kind, relist)

    def feed(self, number, kind, relist):
        merge = self.merges[number]
        feed = merge.feeds[kind]
        if relist or feed.position == 0:
            items = tuple(o for (k, _), o in self.objects.items() if k == kind)
            record_list(feed, ObjectList(self.version, items))
        else:
            for version, event_kind, event in self.events:
                if event_kind == kind and version > feed.position:
                    record_event(feed, event)
            record_event(feed, WatchEvent(EventType.BOOKMARK, self.version, None))
        delta = next_delta(merge)
        objects = self.hosts[number].objects
        if delta is not None and apply_delta(objects, delta) is None:
            if delta.end > objects.version:
                self.merges[number] = self.merge(number)

    @rule(child=host_numbers, parent=host_numbers)
    def pull(self, child, parent):
        pull_request = relay.make_pull(self.hosts[child], self.now)
        self.in_flight_messages.append(("pull", child, parent, self.now, pull_request))

    @rule(sender=host_numbers, receiver=host_numbers, versions_back=choices)
    def push(self, sender, receiver, versions_back):
        objects = self.hosts[sender].objects
        delta = make_delta(objects, max(0, objects.version - versions_back % 4))
        if delta is not None:
            self.in_flight_messages.append(
                ("push", receiver, relay.encode_delta(delta))
            )

    @rule(pick=choices, keep_message=st.booleans())
    def deliver(self, pick, keep_message):
        if not self.in_flight_messages:
            return
        index = pick % len(self.in_flight_messages)
        message = (
            self.in_flight_messages[index]
            if keep_message
            else self.in_flight_messages.pop(index)
        )
        self.handle(copy.deepcopy(message))

    def handle(self, message):
        kind = message[0]
        if kind == "push":
            relay.apply_push(self.hosts[message[1]], message[2])
        elif kind == "pull":
            _, child, parent, sent_at, pull_request = message
            answer = relay.answer_pull(self.hosts[parent], pull_request, self.now)
            self.in_flight_messages.append(("answer", child, parent, sent_at, answer))
        elif kind == "answer":
            _, child, parent, sent_at, answer = message
            if answer.snapshot_needed:
                self.snapshot(child, parent)
            relay.apply_pull_answer(self.hosts[child], answer, sent_at)

    def snapshot(self, child, parent):
        receiver = relay.SnapshotReceiver()
        state = self.hosts[child]
        for _ in range(10):
            request = relay.next_slice_request(state, receiver)
            part = relay.answer_slice(self.hosts[parent], request, self.now)
            if relay.receive_slice(state, receiver, part) is not None:
                return

    @rule(pick=choices)
    def drop_message(self, pick):
        if self.in_flight_messages:
            self.in_flight_messages.pop(pick % len(self.in_flight_messages))

    @rule(number=host_numbers)
    def restart(self, number):
        self.hosts[number] = self.create_host(number)
        self.seen[number] = 0
        if number in self.merges:
            self.merges[number] = self.merge(number)

    @rule(old=choices, new=host_numbers)
    def change_watcher(self, old, new):
        if new not in self.merges:
            del self.merges[sorted(self.merges)[old % len(self.merges)]]
            self.merges[new] = self.merge(new)

    @rule(seconds=st.floats(0, 40))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def versions_never_go_down(self):
        for number, state in enumerate(self.hosts):
            assert state.objects.version >= self.seen[number]
            self.seen[number] = state.objects.version

    @invariant()
    def every_copy_is_a_state_of_the_platform(self):
        for state in self.hosts:
            assert self.contents(state) == self.history[state.objects.version]

    def contents(self, state):
        objects = state.objects.objects
        return {key: change.decode()["spec"] for key, change in objects.items()}

    def teardown(self):
        self.now += relay.SNAPSHOT_LIFETIME_SECONDS + 1
        for number in self.merges:
            for _ in range(3):
                for kind in KINDS:
                    self.feed(number, kind, relist=False)
        self.in_flight_messages.clear()
        first = sorted(self.merges)[0]
        for _ in range(2):
            for number in range(HOSTS):
                if number != first:
                    self.pull(number, first)
            while self.in_flight_messages:
                self.handle(self.in_flight_messages.pop(0))
        for state in self.hosts:
            assert state.objects.version == self.version
            assert self.contents(state) == self.history[self.version]


# Shrinking a failure of this state machine takes minutes, so the phase is disabled.
Distribution.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    phases=(Phase.generate,),
)


class TestDistribution(Distribution.TestCase):
    """Guards against versions that decrease and copies that never converge."""


def test_object_deleted_and_recreated_between_watch_calls():
    """Guards against a copy that has an object which does not exist at its version.

    The object is deleted and created again between two watch calls of its kind, while
    the feed of the other kind has reached a version in between. The state machine above
    found the failure in CI; these are its minimal steps.
    """
    state = Distribution()
    state.edit(kind="pools", name="b", value=1000)
    state.watch(kind="pools", pick=0, relist=True)
    state.edit(kind="pools", name="b", value=828)
    state.watch(kind="routes", pick=0, relist=False)
    state.edit(kind="pools", name="b", value=1000)
    state.watch(kind="pools", pick=0, relist=False)
    state.every_copy_is_a_state_of_the_platform()
    state.teardown()
