"""Forwarding of heartbeats by one relay in each failure domain.

In a large fleet most of the cost of heartbeats is the number of datagrams: if every
host sends to every other host, each receives one datagram per host and interval. The
hosts of a failure domain therefore send to one of them, the relay. It collects
heartbeats for a short time and forwards them in one datagram to each host of its domain
and to the relay of each other domain.

The role is soft state that each host derives from the heartbeats that it receives. A
host that receives no bundles sends to all hosts directly. A lost or duplicate relay
therefore costs only datagrams and a short delay.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.placement import MAX_DIRECT_HOSTS
from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.gateway.members import Members
    from primroseford.gateway.members import Peer
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId

RELAY_SECONDS = 0.1
"""Time for which a relay collects heartbeats: about the delay that one hop may add."""
RELAY_TIMEOUT_SECONDS = 0.6
"""Time without bundles after which hosts bypass a relay: six bundles."""
MAX_MISSED_ECHOES = 2
"""Own heartbeats that a relay may fail to return before the sender bypasses it."""
SENT_HISTORY_SIZE = 8
"""Own heartbeats kept to recognise them in bundles, which are some tenths of a second
old."""
HEARTBEAT_BYTES = 300
"""Typical size of a heartbeat with some loads, organisations and one job."""
MAX_LINK_FRACTION = 0.25
"""Fraction of a host's link that bundles may use."""
MAX_BUNDLE_BYTES = 48 * 1024
"""Largest bundle, below the size limit of a datagram."""
RELAY_CHOICE_CACHE_SECONDS = 0.25
"""Time for which the choice of a relay is cached, since each choice iterates over all
hosts. It is less than half of the time after which a relay counts as lost."""
RELAY_HASH_KEY = "relay"


