"""Random faults of the store and of hosts while configuration and runners change."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from primroseford.proof.virtual_time import run_in_virtual_time
from primroseford.proof.watcher_fleet import WatcherFleet

HOSTS = 8
APPLY_SECONDS = 2.0
"""Time in which a change must be in force in the users' smaller deployments."""
CONTACT_SECONDS = 3.0
"""Time without a fault after which a host must be up to date there."""
DAY_SECONDS = 30.0
LOOK_SECONDS = 0.1
MOST_DOWN = 3
"""Maximum number of hosts that are down at the same time."""
RESTARTED_SHARE = 0.8
"""Fraction of the killed hosts that restart."""
SEEDS = int(os.environ.get("PRIMROSEFORD_AGE_SEEDS", "12"))
"""Number of simulated days; the variable sets a higher number for manual runs."""


@dataclass
class Day:
    """One simulated day of faults, and the deadlines of the changes.

    :param troubled: time of the latest fault, by host
    :param due: time from which each version must be in force
    :param listed: time from which each revision of the runner list must be known
    """

    fleet: WatcherFleet
    draw: Random
    troubled: dict[str, float] = field(default_factory=dict)
    due: list[tuple[int, float]] = field(default_factory=list)
    listed: list[tuple[int, float]] = field(default_factory=list)
    version: int = 2
    draining: bool = False
    muted_until: float = 0.0
    back_at: dict[str, float] = field(default_factory=dict)
    starts_at: dict[str, float] = field(default_factory=dict)

    @property
    def now(self) -> float:
        """Local time in seconds."""
        return self.fleet.heartbeats.clock()

    async def play(self) -> None:
        """Inject faults and changes until the day is over."""
        steps = {
            self.change: 8,
            self.change_runner: 8,
            self.mute: 2,
            self.stall_open_calls: 2,
            self.turn_away: 3,
            self.kill: 2,
        }
        end = self.now + DAY_SECONDS
        while self.now < end:
            if self.draw.random() < LOOK_SECONDS:
                await self.draw.choices([*steps], [*steps.values()])[0]()
            await self.fleet.run(LOOK_SECONDS)
            await self.end_faults()
            self.check()

    async def change(self) -> None:
        """Change the configuration, once or a few times in a row."""
        for _ in range(self.draw.choice((1, 1, 3))):
            self.version += self.draw.randint(1, 4)
            self.fleet.put_configuration(self.version)
            self.due.append((self.version, self.now + APPLY_SECONDS))

    async def change_runner(self) -> None:
        """Mark a runner as draining, or as ready again."""
        self.draining = not self.draining
        self.fleet.put_runner("draining" if self.draining else "ready")
        revision = self.fleet.store.state.version
        self.listed.append((revision, self.now + APPLY_SECONDS))

    async def mute(self) -> None:
        """Have open watches return no changes; the history is dropped at the end."""
        self.fleet.store.muted = True
        self.muted_until = self.now + self.draw.uniform(0.5, 5.0)

    async def stall_open_calls(self) -> None:
        """Stop the delivery of packets on all open connections."""
        self.fleet.store.stall_open_calls()
        self.trouble_all()

    async def turn_away(self) -> None:
        """Make the store unreachable from some hosts for a time."""
        hosts = self.draw.sample(sorted(self.fleet.live()), self.draw.randint(1, 3))
        for host in hosts:
            self.fleet.store.unreachable_from.add(host)
            self.back_at[host] = self.now + self.draw.uniform(0.5, 6.0)

    async def kill(self) -> None:
        """Kill a host, which either restarts later or stays down."""
        if len(self.fleet.heartbeats.down) < MOST_DOWN:
            host = self.draw.choice(sorted(self.fleet.live()))
            await self.fleet.kill(host)
            if self.draw.random() < RESTARTED_SHARE:
                self.starts_at[host] = self.now + self.draw.uniform(0.5, 4.0)

    async def end_faults(self) -> None:
        """End the faults that are due, and record the hosts affected by the others."""
        for host, at in list(self.back_at.items()):
            self.troubled[host] = self.now
            if at <= self.now:
                del self.back_at[host]
                self.fleet.store.unreachable_from.discard(host)
        for host, at in list(self.starts_at.items()):
            if at <= self.now:
                del self.starts_at[host]
                self.troubled[host] = self.now
                await self.fleet.restart(host)
        if self.fleet.store.muted:
            self.trouble_all()
            if self.muted_until <= self.now:
                self.fleet.store.drop_history()

    def trouble_all(self) -> None:
        """Record a fault of all hosts."""
        self.troubled |= dict.fromkeys(self.fleet.watchers, self.now)

    def check(self) -> None:
        """Check that each host without a recent fault has all changes that are due."""
        known = {n: f for n, f in self.fleet.live().items() if f.gateway.tables}
        version = max((v for v, due in self.due if due <= self.now), default=0)
        revision = max((v for v, due in self.listed if due <= self.now), default=0)
        late = {
            name: (watchers.gateway.tables.version, watchers.runners.view.version)
            for name, watchers in known.items()
            if self.now - self.troubled.get(name, 0.0) > CONTACT_SECONDS
            and (
                watchers.gateway.tables.version < version
                or watchers.runners.view.version < revision
            )
        }
        unready = {
            name
            for name in self.fleet.live().keys() - known.keys()
            if self.now - self.troubled.get(name, 0.0) > CONTACT_SECONDS
        }
        assert not unready, f"{unready} at {self.now:.2f} s"
        assert not late, f"{late} at {self.now:.2f} s, wanted {version, revision}"


async def play(seed: int) -> None:
    """Simulate one day."""
    random.seed(seed)
    fleet = WatcherFleet(HOSTS)
    await fleet.start()
    await fleet.run(CONTACT_SECONDS)
    await Day(fleet, Random(seed)).play()
    await fleet.stop()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_confirmed_changes_are_in_force_in_time(seed):
    """Guards against a host with an old configuration after overlapping faults."""
    run_in_virtual_time(play(seed))
