"""Heartbeats of a large fleet over a simulated network that loses datagrams."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from primroseford.clock import ManualClock
from primroseford.gateway.heartbeat import BUNDLE_PORT_OFFSET
from primroseford.gateway.heartbeat import HeartbeatService
from primroseford.gateway.members import Members
from primroseford.gateway.relay import RELAY_SECONDS
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.state import Gateway
from primroseford.gateway.state import GatewayMetrics
from primroseford.metrics import Metrics

if TYPE_CHECKING:
    from primroseford.clock import Clock
    from primroseford.ids import JobId
    from primroseford.jobs.state import JobReport

DOMAINS = ("a", "b", "c", "d", "e")
PORT = 7660
STEP_SECONDS = 0.02
STRONG, WEAK = 25e6, 3.75e6
"""Bandwidth in bytes per second of the two kinds of links on the large site."""
LINK_PATTERN_PERIOD = 10
"""Period of the links over the hosts' numbers: the first five hosts of each period
have a strong link, the others a weak one."""


class IdleJobs:
    """The jobs of an idle host.

    :param reports: reports of jobs that the host's heartbeats carry
    :ivar preempted: runners on which an item was to be preempted
    """

    def __init__(self, reports: dict[JobId, JobReport] | None = None) -> None:
        self.reports = reports or {}
        self.preempted: list[str] = []

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return the reports of the jobs."""
        return self.reports

    def reported_cancellations(self) -> list:
        """Return no cancelled jobs."""
        return []

    def waiting_items(self) -> tuple[int, int]:
        """Return that no items wait."""
        return 0, 0

    def is_stalled(self) -> bool:
        """Return that jobs could be run."""
        return False

    def scan_age(self) -> float | None:
        """Return that this host has made no scan."""

    def cancellation_scan_age(self) -> float | None:
        """Return that this host has made no scan for cancellations."""

    def apply_cancellation(self, job, *, reported_by) -> None:
        """Ignore the cancellation of a job."""

    def preempt_item(self, runner) -> None:
        """Record that an item was to be preempted."""
        self.preempted.append(runner)


def create_heartbeats(
    name: str,
    domain: str,
    address: tuple[str, int],
    clock: Clock,
    random: Random,
    link: float,
    incarnation: str = "1",
    jobs: IdleJobs | None = None,
) -> HeartbeatService:
    """Return the heartbeat service of one host, without sockets.

    :param link: bandwidth of the host's link in bytes per second
    """
    gateway = Gateway(
        Members(name),
        SlotAllocator(domain, clock, random),
        None,
        clock,
        random,
        GatewayMetrics(Metrics()),
    )
    return HeartbeatService(
        gateway, incarnation, domain, address, jobs or IdleJobs(), lambda: True, link
    )


class SimulatedTransport:
    """The datagram transport of one host in the simulated network."""

    def __init__(self, fleet: HeartbeatFleet, host: str) -> None:
        self.fleet = fleet
        self.host = host

    def is_closing(self) -> bool:
        """Return that the transport is open."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; the network delivers it at the next step."""
        self.fleet.sent[self.host] += 1
        self.fleet.in_transit.append((self.host, address, data))


class HeartbeatFleet:
    """Hosts in failure domains and the network between them.

    :param loss: share of the datagrams that are lost, from 0 to 1
    :param strong: whether part of the hosts have a strong link
    :ivar down: hosts that neither send nor receive
    :ivar blocked_links: pairs of sender and receiver whose datagrams are lost
    :ivar sent: number of sent datagrams by sender
    """

    def __init__(self, hosts: int, loss: float = 0.0, strong: bool = True) -> None:
        self.clock = ManualClock(100.0)
        self.random = Random(11)
        self.loss = loss
        self.in_transit: list[tuple[str, tuple[str, int], bytes]] = []
        self.down: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()
        self.names = [f"{DOMAINS[n % len(DOMAINS)]}-{n}" for n in range(hosts)]
        self.sent = dict.fromkeys(self.names, 0)
        self.starts = 1
        self.services = {
            name: self.create(
                name, STRONG if strong and n % LINK_PATTERN_PERIOD < 5 else WEAK
            )
            for n, name in enumerate(self.names)
        }
        for name in self.names:
            self._add_peers_from_store(name)
        self.next_heartbeats = {name: self.random.random() * 0.6 for name in self.names}
        self.next_relay_rounds = {
            name: self.random.random() * 0.1 for name in self.names
        }

    def create(self, name: str, link: float, incarnation: str = "1"):
        """Return the heartbeat service of one host."""
        service = create_heartbeats(
            name, name[0], (name, PORT), self.clock, self.random, link, incarnation
        )
        service.transport = service.bundles = SimulatedTransport(self, name)
        return service

    def _add_peers_from_store(self, host: str) -> None:
        """Add the addresses of all hosts to a host, as its watch of the store does."""
        for name in self.names:
            members = self.services[host].gateway.members
            members.add_from_store(name, f"{name}:{PORT}", self.clock())

    def restart(self, host: str) -> None:
        """Start a host again that was down, with a new incarnation."""
        self.starts += 1
        link = self.services[host].relay.link
        self.services[host] = self.create(host, link, str(self.starts))
        self._add_peers_from_store(host)
        self.down.discard(host)

    def run(self, seconds: float) -> None:
        """Run steps until the time has passed."""
        until = self.clock() + seconds
        while self.clock() < until:
            self.step()

    def step(self) -> None:
        """Advance the clock by one step; deliver datagrams and run due rounds."""
        self.clock.advance(STEP_SECONDS)
        now = self.clock() - 100.0
        arriving, self.in_transit = self.in_transit, []
        for sender, (receiver, port), data in arriving:
            lost = self.random.random() < self.loss
            if (
                lost
                or receiver in self.down
                or (sender, receiver) in self.blocked_links
            ):
                continue
            service = self.services[receiver]
            if port == PORT + BUNDLE_PORT_OFFSET:
                service.receive_bundle(data)
            else:
                service.receive_direct(data)
        for name, service in self.services.items():
            if name in self.down:
                continue
            if now >= self.next_heartbeats[name]:
                service.gateway.allocator.changed = True
                service._beat()
                self.next_heartbeats[name] = now + service._pause()
            if now >= self.next_relay_rounds[name]:
                service.forward_bundles()
                self.next_relay_rounds[name] = now + RELAY_SECONDS

    def max_heartbeat_age(self, readers: list[str] | None = None) -> float:
        """Return the largest age, in seconds, of the last heartbeat from any host.

        :param readers: receiving hosts to check; by default all that are up
        """
        now = self.clock()
        up = [name for name in self.names if name not in self.down]
        return max(
            now - self.services[reader].gateway.members.peers[name].heard_at
            for reader in readers or up
            for name in up
            if name != reader
        )

    def all_peers_live(self) -> bool:
        """Return whether every host that is up counts all others as live."""
        up = [name for name in self.names if name not in self.down]
        live = {
            name: {
                p.host for p in self.services[name].gateway.members.live(self.clock())
            }
            for name in up
        }
        return all(live[name] == set(up) - {name} for name in up)

    def relays(self) -> set[str]:
        """Return the hosts that act as relays."""
        now = self.clock()
        return {
            name
            for name, service in self.services.items()
            if name not in self.down and service.relay.is_relay(now)
        }

    def datagrams_a_second(self, seconds: float) -> dict[str, float]:
        """Run for a time and return the datagrams per second that each host sent."""
        before = dict(self.sent)
        self.run(seconds)
        return {n: (self.sent[n] - before[n]) / seconds for n in self.names}
