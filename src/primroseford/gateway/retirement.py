"""Answers the operator's requests to empty a host with a disk.

Nothing of this system lasts on such a host, so there is nothing to move: the request is
complete as soon as it is read. One host of the fleet does this at a time.
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

LOOK_SECONDS = 2.0
"""Time between two looks: a fifth of the time that the operator usually gives."""

log = structlog.get_logger()


class RetirementService(Service):
    """Looks for requests to empty a host with a disk."""

    def __init__(self, gateway: Gateway, client: PlatformClient) -> None:
        super().__init__()
        self.gateway = gateway
        self.client = client

    @Service.task
    async def look(self) -> None:
        """Answer the requests of the operator now and then."""
        await run_periodically(self, lambda: LOOK_SECONDS, self.answer)

    async def answer(self) -> None:
        """Answer the open requests if this host is the one to do so.

        :raises PrimrosefordError: as the platform's calls do
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
            log.info("host with a disk may go", host=item.name, revision=item.version)
