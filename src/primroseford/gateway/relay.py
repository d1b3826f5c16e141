"""Heartbeats by way of one host in each failure domain.

In a large fleet most of the cost of heartbeats is that of datagrams: with each host
sending to each, a host takes as many a second as there are hosts. So the hosts of a
failure domain send theirs to one of them, which passes all that came in a short time on
by one datagram to each host of its domain and to the same host of each other domain.

The role is soft state that every host derives from the heartbeats it hears. A host that
hears no bundles sends to all hosts itself, so that a lost or doubled relay costs
datagrams and a moment of age, and nothing else.
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
"""Time for which a relay collects heartbeats: about the age that one hop may add."""
RELAY_SILENCE_SECONDS = 0.6
"""Silence of a relay after which hosts do without it: six bundles."""
ECHO_BEATS = 2
"""Own heartbeats that a relay may miss before its host does without it."""
SENT_KEPT = 8
"""Own heartbeats whose echo is known; bundles are some tenths of a second old."""
HEARTBEAT_BYTES = 300
"""Usual size of a heartbeat with some loads, organisations and a job."""
LINK_SHARE = 0.25
"""Part of a host's link that bundles may take."""
BUNDLE_BYTES = 48 * 1024
"""Largest bundle, below the bound of a datagram."""
CHOICE_SECONDS = 0.25
"""Time for which a choice stands, since it looks at all hosts: less than half of the
silence after which a relay counts as lost."""
DUTY = "relay"


