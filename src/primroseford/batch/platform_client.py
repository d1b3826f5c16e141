"""Platform client that sets the purpose and priority of batch's calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import FILE_CHUNKS
from primroseford.batch.state import RESULT_PARTS
from primroseford.batch.state import UPLOADS
from primroseford.platform.limiter import Priority

if TYPE_CHECKING:
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import ObjectList
    from primroseford.platform.objects import PlatformObject
    from primroseford.platform.objects import Spec

PURPOSE = "batch"
BULK_KINDS = frozenset({FILE_CHUNKS, RESULT_PARTS, UPLOADS})
"""Kinds with the content of files and results. Jobs and chunk states are not bulk:
their calls are few, and feeders and callers wait for them."""


class BatchClient:
    """Platform client with the purpose and priorities of batch.

    :param client: client of the platform's service
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def get(self, kind: str, name: str) -> PlatformObject:
        """Return an object."""
        priority = priority_of(kind, Priority.READ)
        return await self.client.get(kind, name, purpose=PURPOSE, priority=priority)

    async def list(
        self, kind: str, selector: dict[str, str] | None = None
    ) -> ObjectList:
        """Return the objects of a kind."""
        # Feeders list chunk states often. Callers that query progress use the same
        # list and accept the delay.
        bulk = kind == CHUNK_STATES
        priority = Priority.BULK if bulk else priority_of(kind, Priority.READ)
        return await self.client.list(
            kind, selector, purpose=PURPOSE, priority=priority
        )

    async def create(
        self, kind: str, name: str, spec: Spec, labels: dict[str, str] | None = None
    ) -> PlatformObject:
        """Create an object."""
        priority = priority_of(kind, Priority.CLAIM)
        return await self.client.create(
            kind, name, spec, labels, purpose=PURPOSE, priority=priority
        )

    async def update(
        self,
        kind: str,
        name: str,
        spec: Spec,
        version: int,
        labels: dict[str, str] | None = None,
    ) -> PlatformObject:
        """Replace an object if its version is unchanged."""
        priority = priority_of(kind, Priority.CLAIM)
        return await self.client.update(
            kind, name, spec, version, labels, purpose=PURPOSE, priority=priority
        )

    async def delete(self, kind: str, name: str, version: int | None = None) -> None:
        """Delete an object."""
        await self.client.delete(
            kind, name, version, purpose=PURPOSE, priority=Priority.BULK
        )


def priority_of(kind: str, usual: Priority) -> Priority:
    """Return the priority of a call.

    :param usual: priority for kinds that are not bulk
    """
    return Priority.BULK if kind in BULK_KINDS else usual
