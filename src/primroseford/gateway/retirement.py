"""Completes the operator's requests to evacuate a host with a disk.

This system keeps no persistent data on such a host, so there is nothing to move: a
request is completed as soon as it is read. One host of the fleet does this at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.gateway.members import preferred_host
from primroseford.gateway.periodic import run_periodically
from primroseford.platform.retirement import RETIREMENT_KIND
from primroseford.platform.retirement import completed_status
from primroseford.platform.retirement import is_complete

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.platform.client import PlatformClient

POLL_SECONDS = 2.0
"""Polling interval: a fifth of the time that the operator usually allows."""

log = structlog.get_logger()


class RetirementService(Service):
    """Polls for requests to evacuate a host with a disk."""

    def __init__(self, gateway: Gateway, client: PlatformClient) -> None:
        super().__init__()
        self.gateway = gateway
        self.client = client

    @Service.task
    async def poll(self) -> None:
        """Complete open requests periodically."""
        await run_periodically(self, lambda: POLL_SECONDS, self.complete_open_requests)

    async def complete_open_requests(self) -> None:
        """Complete the open requests if this host is responsible for them.

        :raises PrimrosefordError: if a call to the platform fails
        """
        hosts = self.gateway.members.hosts(self.gateway.clock())
        if preferred_host(RETIREMENT_KIND, hosts) != self.gateway.members.own:
            return
        listed = await self.client.list(
            RETIREMENT_KIND, purpose="host removal", stale=True
        )
        for item in listed.items:
            if is_complete(item):
                continue
            await self.client.set_status(
                RETIREMENT_KIND, item.name, completed_status(), purpose="host removal"
            )
            log.info(
                "host with a disk may be removed", host=item.name, revision=item.version
            )
