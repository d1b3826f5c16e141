from __future__ import annotations

import pytest

from primroseford.quarantine.verdict import Crash
from primroseford.quarantine.verdict import find_deadly_parts
from primroseford.quarantine.verdict import group_by_moment


def crashes(*listed: tuple[float, str]) -> list[Crash]:
    """Return crashes; parts are separated by spaces, in the order of the prompt."""
    return [
        Crash(at, {part: position for position, part in enumerate(parts.split())})
        for at, parts in listed
    ]


@pytest.mark.parametrize(
    ("listed", "served", "deadly"),
    [
        # Fewer than three crashes blame nobody.
        ([(1, "a t"), (2, "a t")], {}, []),
        ([(1, "a t"), (2, "b t"), (3, "c t")], {}, ["t"]),
        # Parts beside the deadly one are cleared by a request that was served.
        ([(1, "a b t"), (2, "a b t"), (3, "a b t")], {"a": 2.5, "b": 2.5}, ["t"]),
        # The part that was never served is chosen, wherever it is in the prompt.
        ([(1, "t a b"), (2, "t a b"), (3, "t a b")], {"a": 0.5, "b": 0.1}, ["t"]),
        # Otherwise the one that fewest requests share.
        ([(1, "a b t"), (2, "a b t"), (3, "a b t")], {}, ["t"]),
        # A part that worked before and crashes runners now.
        ([(1, "a t"), (2, "a t"), (3, "a t")], {"t": 0.2, "a": 0.9}, ["t"]),
        # Runners that end together have one cause.
        ([(1, "a"), (1.05, "a"), (1.1, "a"), (1.15, "a")], {}, []),
        ([(1, "a"), (1.05, "a"), (2, "a")], {}, []),
        ([(1, "a"), (1.1, "a"), (1.1, "b"), (1.1, "b c"), (2, "a")], {}, []),
        # Unless most of them have the part in common.
        ([(1, "a t"), (1.1, "t"), (1.2, "b t"), (1.2, "c"), (2, "t")], {}, ["t"]),
        # A bystander of two crashes is not blamed for a third one of its own.
        ([(1, "t"), (2, "t a"), (3, "t a"), (4, "a")], {"a": 0.5}, ["t"]),
        # Two deadly parts with a common first part.
        (
            [(1, "a t"), (2, "a u"), (3, "a t"), (4, "a u"), (5, "a t"), (6, "a u")],
            {"a": 0.9},
            ["t", "u"],
        ),
        # A request that was served ends the suspicion.
        ([(1, "t"), (2, "t"), (3, "t")], {"t": 3.5}, []),
        # The attempts of one request follow each other within one moment.
        ([(1, "request/x"), (1.1, "request/x")], {}, []),
        ([(1, "request/x"), (1.1, "request/x"), (1.1, "request/y")], {}, []),
        (
            [(1, "request/x"), (1.1, "request/x"), (1.15, "request/x")],
            {},
            ["request/x"],
        ),
        ([(1, "request/x"), (1.1, "request/x"), (1.3, "request/x")], {}, ["request/x"]),
        (
            [(1, "request/x"), (1.1, "request/x"), (5, "request/x")],
            {"request/x": 3},
            [],
        ),
        # A request is blamed rather than parts that only it has.
        (
            [(1, "a request/x"), (2, "a request/x"), (3, "a request/x")],
            {},
            ["request/x"],
        ),
        # A part is blamed if it is in crashes under other requests, too.
        (
            [
                (1, "t request/x"),
                (2, "t request/x"),
                (3, "t request/x"),
                (4, "t request/y"),
            ],
            {},
            ["t"],
        ),
    ],
)
def test_sound_part_is_blamed_for_crashes(listed, served, deadly):
    """Guards against a verdict on bystanders, and against none on the cause."""
    found = find_deadly_parts(crashes(*listed), served)
    assert sorted(found) == sorted(deadly)
    assert sorted(find_deadly_parts(crashes(*listed[::-1]), served)) == sorted(deadly)


def test_explained_crashes_blame_no_other_part():
    """Guards against a second verdict on the parts beside a quarantined one."""
    listed = crashes((1, "a t"), (2, "a t"), (3, "a t"))
    assert find_deadly_parts(listed, {}, {"t"}) == []


@pytest.mark.parametrize(
    ("times", "sizes"),
    [([], []), ([1, 1.1, 1.19], [3]), ([3, 1, 2], [1] * 3), ([1, 1.15, 1.3], [2, 1])],
)
def test_crashes_at_one_moment_are_counted_apart(times, sizes):
    """Guards against a power failure that counts as many crashes."""
    moments = group_by_moment(crashes(*((at, "a") for at in times)))
    assert [len(moment) for moment in moments] == sizes


@pytest.mark.parametrize(
    ("later", "deadly"),
    [
        ([(4, "t request/y")], []),
        ([(4, "t request/y"), (5, "t request/z")], ["t"]),
        ([(4, "request/y"), (5, "request/z")], []),
    ],
)
def test_part_of_a_quarantined_request_is_never_blamed(later, deadly):
    """Guards against crashes that a quarantined request explains for good."""
    listed = [(1, "t request/x"), (2, "t request/x"), (3, "t request/x"), *later]
    assert find_deadly_parts(crashes(*listed), {}, ["request/x"]) == deadly
