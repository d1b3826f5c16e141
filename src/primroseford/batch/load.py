"""Online load of runners as all hosts report it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.batch.gen.ttypes import OnlineLoad

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection

ONLINE_LOAD = 500
SEND_INTERVAL_SECONDS = 0.02


@dataclass(frozen=True)
class Told:
    """The last message of a host about a runner."""

    in_flight: int
    sequence: int


class LoadView:
    """Online requests in flight by runner, over all hosts.

    :param own: this host's online requests in flight on a runner
    """

    def __init__(self, own: Callable[[str], int]) -> None:
        self.own = own
        self.told: dict[str, dict[str, Told]] = {}
        self.callbacks: list[Callable[[str], None]] = []

    def online(self, runner: str) -> int:
        """Return the online requests in flight on a runner."""
        others = self.told.get(runner, {}).values()
        return self.own(runner) + sum(told.in_flight for told in others)

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with each runner whose load changed."""
        self.callbacks.append(callback)

    def record(self, host: str, message: OnlineLoad) -> None:
        """Take a host's message; one that arrives late changes nothing."""
        by_host = self.told.setdefault(message.runner, {})
        known = by_host.get(host)
        if known is not None and known.sequence >= message.sequence:
            return
        by_host[host] = Told(max(0, message.in_flight), message.sequence)
        self.changed(message.runner)

    def keep(self, hosts: Collection[str]) -> None:
        """Forget what hosts told that have left or started anew."""
        for runner, by_host in self.told.items():
            gone = by_host.keys() - set(hosts)
            for host in gone:
                del by_host[host]
            if gone:
                self.changed(runner)

    def changed(self, runner: str) -> None:
        """Report that the load of a runner changed."""
        for callback in self.callbacks:
            callback(runner)


class LoadSender:
    """Sends this host's online load to feeders, at most once every 20 ms each.

    :param own: this host's online requests in flight on a runner
    :param send: sends a message to the feeder of a runner
    :param first: first sequence number; above those of earlier incarnations
    """

    def __init__(
        self,
        own: Callable[[str], int],
        send: Callable[[str, OnlineLoad], Awaitable[None]],
        first: int,
    ) -> None:
        self.own = own
        self.send = send
        self.sequence = first
        self.dirty: set[str] = set()
        self.sent: dict[str, int] = {}

    def changed(self, runner: str) -> None:
        """Note that the online load of a runner changed."""
        self.dirty.add(runner)

    async def flush(self) -> None:
        """Send what changed since the last call."""
        dirty, self.dirty = self.dirty, set()
        for runner in sorted(dirty):
            in_flight = self.own(runner)
            if self.sent.get(runner) != in_flight:
                self.sequence += 1
                self.sent[runner] = in_flight
                await self.send(runner, OnlineLoad(runner, in_flight, self.sequence))

    def resend(self) -> None:
        """Send everything again, since feeders may have changed."""
        self.dirty.update(self.sent)
        self.sent.clear()
