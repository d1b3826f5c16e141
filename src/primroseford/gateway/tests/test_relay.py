"""Relays that forward heartbeats in a large fleet."""

from __future__ import annotations

import pytest

from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.relay import MAX_BUNDLE_BYTES
from primroseford.gateway.relay import RELAY_SECONDS
from primroseford.gateway.relay import RELAY_TIMEOUT_SECONDS
from primroseford.gateway.relay import bundle_bytes
from primroseford.gateway.relay import split_bundle
from primroseford.jobs.cancellations import FALLBACK_SHARE
from primroseford.platform.settings import DEFAULT_CANCEL_SECONDS
from primroseford.proof.heartbeats import DOMAINS
from primroseford.proof.heartbeats import PORT
from primroseford.proof.heartbeats import STRONG
from primroseford.proof.heartbeats import WEAK
from primroseford.proof.heartbeats import HeartbeatFleet


@pytest.mark.parametrize("loss", [0.0, 0.02])
def test_relays_forward_heartbeats_to_all_hosts(loss):
    """Guards against missing heartbeats, and a cost that grows by pairs of hosts."""
    fleet = HeartbeatFleet(60, loss)
    fleet.run(4.0)
    assert len(fleet.relays()) == len(DOMAINS)
    assert {name[0] for name in fleet.relays()} == set(DOMAINS)
    rates = fleet.datagrams_a_second(2.0)
    interval = heartbeat_interval(60)
    members = [rate for n, rate in rates.items() if n not in fleet.relays()]
    if not loss:
        assert max(members) <= 2 / interval
        assert fleet.max_heartbeat_age() <= interval + 3 * RELAY_SECONDS
    assert sum(members) / len(members) <= 0.1 * 59 / interval
    assert fleet.all_peers_live()


@pytest.mark.parametrize("hosts", [7, 54, 300])
def test_heartbeat_sent_at_once_comes_later_than_hosts_wait_for_a_scan(hosts):
    """Guards against a scan for cancellations by each host of a large fleet."""
    fleet = HeartbeatFleet(hosts)
    fleet.run(4.0)
    for name in (fleet.names[1], min(fleet.relays(), default=fleet.names[0])):
        service = fleet.services[name]
        service.send()
        sent = service.sequence
        fleet.run(FALLBACK_SHARE * DEFAULT_CANCEL_SECONDS)
        others = [fleet.services[other] for other in fleet.names if other != name]
        received = [s.gateway.members.peers[name].heartbeat.sequence for s in others]
        assert min(received) >= sent


@pytest.mark.parametrize("hosts", [5, 16])
def test_small_fleets_have_no_relays(hosts):
    """Guards against relays where direct heartbeats are faster."""
    fleet = HeartbeatFleet(hosts)
    fleet.run(2.0)
    assert not fleet.relays()
    assert fleet.max_heartbeat_age() <= 2 * heartbeat_interval(hosts)


def test_hosts_with_weak_links_do_not_relay():
    """Guards against a relay whose link is too slow for the bundles."""
    fleet = HeartbeatFleet(60, strong=False)
    assert WEAK < bundle_bytes(12, 60) * 4
    fleet.run(2.0)
    assert not fleet.relays()
    assert fleet.all_peers_live()


@pytest.mark.parametrize("count", [1, 5])
def test_heartbeats_continue_after_the_loss_of_relays(count):
    """Guards against hosts that count as lost because their relay is lost.

    Heartbeats sent to a lost relay are lost until its timeout has passed.
    """
    fleet = HeartbeatFleet(40)
    fleet.run(4.0)
    lost = sorted(fleet.relays())[:count]
    fleet.down.update(lost)
    fleet.run(RELAY_TIMEOUT_SECONDS + 2 * heartbeat_interval(40) + 2 * RELAY_SECONDS)
    assert fleet.max_heartbeat_age() <= RELAY_TIMEOUT_SECONDS + 2 * heartbeat_interval(
        40
    )
    fleet.run(3.0)
    assert fleet.all_peers_live()
    assert len(fleet.relays()) == len(DOMAINS)


@pytest.mark.parametrize("direction", ["to relay", "from relay", "both"])
def test_host_without_link_to_its_relay_stays_live(direction):
    """Guards against a host that counts as lost if only the link to its relay fails."""
    fleet = HeartbeatFleet(40)
    fleet.run(4.0)
    relay = sorted(fleet.relays())[0]
    host = next(n for n in fleet.names if n[0] == relay[0] and n != relay)
    if direction != "from relay":
        fleet.blocked_links.add((host, relay))
    if direction != "to relay":
        fleet.blocked_links.add((relay, host))
    fleet.run(4.0)
    others = [n for n in fleet.names if n not in (host, relay)]
    silence = fleet.services[others[0]].gateway.members.silence
    assert fleet.max_heartbeat_age(others) <= silence
    members = fleet.services[host].gateway.members
    heard = {peer.host for peer in members.live(fleet.clock())}
    assert heard >= set(others) - {host}


def test_failure_domains_rejoin_after_a_partition():
    """Guards against halves of a fleet that stay separate after a partition."""
    fleet = HeartbeatFleet(40)
    fleet.run(4.0)
    pairs = {
        (one, other)
        for one in fleet.names
        for other in fleet.names
        if (one[0] in "ab") != (other[0] in "ab")
    }
    fleet.blocked_links |= pairs
    fleet.run(6.0)
    members = fleet.services[fleet.names[0]].gateway.members
    assert {p.host[0] for p in members.live(fleet.clock())} == {"a", "b"}
    fleet.blocked_links.clear()
    fleet.run(3.0)
    assert fleet.all_peers_live()


def test_restarted_host_rejoins():
    """Guards against peers that ignore a new incarnation as out of order."""
    fleet = HeartbeatFleet(40)
    fleet.run(4.0)
    name = sorted(fleet.relays())[0]
    fleet.down.add(name)
    fleet.run(0.4)
    restarted = fleet.create(name, STRONG, incarnation="2")
    for other in fleet.names:
        restarted.gateway.members.add_from_store(
            other, f"{other}:{PORT}", fleet.clock()
        )
    fleet.services[name] = restarted
    fleet.down.clear()
    fleet.run(3.0)
    assert fleet.all_peers_live()
    for other, service in fleet.services.items():
        if other != name:
            assert service.gateway.members.peers[name].heartbeat.incarnation == "2"


@pytest.mark.parametrize(
    ("sizes", "counts"),
    [([], [0]), ([100] * 5, [5]), ([MAX_BUNDLE_BYTES // 2] * 5, [2, 2, 1])],
)
def test_bundles_fit_into_datagrams(sizes, counts):
    """Guards against bundles that exceed the size of a datagram."""
    parts = split_bundle(b"x" * size for size in sizes)
    assert [len(part) for part in parts] == counts
