"""Compares the fair queue with a naive model, and tests the event splitter."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseford.online.events import EventSplitter
from primroseford.online.fair_queue import FairQueue

STEPS = st.lists(
    st.tuples(st.sampled_from(["push", "pop", "remove", "evict"]), st.integers(0, 4))
)


class NaiveQueue:
    """Model of the fair queue: one list that is searched for the next organisation."""

    def __init__(self):
        self.items = []
        self.order = []

    def push(self, organisation, item):
        if organisation not in self.order:
            self.order.append(organisation)
        self.items.append((organisation, item))

    def pop(self):
        organisation = self.order[0]
        found = next(pair for pair in self.items if pair[0] == organisation)
        self.order.remove(organisation)
        self.items.remove(found)
        if any(pair[0] == organisation for pair in self.items):
            self.order.append(organisation)
        return found[1]

    def pop_first(self, accepted):
        """Pop from a queue of the accepted items only."""
        rest = NaiveQueue()
        rest.items = [pair for pair in self.items if pair[1] in accepted]
        owners = {organisation for organisation, _ in rest.items}
        rest.order = [name for name in self.order if name in owners]
        if not rest.items:
            return None
        organisation, found = rest.order[0], rest.pop()
        self.order.remove(organisation)
        self.items.remove((organisation, found))
        if any(pair[0] == organisation for pair in self.items):
            self.order.append(organisation)
        return found

    def remove(self, organisation, item):
        if (organisation, item) not in self.items:
            return False
        self.items.remove((organisation, item))
        if all(pair[0] != organisation for pair in self.items):
            self.order.remove(organisation)
        return True


@given(STEPS)
def test_fair_queue_agrees_with_a_naive_version(steps):
    """Guards against an organisation that is skipped or served twice in a round."""
    queue, naive = FairQueue(), NaiveQueue()
    for number, (step, organisation) in enumerate(steps):
        name = f"o{organisation}"
        if step == "push":
            queue.push(name, number)
            naive.push(name, number)
        elif step == "pop" and len(queue):
            assert queue.pop() == naive.pop()
        elif step == "remove" and naive.items:
            target = naive.items[organisation % len(naive.items)]
            assert queue.remove(*target) == naive.remove(*target)
        elif step == "evict":
            before = [pair[0] for pair in naive.items]
            evicted = queue.evict_for(name)
            longest = max((before.count(o) for o in before), default=0)
            assert (evicted is None) == (longest <= before.count(name) + 1)
            if evicted is not None:
                owner = next(o for o, item in naive.items if item == evicted)
                assert before.count(owner) == longest
                assert naive.remove(owner, evicted)
        assert len(queue) == len(naive.items)
        ahead = queue.count_ahead_of(name)
        copy = NaiveQueue()
        copy.items, copy.order = list(naive.items), list(naive.order)
        copy.push(name, "new")
        assert ahead == next(n for n in range(999) if copy.pop() == "new")


PASSING_STEPS = st.lists(
    st.tuples(st.sampled_from(["push", "pop", "pass"]), st.integers(0, 4)),
    max_size=60,
)


@given(PASSING_STEPS, st.integers(0, 3))
def test_items_are_passed_over_as_by_a_naive_version(steps, blocked):
    """Guards against an item that blocks others, or that loses its place to them.

    :param blocked: remainder by 4 of the items that may not be removed
    """
    queue, naive = FairQueue(), NaiveQueue()
    for number, (step, organisation) in enumerate(steps):
        accepted = {item for _, item in naive.items if item % 4 != blocked}
        if step == "push":
            queue.push(f"o{organisation}", number)
            naive.push(f"o{organisation}", number)
        elif step == "pass":
            found = queue.pop_first(lambda item: item % 4 != blocked)
            assert found == naive.pop_first(accepted)
            assert (found is None) == (not accepted)
        elif len(queue):
            assert queue.pop_first(lambda item: True) == naive.pop()
        assert len(queue) == len(naive.items)
        assert set(queue) == {item for _, item in naive.items}
    while len(queue):
        assert queue.pop() == naive.pop()


@pytest.mark.parametrize(
    ("blocks", "expected"),
    [
        ([], True),
        ([b": ping\n\n"], True),
        ([b"data: x\n\n"], False),
        ([b"id: 1\ndata: x\n\n"], True),
        ([b"data: x\nid: 1\n\n"], True),
        ([b"id: 1\ndata: x\n\n: ping\n\n"], True),
        ([b"id: 1\ndata: x\n\n", b": ping\n\n"], True),
        ([b"id: 1\ndata: x\n\ndata: y\n\n"], False),
        ([b"id: 1\r\ndata: x\r\n\r\ndata: y\r\n\r\n"], False),
        ([b"id: 1\ndata: x\n\n", b"data: y\n\n"], False),
        ([b"id: 1\ndata: x\n\n", b"data: y\n\n", b"id: 3\ndata: z\n\n"], True),
        ([b"data: x\n\n", b"id: 2\ndata: y\n\nda"], True),
    ],
)
def test_streams_resume_only_after_an_event_with_an_id(blocks, expected):
    """Guards against events that a resumed stream repeats."""
    splitter = EventSplitter()
    for block in blocks:
        splitter.feed(block)
    assert splitter.can_resume() is expected


@pytest.mark.parametrize(
    ("last", "block", "repeats"),
    [
        (None, b"id: 1\ndata: x\n\n", False),
        ("2", b"id: 3\ndata: x\n\n", False),
        ("9", b"id: 10\ndata: x\n\n", False),
        ("2", b": ping\n\nid: 3\ndata: x\n\n", False),
        ("2", b"id: 2\ndata: x\n\n", True),
        ("2", b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n", True),
        ("10", b"id: 9\ndata: x\n\n", True),
        ("2", b"data: x\n\n", True),
        ("2", b"data: [DONE]\n\n", False),
        ("a", b"id: b\ndata: x\n\n", False),
        ("a", b"id: a\ndata: x\n\n", True),
    ],
)
def test_resumed_stream_that_repeats_events(last, block, repeats):
    """Guards against a runner that ignores Last-Event-ID and repeats earlier events.

    In a soak run with a hostile runner (seed 723), the caller's text contained the
    first events of each resumed stream.
    """
    splitter = EventSplitter(resumed_after=last)
    if repeats:
        with pytest.raises(ValueError, match="sent again"):
            splitter.feed(block)
    else:
        assert splitter.feed(block) == block


EVENTS = st.lists(st.sampled_from(["a", 'x\\nid: 9"', "id: 7", ""]), max_size=6)


@given(EVENTS, st.lists(st.integers(1, 9)), st.sampled_from(["\n", "\r\n"]))
def test_only_complete_events_are_returned(texts, sizes, newline):
    """Guards against partial events and a wrong resume id, however bytes are split."""
    events = [
        f"id: {n}{newline}data: {t}{newline}{newline}".encode()
        for n, t in enumerate(texts)
    ]
    data = b"".join(events) + b"data: par"
    splitter, passed = EventSplitter(), b""
    while data:
        size = sizes.pop() if sizes else 5
        complete = splitter.feed(data[:size])
        data = data[size:]
        passed += complete
        assert passed in [b"".join(events[:n]) for n in range(len(events) + 1)]
        count = passed.count(b"data:")
        assert splitter.last_event_id() == (str(count - 1) if count else None)
    assert passed == b"".join(events) and not splitter.ended
    splitter.restart()
    splitter.feed(b"data: [DONE]" + 2 * newline.encode())
    assert splitter.ended