@dataclass
class Relay:
    """Who relays in each failure domain, and what this host has to pass on.

    :param domain: failure domain of this host
    :param link: bytes a second of this host's link
    :ivar heard: local time of the last bundle from each relay
    :ivar echoed: local time at which each relay last passed on an own heartbeat
    :ivar chosen: relay of each failure domain, and until when the choice stands
    :ivar sent: newest heartbeats of this host
    :ivar own_domain: newest heartbeats of this domain that are to be passed on
    :ivar others: newest heartbeats that other relays passed on
    """

    members: Members
    domain: FailureDomainId
    link: float
    heard: dict[HostId, float] = field(default_factory=dict)
    echoed: dict[HostId, float] = field(default_factory=dict)
    chosen: dict[FailureDomainId, tuple[HostId | None, float]] = field(
        default_factory=dict
    )
    sent: deque[bytes] = field(default_factory=lambda: deque(maxlen=SENT_KEPT))
    own_domain: dict[HostId, bytes] = field(default_factory=dict)
    others: dict[HostId, bytes] = field(default_factory=dict)

    def relay_of(self, domain: FailureDomainId, now: float) -> HostId | None:
        """Return the host that relays in a failure domain; nothing if none can.

        :param now: local time in seconds
        """
        chosen, until = self.chosen.get(domain, (None, -math.inf))
        if now >= until:
            chosen = self._choose(domain, now)
            self.chosen[domain] = (chosen, now + CHOICE_SECONDS)
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
        needed /= LINK_SHARE
        able = [host for host, link in links.items() if link >= needed]
        return ranked(DUTY, able, str)[0] if able else None

    def _known(self, domain: FailureDomainId) -> int:
        """Return how many hosts of a failure domain are known, live or not."""
        peers = self.members.peers.values()
        known = sum(
            p.heartbeat is not None and p.heartbeat.failure_domain == domain
            for p in peers
        )
        return known + (domain == self.domain)

    def is_heard(self, relay: HostId | None, now: float) -> bool:
        """Return whether a relay passes heartbeats on."""
        at = self.heard.get(relay) if relay is not None else None
        return at is not None and now - at <= RELAY_SILENCE_SECONDS

    def receivers(self, now: float) -> list[Peer]:
        """Return the peers to which this host sends its own heartbeats.

        :param now: local time in seconds
        """
        peers = self.members.peers
        relay = self.relay_of(self.domain, now)
        if relay == self.members.own:
            # The others get them with the bundles of this host.
            heard = {peer.host for peer in self.members.heard(now)}
            return [p for h, p in peers.items() if h not in heard or p.heartbeat.direct]
        if self.is_direct(now):
            return list(peers.values())
        # A host without a relay hears only what is sent to it.
        return [
            p
            for h, p in peers.items()
            if h == relay or (p.heartbeat and p.heartbeat.direct)
        ]

    def is_direct(self, now: float) -> bool:
        """Return whether this host does without a relay.

        :param now: local time in seconds
        """
        relay = self.relay_of(self.domain, now)
        if relay == self.members.own:
            return False
        return not (self.is_heard(relay, now) and self.is_echoed(relay, now))

    def is_echoed(self, relay: HostId, now: float) -> bool:
        """Return whether a relay hears this host, by what it has passed on."""
        interval = heartbeat_interval(1 + len(self.members.peers))
        limit = RELAY_SILENCE_SECONDS + ECHO_BEATS * interval
        return now - self.echoed.get(relay, -math.inf) <= limit

    def is_relay(self, now: float) -> bool:
        """Return whether this host relays in its failure domain."""
        return self.relay_of(self.domain, now) == self.members.own

    def note_sent(self, data: bytes) -> None:
        """Keep a heartbeat of this host, to pass it on and to know its echo."""
        self.sent.append(data)
        self.own_domain[self.members.own] = data

    def collect(self, host: HostId, domain: FailureDomainId, data: bytes) -> None:
        """Keep a heartbeat that came from its host, to pass it on.

        Hosts of other domains that send here themselves do without a relay and send to
        all.
        """
        if domain == self.domain:
            self.own_domain[host] = data

    def take_echoes(
        self, relay: HostId, heartbeats: Iterable[bytes], now: float
    ) -> list[bytes]:
        """Note a bundle, and return its heartbeats without those of this host.

        :param now: local time in seconds
        """
        self.heard[relay] = now
        others = [data for data in heartbeats if data not in self.sent]
        if len(others) < len(heartbeats):
            self.echoed[relay] = now
        return others

    def collect_bundle(self, relay: HostId, hosts: dict[HostId, bytes]) -> None:
        """Keep the heartbeats of a bundle, to pass them on in this domain.

        :param hosts: heartbeats by host
        """
        peer = self.members.peers.get(relay)
        known = peer is not None and peer.heartbeat is not None
        if known and peer.heartbeat.failure_domain != self.domain:
            self.others.update(hosts)

    def drain(self, now: float) -> list[tuple[Peer, list[bytes]]]:
        """Return what to send to whom, and forget it.

        An empty bundle tells that the relay is there.

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
            if self.is_heard(relay, now) or (relay is not None and not own):
                peers = [self.members.peers[relay]]
            sent += [(peer, own) for peer in peers]
        return sent

    def _domains(self, now: float) -> dict[FailureDomainId, list[Peer]]:
        """Return the live peers, and those that leave, by failure domain."""
        domains: dict[FailureDomainId, list[Peer]] = {}
        for peer in self.members.heard(now):
            domains.setdefault(peer.heartbeat.failure_domain, []).append(peer)
        return domains


def bundle_bytes(members: int, hosts: int) -> float:
    """Return the bytes a second that a relay sends.

    :param members: hosts of its failure domain
    :param hosts: all hosts
    """
    return members * hosts * HEARTBEAT_BYTES / heartbeat_interval(hosts)


def split_bundle(heartbeats: Iterable[bytes]) -> list[list[bytes]]:
    """Return heartbeats in bundles of bounded size."""
    bundles: list[list[bytes]] = [[]]
    size = 0
    for heartbeat in heartbeats:
        if bundles[-1] and size + len(heartbeat) > BUNDLE_BYTES:
            bundles.append([])
            size = 0
        bundles[-1].append(heartbeat)
        size += len(heartbeat)
    return bundles
