from __future__ import annotations

from random import Random

import pytest

from primroseford.gateway.platform_watcher import LONGEST_WATCH_SECONDS
from primroseford.gateway.store_path import FAILURES
from primroseford.gateway.store_path import StorePath
from primroseford.platform.transport import RELAY_TIMEOUT_SECONDS
from primroseford.platform.transport import WATCH_MARGIN_SECONDS
from primroseford.standins.fleet_objects import configuration

DIRECT = "http://store"
PEERS = ["http://a", "http://b"]


def path_after(*outcomes: tuple[str, bool], peers=PEERS) -> StorePath:
    """Return a path after some calls."""
    path = StorePath(DIRECT, None, lambda: peers, lambda: 0.0, Random(1))
    for base_url, good in outcomes:
        path.report(base_url, good)
    return path


@pytest.mark.parametrize(
    ("outcomes", "peers", "ways"),
    [
        ([], PEERS, [DIRECT]),
        ([(DIRECT, False)], PEERS, [DIRECT]),
        ([(DIRECT, False)] * FAILURES, PEERS, PEERS),
        ([(DIRECT, False)] * FAILURES, [], [DIRECT]),
        ([(DIRECT, False)] * FAILURES + [(DIRECT, True)], PEERS, [DIRECT]),
        ([(DIRECT, False), (DIRECT, True), (DIRECT, False)], PEERS, [DIRECT]),
    ],
)
def test_way_of_the_next_call(outcomes, peers, ways):
    """Guards against calls that go on into a cut, and relays without need."""
    assert path_after(*outcomes, peers=peers).base_url() in ways


def test_relay_that_fails_is_replaced():
    """Guards against a host that holds on to a peer that is cut off as well."""
    path = path_after(*[(DIRECT, False)] * FAILURES)
    used = set()
    for _ in range(20):
        way = path.base_url()
        assert path.base_url() == way
        used.add(way)
        path.report(way, False)
    assert used == set(PEERS)


def test_relayed_watch_may_wait():
    """Guards against relayed watches that end before their time and are made anew."""
    assert RELAY_TIMEOUT_SECONDS > LONGEST_WATCH_SECONDS + WATCH_MARGIN_SECONDS


async def test_host_that_is_cut_off_uses_a_peer(site):
    """Guards against stale tables and lost jobs on a host that the store rejects."""
    view = await site.add_view()
    cut = await site.add_host(platform=view.url)
    peers = cut.gateway.members
    await site.until(lambda: len(peers.live(cut.clock())) == 1)
    view.faults.down = True
    site.put("config", "main", configuration(5))
    await site.until(lambda: cut.gateway.tables.version == 5)
    view.faults.down = False
    path = cut.services[1]
    await site.until(lambda: path.reachable)
    assert path.base_url() == view.url
