"""Replays of requests that hold bytes until they can be passed on."""

from __future__ import annotations

import pytest

from primroseford.online.held_bytes import GUARANTEED_BYTES
from primroseford.online.held_bytes import MAX_HELD_BYTES
from primroseford.online.held_bytes import HeldBytes


@pytest.mark.parametrize(
    ("floods", "size", "allowed"),
    [
        (0, MAX_HELD_BYTES, True),
        (0, MAX_HELD_BYTES + 1, False),
        (20, GUARANTEED_BYTES, True),
        (20, GUARANTEED_BYTES + 1, False),
    ],
)
def test_floods_take_the_buffers_of_sound_requests(floods, size, allowed):
    """Guards against sound requests that fail because of runners without end."""
    held = HeldBytes()
    for number in range(floods):
        piece = MAX_HELD_BYTES // floods
        for received in range(0, 4 * piece, piece):
            if not held.may_hold(f"flood-{number}", received):
                break
    assert held.may_hold("sound", size) is allowed


def test_released_bytes_stay_counted():
    """Guards against a total that grows with each request."""
    held = HeldBytes()
    for number in range(100):
        held.may_hold(f"id-{number}", MAX_HELD_BYTES // 2)
        held.may_hold(f"id-{number}", MAX_HELD_BYTES // 4)
        held.release(f"id-{number}")
        held.release(f"id-{number}")
    assert held.total == 0 and not held.by_request
