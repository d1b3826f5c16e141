"""Watches the operator's list of evacuated failure domains in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mode import Service

from primroseford.gateway.platform_watcher import CONFIRMING_RUNNERS_WATCH_SECONDS
from primroseford.gateway.platform_watcher import MAX_BACKOFF_SECONDS
from primroseford.gateway.platform_watcher import MAX_WATCH_SECONDS
from primroseford.platform.evacuation import EVACUATION_KIND
from primroseford.platform.evacuation import decode_evacuated_domains
from primroseford.platform.reflector import create_reflector

if TYPE_CHECKING:
    from primroseford.gateway.platform_watcher import PlatformWatcher
    from primroseford.gateway.state import Gateway
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.view import Delta


class EvacuationWatcher(Service):
    """Keeps the gateway's list of evacuated failure domains up to date.

    Other hosts report newer lists in their heartbeats.

    :param watcher: decides how long watch calls wait for a change
    """

    def __init__(
        self, gateway: Gateway, client: PlatformClient, watcher: PlatformWatcher
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.watcher = watcher
        gateway.evacuations.followed = True
        self.reflector = create_reflector(
            client,
            EVACUATION_KIND,
            self.apply,
            purpose="evacuations",
            clock=gateway.clock,
            backoff_max=MAX_BACKOFF_SECONDS,
            watch_seconds=self.watch_duration,
        )
        watcher.followed.append(self.reflector)

    def watch_duration(self) -> float:
        """Return the duration of the next watch call in seconds.

        Heartbeats tell the hosts with long calls what the confirming hosts have read.
        """
        if self.watcher.is_confirming():
            return CONFIRMING_RUNNERS_WATCH_SECONDS
        return MAX_WATCH_SECONDS

    async def on_start(self) -> None:
        """Start the watch."""
        await self.reflector.start()

    async def on_stop(self) -> None:
        """Stop the watch."""
        await self.reflector.stop()

    def apply(self, delta: Delta) -> None:
        """Apply the list in the store."""
        gateway = self.gateway
        domains = decode_evacuated_domains(self.reflector.view)
        gateway.note_evacuations(
            gateway.evacuations.update(domains, delta.version, gateway.clock())
        )
