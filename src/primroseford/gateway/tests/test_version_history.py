"""Whether a pool has had a single software version lately."""

from __future__ import annotations

import pytest

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.version_history import HISTORY_SECONDS
from primroseford.gateway.version_history import VersionEvidence
from primroseford.gateway.version_history import VersionHistory
from primroseford.gateway.version_history import choose_witness
from primroseford.ids import SoftwareVersion
from primroseford.ids import Version

LONG_SECONDS = 100.0


def runners(*versions: str) -> list[RunnerEntry]:
    """Return one runner of each version."""
    return [
        RunnerEntry(
            RunnerKey(f"i-{number}", 1000),
            "models",
            "10.0.0.1:80",
            "a",
            8,
            RunnerStage.READY,
            SoftwareVersion(version),
        )
        for number, version in enumerate(versions)
    ]


@pytest.mark.parametrize(
    ("lists", "seen"),
    [
        ([(0.0, runners("v1", "v1"))], {"v1"}),
        ([(0.0, runners("v1", "v2"))], {"v1", "v2"}),
        ([(0.0, [])], set()),
        ([(0.0, runners("v1")), (LONG_SECONDS, runners("v2"))], {"v1", "v2"}),
        (
            [
                (0.0, runners("v1")),
                (LONG_SECONDS, runners("v2")),
                (HISTORY_SECONDS - 0.1, runners("v2")),
            ],
            {"v1", "v2"},
        ),
        (
            [
                (0.0, runners("v1")),
                (LONG_SECONDS, runners("v2")),
                (HISTORY_SECONDS, runners("v2")),
            ],
            {"v2"},
        ),
        (
            [(0.0, runners("v1")), (LONG_SECONDS, []), (1.0, runners("v1"))],
            {"v1"},
        ),
        ([(0.0, runners("v1", "v2")), (5.0, runners("v1"))], {"v1", "v2"}),
    ],
    ids=[
        "one version",
        "two versions",
        "no runner",
        "just replaced",
        "replaced a while ago",
        "replaced long ago",
        "gone and back",
        "one left just now",
    ],
)
def test_pool_that_has_had_two_versions_counts_as_one(clock, lists, seen):
    """Guards against a stream that goes on at the version after its own."""
    history = VersionHistory(clock)
    for seconds, entries in lists:
        clock.advance(seconds)
        history.update(entries)
    assert history.seen("models") == seen


@pytest.mark.parametrize(
    ("followed_seconds", "gap_seconds", "vouched_seconds", "is_whole"),
    [
        (0.0, None, None, False),
        (HISTORY_SECONDS - 0.1, None, None, False),
        (HISTORY_SECONDS, None, None, True),
        (LONG_SECONDS, 0.0, None, False),
        (LONG_SECONDS, HISTORY_SECONDS - 0.1, None, False),
        (LONG_SECONDS, HISTORY_SECONDS, None, True),
        (1.0, None, 1.0, True),
        (1.0, None, 0.0, True),
        (LONG_SECONDS, 2.0, 1.0, True),
        (LONG_SECONDS, 1.0, 2.0, False),
    ],
    ids=[
        "first list",
        "followed for some time",
        "followed for long",
        "after a gap",
        "some time after a gap",
        "long after a gap",
        "vouched for at the first list",
        "vouched for now",
        "vouched for since a gap",
        "vouched for before a gap",
    ],
)
def test_list_counts_as_a_history(
    clock, followed_seconds, gap_seconds, vouched_seconds, is_whole
):
    """Guards against a version that served before this host has seen the list."""
    history = VersionHistory(clock)
    start = clock()
    history.follow(Version(7), -float("inf"))
    history.update(runners("v1"))
    end = start + followed_seconds
    moments = [
        (end - s, kind)
        for s, kind in ((gap_seconds, "gap"), (vouched_seconds, "vouch"))
        if s is not None
    ]
    for moment, kind in sorted(moments):
        clock.advance(moment - clock())
        if kind == "gap":
            history.follow(Version(9), clock())
            history.update(runners("v1"))
        else:
            history.vouch("models")
    clock.advance(end - clock())
    assert history.evidence("models").is_whole == is_whole
    assert history.followed_from == (7 if gap_seconds is None else 9)


def known(is_whole: bool, followed_to: int = 5) -> VersionEvidence:
    """Return what a host knows that has seen one version."""
    return VersionEvidence(frozenset({"v1"}), Version(followed_to), is_whole)


@pytest.mark.parametrize(
    ("evidence", "witness"),
    [
        ({"own": known(True, 3), "other": known(True, 9)}, "own"),
        ({"own": known(False, 9), "other": known(True, 3)}, "other"),
        ({"own": known(False), "b": known(True, 3), "c": known(True, 4)}, "c"),
        ({"own": known(False), "b": known(False)}, None),
        ({"own": known(False)}, None),
    ],
    ids=["own", "other", "newest", "none whole", "alone"],
)
def test_host_that_has_not_seen_all_changes_is_a_witness(evidence, witness):
    """Guards against a conclusion from what a new host's list does not show."""
    assert choose_witness("own", evidence) == witness