@dataclass
class Relay:
    """Relay of each failure domain, and the heartbeats that this host has to forward.

    :param domain: failure domain of this host
    :param link: bandwidth of this host's link in bytes a second
    :ivar bundle_received_at: local time of the last bundle from each relay
    :ivar echo_received_at: local time at which each relay last returned a heartbeat
    :ivar chosen: relay of each failure domain, and local time until which it is cached
    :ivar sent: last heartbeats that this host sent
    :ivar own_domain: latest heartbeats of hosts of this domain that are not forwarded
    :ivar others: latest heartbeats from the relays of other domains
    """

    members: Members
    domain: FailureDomainId
    link: float
    bundle_received_at: dict[HostId, float] = field(default_factory=dict)
    echo_received_at: dict[HostId, float] = field(default_factory=dict)
    chosen: dict[FailureDomainId, tuple[HostId | None, float]] = field(
        default_factory=dict
    )
    sent: deque[bytes] = field(default_factory=lambda: deque(maxlen=SENT_HISTORY_SIZE))
    own_domain: dict[HostId, bytes] = field(default_factory=dict)
    others: dict[HostId, bytes] = field(default_factory=dict)

    def relay_of(self, domain: FailureDomainId, now: float) -> HostId | None:
        """Return the relay of a failure domain; ``None`` if no host can be one.

        :param now: local time in seconds
        """
        chosen, until = self.chosen.get(domain, (None, -math.inf))
        if now >= until:
            chosen = self._choose(domain, now)
            self.chosen[domain] = (chosen, now + RELAY_CHOICE_CACHE_SECONDS)
        return chosen

    def _choose(self, domain: FailureDomainId, now: float) -> HostId | None:
        live = self.members.live(now)
        if 1 + len(live) <= MAX_DIRECT_HOSTS:
            return None
        peers = [peer for peer in live if peer.heartbeat.failure_domain == domain]
        links = {peer.host: peer.heartbeat.link_bytes or 0 for peer in peers}
        if domain == self.domain:
            links[self.members.own] = self.link
        needed = bundle_bytes(self._known(domain), 1 + len(self.members.peers))
        needed /= MAX_LINK_FRACTION
        candidates = [host for host, link in links.items() if link >= needed]
        return ranked(RELAY_HASH_KEY, candidates, str)[0] if candidates else None

    def _known(self, domain: FailureDomainId) -> int:
        """Return the number of known hosts of a failure domain, live or not."""
        peers = self.members.peers.values()
        known = sum(
            p.heartbeat is not None and p.heartbeat.failure_domain == domain
            for p in peers
        )
        return known + (domain == self.domain)

    def has_recent_bundle(self, relay: HostId | None, now: float) -> bool:
        """Return whether this host receives bundles from a relay."""
        at = self.bundle_received_at.get(relay) if relay is not None else None
        return at is not None and now - at <= RELAY_TIMEOUT_SECONDS

    def direct_receivers(self, now: float) -> list[Peer]:
        """Return the peers to which this host sends its own heartbeats directly.

        :param now: local time in seconds
        """
        peers = self.members.peers
        relay = self.relay_of(self.domain, now)
        if relay == self.members.own:
            # The other peers receive them in the bundles of this host.
            recent = {peer.host for peer in self.members.heard(now)}
            return [
                p for h, p in peers.items() if h not in recent or p.heartbeat.direct
            ]
        if self.bypasses_relay(now):
            return list(peers.values())
        # A host without a relay receives only direct heartbeats.
        return [
            p
            for h, p in peers.items()
            if h == relay or (p.heartbeat and p.heartbeat.direct)
        ]

    def bypasses_relay(self, now: float) -> bool:
        """Return whether this host bypasses the relay and sends to all hosts directly.

        :param now: local time in seconds
        """
        relay = self.relay_of(self.domain, now)
        if relay == self.members.own:
            return False
        return not (
            self.has_recent_bundle(relay, now) and self.has_recent_echo(relay, now)
        )

    def has_recent_echo(self, relay: HostId, now: float) -> bool:
        """Return whether a relay has recently returned a heartbeat of this host."""
        interval = heartbeat_interval(1 + len(self.members.peers))
        limit = RELAY_TIMEOUT_SECONDS + MAX_MISSED_ECHOES * interval
        return now - self.echo_received_at.get(relay, -math.inf) <= limit

    def is_relay(self, now: float) -> bool:
        """Return whether this host is the relay of its failure domain."""
        return self.relay_of(self.domain, now) == self.members.own

    def record_sent(self, data: bytes) -> None:
        """Record an own heartbeat, to forward it and to recognise it in bundles."""
        self.sent.append(data)
        self.own_domain[self.members.own] = data

    def collect(self, host: HostId, domain: FailureDomainId, data: bytes) -> None:
        """Record a heartbeat that was received directly, to forward it.

        Heartbeats of other domains are not forwarded: a host that sends one directly to
        this host bypasses its relay and sends to all hosts.
        """
        if domain == self.domain:
            self.own_domain[host] = data

    def remove_echoes(
        self, relay: HostId, heartbeats: Iterable[bytes], now: float
    ) -> list[bytes]:
        """Record the receipt of a bundle and return its heartbeats without own ones.

        :param now: local time in seconds
        """
        self.bundle_received_at[relay] = now
        others = [data for data in heartbeats if data not in self.sent]
        if len(others) < len(heartbeats):
            self.echo_received_at[relay] = now
        return others

    def collect_bundle(self, relay: HostId, hosts: dict[HostId, bytes]) -> None:
        """Record the heartbeats of another domain, to forward them in this one.

        :param hosts: heartbeats by host
        """
        peer = self.members.peers.get(relay)
        known = peer is not None and peer.heartbeat is not None
        if known and peer.heartbeat.failure_domain != self.domain:
            self.others.update(hosts)

    def drain(self, now: float) -> list[tuple[Peer, list[bytes]]]:
        """Return the heartbeats to forward, by receiver, and clear them.

        An empty bundle shows that the relay is alive.

        :param now: local time in seconds
        """
        own = list(self.own_domain.values())
        everything = own + list(self.others.values())
        self.own_domain.clear()
        self.others.clear()
        sent = []
        for domain, peers in self._domains(now).items():
            if domain == self.domain:
                sent += [(peer, everything) for peer in peers]
                continue
            relay = self.relay_of(domain, now)
            if self.has_recent_bundle(relay, now) or (relay is not None and not own):
                peers = [self.members.peers[relay]]
            sent += [(peer, own) for peer in peers]
        return sent

    def _domains(self, now: float) -> dict[FailureDomainId, list[Peer]]:
        """Return the live and leaving peers by failure domain."""
        domains: dict[FailureDomainId, list[Peer]] = {}
        for peer in self.members.heard(now):
            domains.setdefault(peer.heartbeat.failure_domain, []).append(peer)
        return domains


def bundle_bytes(members: int, hosts: int) -> float:
    """Return the expected bytes a second that a relay sends.

    :param members: number of hosts of its failure domain
    :param hosts: number of hosts of the fleet
    """
    return members * hosts * HEARTBEAT_BYTES / heartbeat_interval(hosts)


def split_bundle(heartbeats: Iterable[bytes]) -> list[list[bytes]]:
    """Split heartbeats into bundles of bounded size."""
    bundles: list[list[bytes]] = [[]]
    size = 0
    for heartbeat in heartbeats:
        if bundles[-1] and size + len(heartbeat) > MAX_BUNDLE_BYTES:
            bundles.append([])
            size = 0
        bundles[-1].append(heartbeat)
        size += len(heartbeat)
    return bundles
