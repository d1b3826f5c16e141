"""Names of the operator's requests to empty a host with a disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.platform.objects import PlatformObject

RETIREMENT_KIND = "retirements"
"""Objects of this kind bear the name of the host to empty."""
COMPLETE = "complete"


def is_complete(item: PlatformObject) -> bool:
    """Return whether a request has been answered."""
    return isinstance(item.status, dict) and item.status.get("state") == COMPLETE


def completed_status() -> dict[str, str]:
    """Return the status of a host that may be removed."""
    return {"state": COMPLETE}
