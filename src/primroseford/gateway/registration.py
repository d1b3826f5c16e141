"""Registers a host in the platform's store and reads the other hosts' addresses."""

from __future__ import annotations

import re
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
    from primroseford.platform.objects import PlatformObject

HOST_KIND = "entry-hosts"
ADDRESS_PATTERN = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}")
RETRY_SECONDS = 0.5
"""Delay before a failed registration is retried at the start."""

log = structlog.get_logger()


class Registration(Service):
    """Host discovery through the platform's store.

    :param address: address at which this host receives heartbeats
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
        """Write this host's address, then read those of the other hosts."""
        while not self.should_stop:
            try:
                await self._write_address()
                listed = await self.client.list(HOST_KIND, purpose="hosts")
                break
            except PrimrosefordError as error:
                log.warning("host not registered yet", code=error.code.name)
                await self.sleep(RETRY_SECONDS)
        else:
            return
        now = self.gateway.clock()
        for item in listed.items:
            address = _decode_address(item)
            if address is None:
                log.warning("host entry ignored", name=item.name)
                continue
            self.gateway.members.add_from_store(HostId(item.name), address, now)
        log.info(
            "host registered; addresses of other hosts read",
            hosts=[item.name for item in listed.items],
        )

    async def _write_address(self) -> None:
        """Create this host's object, or update it if its address has changed."""
        own = self.gateway.members.own
        spec = {"address": self.address, "incarnation": self.incarnation}
        try:
            await self.client.create(HOST_KIND, own, spec, purpose="hosts")
        except PrimrosefordError as error:
            if error.code is not ResultCode.ALREADY_EXISTS:
                raise
            stored = await self.client.get(HOST_KIND, own, purpose="hosts")
            if _decode_address(stored) != self.address:
                await self.client.update(
                    HOST_KIND, own, spec, stored.version, purpose="hosts"
                )


def _decode_address(item: PlatformObject) -> str | None:
    """Return the address in a host's object; ``None`` if it has none."""
    address = item.spec.get("address") if isinstance(item.spec, dict) else None
    if isinstance(address, str) and ADDRESS_PATTERN.fullmatch(address):
        return address
    return None
