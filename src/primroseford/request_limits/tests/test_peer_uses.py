"""Tokens that other hosts report to have used."""

from __future__ import annotations

import pytest

from primroseford.gateway.runners import RunnerKey
from primroseford.request_limits.owner import WINDOW_SECONDS
from primroseford.request_limits.peer_uses import PeerUses
from primroseford.request_limits.peer_uses import Process

RUNNER, OTHER = RunnerKey("i-1", 1), RunnerKey("i-2", 1)
OWN, ANOTHER = 7, 8


@pytest.mark.parametrize(
    ("reports", "now", "count"),
    [
        ([], 0.0, 0),
        ([("a", {RUNNER: {OWN: 5}}, 0.0)], 0.0, 0),
        ([("a", {RUNNER: {OWN: 5, ANOTHER: 2}}, 0.0)], 0.0, 2),
        ([("a", {RUNNER: {0: 2}}, 0.0)], 0.0, 2),
        ([("a", {OTHER: {ANOTHER: 2}}, 0.0)], 0.0, 0),
        ([("a", {RUNNER: {ANOTHER: 2}}, 0.0)] * 2, 0.0, 2),
        ([(host, {RUNNER: {ANOTHER: 2}}, 0.0) for host in "abc"], 0.0, 6),
        ([("a", {RUNNER: {ANOTHER: 2}}, 0.0), ("a", {}, 0.1)], 0.1, 0),
        ([("a", {RUNNER: {ANOTHER: 2}}, 0.0), ("a restarted", {}, 0.1)], 0.1, 2),
        ([("a", {RUNNER: {ANOTHER: 2}}, 0.0)], WINDOW_SECONDS - 0.1, 2),
        ([("a", {RUNNER: {ANOTHER: 2}}, 0.0)], WINDOW_SECONDS, 0),
    ],
)
def test_used_tokens_of_other_owners_are_miscounted(reports, now, count):
    """Guards against tokens that are counted twice, never, or for ever."""
    uses = PeerUses()
    for host, used, at in reports:
        name, _, incarnation = host.partition(" ")
        uses.replace(Process(name, incarnation), used, at)
    assert uses.count_others(RUNNER, OWN, now) == count
    uses.forget(now + WINDOW_SECONDS)
    assert not uses.by_runner
