"""Time until a committed change is in force on all hosts."""

from __future__ import annotations

import pytest
import structlog

from primroseford.gateway.platform_watcher import CONFIRMING_HOSTS
from primroseford.gateway.platform_watcher import RELIST_DELAY_SECONDS
from primroseford.proof.virtual_time import run_in_virtual_time
from primroseford.proof.watcher_fleet import WatcherFleet
from primroseford.standins.fleet_objects import configuration

APPLY_SECONDS = {8: 2.0, 40: 3.0}
"""Time in which a change must be in force, by the number of hosts, as required in the
users' deployments of about that size."""
CONTACT_SECONDS = {8: 3.0, 40: 4.0}
"""Time after a reset of connections from which a host must be up to date again."""
LONGEST_SECONDS = 40.0
SETTLED_SECONDS = 3.0
NEWEST = 14


async def settled_fleet(hosts: int) -> WatcherFleet:
    """Return hosts whose watch calls ended together and were restarted together."""
    fleet = WatcherFleet(hosts)
    await fleet.start()
    await fleet.run(SETTLED_SECONDS)
    fleet.store.put("config", "main", configuration(2))
    fleet.store.drop_history()
    await fleet.run(SETTLED_SECONDS)
    return fleet


async def time_to_apply_muted_change(hosts: int, fault: str) -> float:
    """Return the time until a change is in force that no open watch returns."""
    fleet = await settled_fleet(hosts)
    confirming_host = fleet.confirming_host()
    fleet.store.muted = True
    for version in (7, 11, NEWEST):
        await fleet.run(0.2)
        fleet.put_configuration(version)
    if fault == "killed":
        await fleet.kill(confirming_host)
    elif fault == "not answered":
        fleet.store.unreachable_from.add(confirming_host)
    seconds = await fleet.seconds_until(
        lambda: fleet.has_configuration(NEWEST), LONGEST_SECONDS
    )
    await fleet.stop()
    return seconds


async def time_to_apply_with_dead_connections(hosts: int, changed: str) -> float:
    """Return the time until a change is in force if no open connection delivers it."""
    fleet = await settled_fleet(hosts)
    fleet.store.stall_open_calls()
    if changed == "configuration":
        fleet.put_configuration(NEWEST)
        seconds = await fleet.seconds_until(
            lambda: fleet.has_configuration(NEWEST), LONGEST_SECONDS
        )
    else:
        fleet.put_runner("draining")
        seconds = await fleet.seconds_until(fleet.sees_draining_runner, LONGEST_SECONDS)
    await fleet.stop()
    return seconds


@pytest.mark.parametrize("hosts", [8, 40])
@pytest.mark.parametrize("fault", ["none", "killed", "not answered"])
def test_change_that_no_open_watch_returns(hosts, fault):
    """Guards against a committed change that no host receives.

    Seen by the users on creamline-rounds-grown: the watch calls of all hosts had
    started together and stayed open, so that none returned the change.
    """
    seconds = run_in_virtual_time(time_to_apply_muted_change(hosts, fault))
    assert seconds <= APPLY_SECONDS[hosts]


@pytest.mark.parametrize("hosts", [8, 40])
@pytest.mark.parametrize("changed", ["configuration", "runner"])
def test_change_while_open_connections_deliver_nothing(hosts, changed):
    """Guards against dead connections that hide the withdrawal of a key or runner."""
    bound = CONTACT_SECONDS[hosts]
    assert (
        run_in_virtual_time(time_to_apply_with_dead_connections(hosts, changed))
        <= bound
    )


async def logged_ages(hosts: int) -> list[dict]:
    """Return the log of a change that only new watch calls return."""
    fleet = await settled_fleet(hosts)
    fleet.store.muted = True
    with structlog.testing.capture_logs() as lines:
        fleet.put_configuration(NEWEST)
        await fleet.seconds_until(
            lambda: fleet.has_configuration(NEWEST), LONGEST_SECONDS
        )
    await fleet.stop()
    return lines


def test_log_contains_the_delay_behind_peers():
    """Guards against a log without the reason for the delay of a change."""
    lines = run_in_virtual_time(logged_ages(8))
    events = [line["event"] for line in lines]
    informed = 8 - CONFIRMING_HOSTS
    assert events.count("peer knows a newer configuration") >= informed
    applied = [line for line in lines if line["event"] == "configuration in force"]
    behind = [line["behind_ms"] for line in applied]
    assert behind.count(None) >= 1
    assert sum((ms or 0) >= RELIST_DELAY_SECONDS * 1000 for ms in behind) == informed
