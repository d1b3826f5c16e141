from __future__ import annotations

from random import Random

import pytest

from primroseford.gateway.platform_watcher import MAX_WATCH_SECONDS
from primroseford.gateway.store_path import FAILURE_THRESHOLD
from primroseford.gateway.store_path import StorePath
from primroseford.platform.transport import RELAY_TIMEOUT_SECONDS
from primroseford.platform.transport import WATCH_MARGIN_SECONDS
from primroseford.standins.fleet_objects import configuration

DIRECT = "http://store"
PEERS = ["http://a", "http://b"]


def path_after(*outcomes: tuple[str, bool], peers=PEERS) -> StorePath:
    """Return a path that has recorded the given call results."""
    path = StorePath(DIRECT, None, lambda: peers, lambda: 0.0, Random(1))
    for base_url, good in outcomes:
        path.report(base_url, good)
    return path


@pytest.mark.parametrize(
    ("outcomes", "peers", "expected"),
    [
        ([], PEERS, [DIRECT]),
        ([(DIRECT, False)], PEERS, [DIRECT]),
        ([(DIRECT, False)] * FAILURE_THRESHOLD, PEERS, PEERS),
        ([(DIRECT, False)] * FAILURE_THRESHOLD, [], [DIRECT]),
        ([(DIRECT, False)] * FAILURE_THRESHOLD + [(DIRECT, True)], PEERS, [DIRECT]),
        ([(DIRECT, False), (DIRECT, True), (DIRECT, False)], PEERS, [DIRECT]),
    ],
)
def test_path_of_the_next_call(outcomes, peers, expected):
    """Guards against direct calls in a partition, and against relays without need."""
    assert path_after(*outcomes, peers=peers).base_url() in expected


def test_relay_that_fails_is_replaced():
    """Guards against a host that keeps using a relay that is partitioned as well."""
    path = path_after(*[(DIRECT, False)] * FAILURE_THRESHOLD)
    used = set()
    for _ in range(20):
        base_url = path.base_url()
        assert path.base_url() == base_url
        used.add(base_url)
        path.report(base_url, False)
    assert used == set(PEERS)


def test_relay_timeout_exceeds_the_watch_duration():
    """Guards against relayed watches that time out early and are restarted."""
    assert RELAY_TIMEOUT_SECONDS > MAX_WATCH_SECONDS + WATCH_MARGIN_SECONDS


async def test_partitioned_host_uses_a_relay(site):
    """Guards against stale tables on a host that the store rejects."""
    view = await site.add_view()
    partitioned = await site.add_host(platform=view.url)
    peers = partitioned.gateway.members
    await site.until(lambda: len(peers.live(partitioned.clock())) == 1)
    view.faults.down = True
    site.put("config", "main", configuration(5))
    await site.until(lambda: partitioned.gateway.tables.version == 5)
    view.faults.down = False
    path = partitioned.services[1]
    await site.until(lambda: path.reachable)
    assert path.base_url() == view.url
