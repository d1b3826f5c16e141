"""The operator's requests to drain a host with a disk before its removal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.platform.objects import PlatformObject

RETIREMENT_KIND = "retirements"
"""Objects of this kind have the name of the host to drain."""
COMPLETE = "complete"


def is_complete(item: PlatformObject) -> bool:
    """Return whether a request has been completed."""
    return isinstance(item.status, dict) and item.status.get("state") == COMPLETE


def completed_status() -> dict[str, str]:
    """Return the status of a host that may be removed."""
    return {"state": COMPLETE}
