"""Registers a host in the platform's store, and learns the others' addresses there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import HostId

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.ids import Incarnation
    from primroseford.platform.client import PlatformClient

HOSTS = "entry-hosts"
RETRY_SECONDS = 0.5
"""Pause before a call to the platform is tried again at start."""

log = structlog.get_logger()


class Registration(Service):
    """Lets hosts find each other through the platform's store.

    :param address: where this host takes heartbeats
    """

    def __init__(
        self,
        gateway: Gateway,
        client: PlatformClient,
        incarnation: Incarnation,
        address: str,
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.client = client
        self.incarnation = incarnation
        self.address = address

    @Service.task
    async def register(self) -> None:
        """Write this host's address, then read the others'."""
        while not self.should_stop:
            try:
                await self._write()
                listed = await self.client.list(HOSTS, purpose="hosts")
                break
            except PrimrosefordError as error:
                log.warning("host not registered yet", code=error.code.name)
                await self.sleep(RETRY_SECONDS)
        else:
            return
        now = self.gateway.clock()
        for item in listed.items:
            self.gateway.members.add_from_store(
                HostId(item.name), item.spec["address"], now
            )
        log.info("hosts known", hosts=[item.name for item in listed.items])

    async def _write(self) -> None:
        own = self.gateway.members.own
        spec = {"address": self.address, "incarnation": self.incarnation}
        try:
            await self.client.create(HOSTS, own, spec, purpose="hosts")
        except PrimrosefordError as error:
            if error.code is not ResultCode.ALREADY_EXISTS:
                raise
            found = await self.client.get(HOSTS, own, purpose="hosts")
            if found.spec["address"] != self.address:
                await self.client.update(
                    HOSTS, own, spec, found.version, purpose="hosts"
                )
