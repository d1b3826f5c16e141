"""How long a confirmed change takes to be in force on all hosts."""

from __future__ import annotations

import pytest

from primroseford.proof.following import FollowingFleet
from primroseford.proof.virtual_time import run_in_virtual_time

APPLY_SECONDS = {8: 2.0, 40: 3.0}
"""Time in which a change must be in force, by the number of hosts: from the users'
deployments of about that size."""
STRETCH_SECONDS = 5.0
"""What an unstable store may add."""
LONGEST_SECONDS = 40.0
SETTLED_SECONDS = 3.0
NEWEST = 14


async def age_in_force(hosts: int, fault: str) -> float:
    """Return how long a change that no waiting watch hears takes to be in force."""
    fleet = FollowingFleet(hosts)
    await fleet.start()
    await fleet.run(SETTLED_SECONDS)
    fleet.store.put(2)
    fleet.store.drop_history()
    # All watch calls have ended, and begin together again.
    await fleet.run(SETTLED_SECONDS)
    confirming = fleet.confirming()
    fleet.store.muted = True
    for version in (7, 11, NEWEST):
        await fleet.run(0.2)
        fleet.put(version)
    if fault == "killed":
        await fleet.kill(confirming)
    elif fault == "not answered":
        fleet.store.away.add(confirming)
    seconds = await fleet.seconds_until(NEWEST, LONGEST_SECONDS)
    await fleet.stop()
    return seconds


@pytest.mark.parametrize("hosts", [8, 40])
@pytest.mark.parametrize("fault", ["none", "killed", "not answered"])
def test_change_that_no_waiting_watch_hears(hosts, fault):
    """Guards against a confirmed change that no host knows of.

    Seen by the users on creamline-rounds-grown: all hosts' watch calls had begun
    together and waited on, so that none showed it.
    """
    bound = APPLY_SECONDS[hosts] + (0.0 if fault == "none" else STRETCH_SECONDS)
    assert run_in_virtual_time(age_in_force(hosts, fault)) <= bound
