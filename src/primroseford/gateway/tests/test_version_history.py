"""Whether a pool has had a single software version lately."""

from __future__ import annotations

import pytest

from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.version_history import STREAM_LIFETIME_SECONDS
from primroseford.gateway.version_history import VersionHistory
from primroseford.ids import SoftwareVersion

UNIX_TIME = 1_000_000.0
LONG_AGO_MS = 1000
JUST_NOW_MS = int((UNIX_TIME - 1.0) * 1000)


def runners(*versions: str, born: int = LONG_AGO_MS) -> list[RunnerEntry]:
    """Return one runner of each version."""
    return [
        RunnerEntry(
            RunnerKey(f"i-{number}", born),
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
    ("lists", "only"),
    [
        ([(0.0, runners("v1", "v1"))], "v1"),
        ([(0.0, runners("v1", "v2"))], None),
        ([(0.0, [])], None),
        ([(0.0, runners("v1")), (100.0, runners("v2"))], None),
        ([(0.0, runners("v1")), (100.0, runners("v2")), (20.0, runners("v2"))], "v2"),
        ([(0.0, runners("v1")), (100.0, []), (1.0, runners("v1"))], "v1"),
        ([(0.0, runners("v1", "v2")), (5.0, runners("v1"))], None),
        ([(0.0, runners("v1", born=JUST_NOW_MS))], None),
        ([(0.0, runners("v1", born=0))], "v1"),
        (
            [
                (0.0, runners("v1", born=JUST_NOW_MS)),
                (STREAM_LIFETIME_SECONDS, runners("v1", born=JUST_NOW_MS)),
            ],
            "v1",
        ),
    ],
    ids=[
        "one version",
        "two versions",
        "no runner",
        "just replaced",
        "replaced long ago",
        "gone and back",
        "one left just now",
        "unknown list, new runners",
        "unknown list, unknown age",
        "known list, new runners",
    ],
)
def test_pool_that_has_had_two_versions_counts_as_one(clock, lists, only):
    """Guards against a stream that goes on at the version after its own."""
    history = VersionHistory(clock, lambda: UNIX_TIME)
    for seconds, entries in lists:
        clock.advance(seconds)
        history.update(entries)
    assert history.only_version("models") == only


@pytest.mark.parametrize(
    ("seconds_since_gap", "only"),
    [
        (0.0, None),
        (STREAM_LIFETIME_SECONDS - 0.1, None),
        (STREAM_LIFETIME_SECONDS, "v1"),
    ],
)
def test_pool_counts_as_one_version_after_a_gap(clock, seconds_since_gap, only):
    """Guards against a version that came and went while the host was out of step."""
    history = VersionHistory(clock, lambda: UNIX_TIME)
    history.update(runners("v1"))
    clock.advance(100.0)
    history.gap_at = clock()
    history.update(runners("v1"))
    clock.advance(seconds_since_gap)
    assert history.only_version("models") == only
