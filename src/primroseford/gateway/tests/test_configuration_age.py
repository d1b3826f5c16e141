"""How long a confirmed change takes to be in force on all hosts."""

from __future__ import annotations

import pytest
import structlog

from primroseford.gateway.platform_watcher import BEHIND_SECONDS
from primroseford.gateway.platform_watcher import CONFIRMING_HOSTS
from primroseford.proof.virtual_time import run_in_virtual_time
from primroseford.proof.watcher_fleet import WatcherFleet
from primroseford.standins.fleet_objects import configuration

APPLY_SECONDS = {8: 2.0, 40: 3.0}
"""Time in which a change must be in force, by the number of hosts: from the users'
deployments of about that size."""
CONTACT_SECONDS = {8: 3.0, 40: 4.0}
"""Time after a reset of connections from which a host must be up to date again."""
LONGEST_SECONDS = 40.0
SETTLED_SECONDS = 3.0
NEWEST = 14


async def settled_fleet(hosts: int) -> WatcherFleet:
    """Return hosts whose watch calls have ended once, and began together again."""
    fleet = WatcherFleet(hosts)
    await fleet.start()
    await fleet.run(SETTLED_SECONDS)
    fleet.store.put("config", "main", configuration(2))
    fleet.store.drop_history()
    await fleet.run(SETTLED_SECONDS)
    return fleet


async def age_of_muted_change(hosts: int, fault: str) -> float:
    """Return how long a change that no waiting watch hears takes to be in force."""
    fleet = await settled_fleet(hosts)
    confirming = fleet.confirming()
    fleet.store.muted = True
    for version in (7, 11, NEWEST):
        await fleet.run(0.2)
        fleet.put_configuration(version)
    if fault == "killed":
        await fleet.kill(confirming)
    elif fault == "not answered":
        fleet.store.away.add(confirming)
    seconds = await fleet.seconds_until(
        lambda: fleet.has_configuration(NEWEST), LONGEST_SECONDS
    )
    await fleet.stop()
    return seconds


async def age_after_silence(hosts: int, changed: str) -> float:
    """Return how long a change takes once all open connections have gone silent."""
    fleet = await settled_fleet(hosts)
    fleet.store.silence()
    if changed == "configuration":
        fleet.put_configuration(NEWEST)
        seconds = await fleet.seconds_until(
            lambda: fleet.has_configuration(NEWEST), LONGEST_SECONDS
        )
    else:
        fleet.put_runner("draining")
        seconds = await fleet.seconds_until(fleet.knows_leaving_runner, LONGEST_SECONDS)
    await fleet.stop()
    return seconds


@pytest.mark.parametrize("hosts", [8, 40])
@pytest.mark.parametrize("fault", ["none", "killed", "not answered"])
def test_change_that_no_waiting_watch_hears(hosts, fault):
    """Guards against a confirmed change that no host knows of.

    Seen by the users on creamline-rounds-grown: all hosts' watch calls had begun
    together and waited on, so that none showed it.
    """
    seconds = run_in_virtual_time(age_of_muted_change(hosts, fault))
    assert seconds <= APPLY_SECONDS[hosts]


@pytest.mark.parametrize("hosts", [8, 40])
@pytest.mark.parametrize("changed", ["configuration", "runner"])
def test_change_after_all_open_connections_went_silent(hosts, changed):
    """Guards against silent watches that hide what was withdrawn."""
    bound = CONTACT_SECONDS[hosts]
    assert run_in_virtual_time(age_after_silence(hosts, changed)) <= bound


async def logged_ages(hosts: int) -> list[dict]:
    """Return the log lines of a configuration that only one host's watch shows."""
    fleet = await settled_fleet(hosts)
    fleet.store.muted = True
    with structlog.testing.capture_logs() as lines:
        fleet.put_configuration(NEWEST)
        await fleet.seconds_until(
            lambda: fleet.has_configuration(NEWEST), LONGEST_SECONDS
        )
    await fleet.stop()
    return lines


def test_log_tells_how_long_a_host_was_behind_its_peers():
    """Guards against a log that does not tell why a change came late."""
    lines = run_in_virtual_time(logged_ages(8))
    events = [line["event"] for line in lines]
    told = 8 - CONFIRMING_HOSTS
    assert events.count("peer knows a newer configuration") >= told
    applied = [line for line in lines if line["event"] == "configuration in force"]
    behind = [line["behind_ms"] for line in applied]
    assert behind.count(None) >= 1
    assert sum((ms or 0) >= BEHIND_SECONDS * 1000 for ms in behind) == told
