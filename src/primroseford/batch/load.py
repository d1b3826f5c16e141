"""Online load of runners as reported by all hosts."""

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
class HostLoad:
    """Last load that a host reported for a runner."""

    in_flight: int
    sequence: int


class LoadView:
    """Online requests in flight by runner, summed over all hosts.

    :param own_in_flight: this host's online requests in flight on a runner
    """

    def __init__(self, own_in_flight: Callable[[str], int]) -> None:
        self.own_in_flight = own_in_flight
        self.by_runner: dict[str, dict[str, HostLoad]] = {}
        self.callbacks: list[Callable[[str], None]] = []

    def online(self, runner: str) -> int:
        """Return the online requests in flight on a runner."""
        others = self.by_runner.get(runner, {}).values()
        return self.own_in_flight(runner) + sum(load.in_flight for load in others)

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with each runner whose load changed."""
        self.callbacks.append(callback)

    def record(self, host: str, message: OnlineLoad) -> None:
        """Record the load that a host reports; out-of-order messages are ignored."""
        by_host = self.by_runner.setdefault(message.runner, {})
        known = by_host.get(host)
        if known is not None and known.sequence >= message.sequence:
            return
        by_host[host] = HostLoad(max(0, message.in_flight), message.sequence)
        self.changed(message.runner)

    def retain_hosts(self, hosts: Collection[str]) -> None:
        """Discard the loads reported by hosts other than these.

        :param hosts: hosts of the current membership
        """
        for runner, by_host in self.by_runner.items():
            gone = by_host.keys() - set(hosts)
            for host in gone:
                del by_host[host]
            if gone:
                self.changed(runner)

    def changed(self, runner: str) -> None:
        """Notify the callbacks that the load of a runner changed."""
        for callback in self.callbacks:
            callback(runner)


class LoadSender:
    """Sends this host's online load to the feeders of runners.

    :param own_in_flight: this host's online requests in flight on a runner
    :param send: sends a message to the feeder of a runner
    :param first_sequence: initial sequence number, above those of earlier incarnations
    """

    def __init__(
        self,
        own_in_flight: Callable[[str], int],
        send: Callable[[str, OnlineLoad], Awaitable[None]],
        first_sequence: int,
    ) -> None:
        self.own_in_flight = own_in_flight
        self.send = send
        self.sequence = first_sequence
        self.changed_runners: set[str] = set()
        self.sent: dict[str, int] = {}

    def mark_changed(self, runner: str) -> None:
        """Mark the online load of a runner as changed."""
        self.changed_runners.add(runner)

    async def flush(self) -> None:
        """Send the loads that changed since the last call."""
        changed_runners, self.changed_runners = self.changed_runners, set()
        for runner in sorted(changed_runners):
            in_flight = self.own_in_flight(runner)
            if self.sent.get(runner) != in_flight:
                self.sequence += 1
                self.sent[runner] = in_flight
                await self.send(runner, OnlineLoad(runner, in_flight, self.sequence))

    def resend(self) -> None:
        """Mark all loads for sending, since runners may have moved to other feeders."""
        self.changed_runners.update(self.sent)
        self.sent.clear()
