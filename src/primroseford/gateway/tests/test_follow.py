from __future__ import annotations

import pytest

from primroseford.gateway.follow import Followers
from primroseford.gateway.tests.test_forwarding import duty
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry


@pytest.mark.parametrize("kind", ["config", "servers"])
async def test_change_that_a_silent_watch_hides(rig, kind):
    """Guards against a host that stays behind while its connection is silent."""
    view = await rig.add_view()
    behind = await rig.add_host(platform=view.url)
    await rig.until(lambda: len(behind.gateway.members.live(behind.clock())) == 1)
    reflector = duty(behind, Followers).tables
    lists = view.state.calls["GET", kind]
    view.faults.hold_watches = True
    if kind == "config":
        rig.put("config", "main", configuration(7))
        await rig.until(lambda: behind.gateway.tables.version == 7)
    else:
        rig.put("servers", "i-3", runner_entry("127.0.0.1:9"))
        await rig.until(lambda: "i-3" in behind.gateway.places.runners)
        reflector = duty(behind, Followers).runners
    assert view.state.calls["GET", kind] == lists + 1
    assert reflector.failures <= 1


async def test_heartbeats_of_hosts_that_are_up_to_date_cause_no_lists(rig):
    """Guards against hosts that make each other list without end."""
    other = await rig.add_host()
    await rig.until(lambda: len(other.gateway.members.live(other.clock())) == 1)
    rig.put("servers", "i-3", runner_entry("127.0.0.1:9"))
    rig.platform.state.delete("servers", "i-3", None)
    rig.platform.announce()
    await rig.until(lambda: "i-3" not in other.gateway.places.runners)
    lists = rig.platform.state.calls["GET", "servers"]
    heard = other.gateway.members.peers["host-0"].last.sequence
    await rig.until(
        lambda: other.gateway.members.peers["host-0"].last.sequence > heard + 5
    )
    assert rig.platform.state.calls["GET", "servers"] == lists
