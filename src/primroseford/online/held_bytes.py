"""Limit on the incomplete responses that a host holds for all requests together."""

from __future__ import annotations

MAX_HELD_BYTES = 8 * 1024 * 1024
"""Bytes that a host holds of incomplete responses and events."""
GUARANTEED_BYTES = 128 * 1024
"""Bytes that each request may hold even beyond that, so that requests with short
responses do not suffer from those with long ones."""


class HeldBytes:
    """Counts the bytes that are held for each request until they can be passed on.

    :ivar by_request: bytes by request id
    :ivar total: bytes of all requests
    """

    def __init__(self) -> None:
        self.by_request: dict[str, int] = {}
        self.total = 0

    def may_hold(self, request_id: str, size: int) -> bool:
        """Record how much is held for a request; return whether it may hold as much."""
        self.total += size - self.by_request.get(request_id, 0)
        self.by_request[request_id] = size
        return size <= GUARANTEED_BYTES or self.total <= MAX_HELD_BYTES

    def release(self, request_id: str) -> None:
        """Record that nothing is held for a request any more."""
        self.total -= self.by_request.pop(request_id, 0)
