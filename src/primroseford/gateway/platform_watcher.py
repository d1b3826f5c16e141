"""Follows the configuration and the runner list in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.placement import MAX_DIRECT_HOSTS
from primroseford.gateway.rendezvous import ranked
from primroseford.ids import Version
from primroseford.platform.configuration import CONFIGURATION_KIND
from primroseford.platform.configuration import CONFIGURATION_NAME
from primroseford.platform.configuration import decode_tables
from primroseford.platform.objects import EventType
from primroseford.platform.reflector import create_reflector
from primroseford.platform.runner_list import RUNNER_KIND
from primroseford.platform.runner_list import decode_runner

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.state import Gateway
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import ObjectList
    from primroseford.platform.view import Delta

    ReadPeers = Callable[[], Awaitable[tuple[dict[str, ObjectList], float] | None]]

BACKOFF_SECONDS = 0.8
"""Longest pause between two tries to follow: a configuration must be in force within
seconds of the platform's return."""
WATCH_SECONDS = 5.0
"""Wait of one watch call in a small fleet."""
LONGEST_WATCH_SECONDS = 29.0
"""Longest wait of one watch call; the platform allows 30 s."""
FLEET_WATCH_SECONDS = 0.6
"""Time between two watch calls of the fleet. A change that waiting
watches miss, on silent connections or before they are cut, shows at the next call of
any host, whose heartbeats tell the others of it; together well within the time in which
a configuration must be in force."""
RUNNERS_CHECK_SECONDS = 1.2
"""Time between two watch calls of the fleet for the runner list, whose changes need
less haste: a runner that leaves serves on for seconds. Twice that of the configuration,
so that calls on connections that went silent together do not end together."""
CONFIRMING_HOSTS = 2
"""Hosts with short watch calls: the loss of one is noticed after a second only, which
is too long for a change that no other watch shows."""
CONFIRMING_DUTY = "configuration"
"""Name by which the hosts agree on those whose watch calls are this short. The
others' calls cannot be relied on to be spread: an outage ends all of them at once."""
RUNNER_PAUSE_SECONDS = 0.4
"""Pause after changes of the runner list. Runners start and leave in numbers, each with
a change that would wake every host."""
LONGEST_RUNNER_PAUSE_SECONDS = 0.8
"""The same in a large fleet, where each change costs more: a quarter of the time in
which a leaving runner must get nothing new."""
BEHIND_SECONDS = 0.6
"""Time after which a peer's newer version means that the own watch hides changes: that
in which a watch call shows them where nothing is wrong, with room for a busy host."""
PEERS_SECONDS = 0.8
"""Time after which a host that has no configuration asks its peers: the first call to a
platform that works takes some ms, and heartbeats come every 0.3 s."""
EXPIRE_SECONDS = 0.2
"""Time between two looks for runners whose time to return is over."""
NO_ANSWER = "no answer to another watch"
OUTAGE_SECONDS = 2.0
"""Age of the fleet's last word of the platform from which it counts as away: a few of
the confirming hosts' watch calls, and the heartbeats that tell of them."""

log = structlog.get_logger()


class PlatformWatcher(Service):
    """Keeps the gateway's tables and runners up to date.

    :param read_peers: returns what a peer follows, by kind, and the age in seconds of
        the platform's last word on its configuration
    """

    def __init__(
        self, gateway: Gateway, client: PlatformClient, read_peers: ReadPeers
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.read_peers = read_peers
        self.tables = create_reflector(
            client,
            CONFIGURATION_KIND,
            self.take_tables,
            purpose="configuration",
            clock=gateway.clock,
            on_contact=self.tables_contact,
            backoff_max=BACKOFF_SECONDS,
            watch_seconds=self.watch_wait,
        )
        self.runners = create_reflector(
            client,
            RUNNER_KIND,
            self.take_runners,
            purpose="runners",
            clock=gateway.clock,
            on_contact=self.runners_contact,
            backoff_max=BACKOFF_SECONDS,
            watch_seconds=self.runners_wait,
            pause_seconds=self.runner_pause,
        )

        self.confirming = False
        self.silent = False
        self.told = Version(0)
        self.told_at: float | None = None
        gateway.on_heartbeat = self.compare_versions

    def watch_wait(self) -> float:
        """Return how long the next watch call waits for a change, in seconds."""
        gateway = self.gateway
        hosts = len(gateway.members.hosts(gateway.clock()))
        self.confirming = self.is_confirming()
        return choose_watch_wait(hosts, gateway.random.random(), self.confirming)

    def runners_wait(self) -> float:
        """Return how long the next watch call for runners waits, in seconds."""
        wait = self.watch_wait()
        return RUNNERS_CHECK_SECONDS if self.confirming else wait

    def is_confirming(self) -> bool:
        """Return whether this host is one of those whose watch calls are short."""
        members = self.gateway.members
        hosts = [members.own, *members.reaching_store(self.gateway.clock())]
        return members.own in ranked(CONFIRMING_DUTY, hosts, str, CONFIRMING_HOSTS)

    def take_duty(self) -> None:
        """End a long watch call once this host has to make short ones."""
        if self.confirming or not self.is_confirming():
            return
        self.confirming = True
        for reflector in (self.tables, self.runners):
            reflector.restart_watch("this host confirms")

    def runner_pause(self) -> float:
        """Return the pause after changes of the runner list, in seconds."""
        hosts = len(self.gateway.members.hosts(self.gateway.clock()))
        pause = RUNNER_PAUSE_SECONDS * hosts / MAX_DIRECT_HOSTS
        return min(LONGEST_RUNNER_PAUSE_SECONDS, max(RUNNER_PAUSE_SECONDS, pause))

    def compare_versions(self, heartbeat: Heartbeat) -> None:
        """Read again what another host knows a newer version of.

        A watch on a connection that went silent shows nothing until its time is over.
        """
        tables = self.gateway.tables
        if tables is not None and heartbeat.configuration > tables.version:
            self.note_newer(heartbeat)
            self.tables.relist_if_behind(BEHIND_SECONDS)
        if heartbeat.runner_list > self.runners.view.version:
            # During a pause the own watch shows nothing.
            self.runners.relist_if_behind(self.runner_pause() + BEHIND_SECONDS)

    def catch_up(self) -> None:
        """List what a peer told a newer version of, though the peer tells no more."""
        if self.tables.behind_since is not None:
            self.tables.relist_if_behind(BEHIND_SECONDS)
        if self.runners.behind_since is not None:
            self.runners.relist_if_behind(self.runner_pause() + BEHIND_SECONDS)

    def note_newer(self, heartbeat: Heartbeat) -> None:
        """Note since when a peer knows a newer configuration than this host."""
        if heartbeat.configuration <= self.told:
            return
        self.told = Version(heartbeat.configuration)
        if self.told_at is None:
            self.told_at = self.gateway.clock()
        log.info(
            "peer knows a newer configuration",
            peer=heartbeat.host,
            version=heartbeat.configuration,
            own=self.gateway.tables.version,
        )

    def behind_ms(self, version: Version) -> int | None:
        """Return for how long a peer has known a newer configuration than this host.

        :param version: configuration that is in force now
        :returns: nothing if no peer has told of one
        """
        since = self.told_at
        if version >= self.told:
            self.told_at = None
        return None if since is None else round((self.gateway.clock() - since) * 1000)

    async def on_start(self) -> None:
        """Start to follow."""
        await self.tables.start()
        await self.runners.start()

    async def on_stop(self) -> None:
        """Stop to follow."""
        await self.tables.stop()
        await self.runners.stop()

    def tables_contact(self, good: bool) -> None:
        """Note whether the configuration can be followed."""
        if good:
            self.gateway.confirmed_at = self.gateway.clock()
        else:
            # What harms one connection mostly harms all; two calls that fail in a row
            # would also count as a store that does not answer.
            self.runners.restart_watch(NO_ANSWER)

    def runners_contact(self, good: bool) -> None:
        """Note a loss or return of the platform."""
        reachable = self.runners.reachable
        if good and not reachable:
            self.gateway.runner_list.platform_returned(self.gateway.clock())
            log.info("platform reachable")
        elif reachable and not good:
            log.warning(
                "platform not reachable", runners=len(self.runners.view.objects)
            )
        if not good:
            self.tables.restart_watch(NO_ANSWER)

    def note_silence(self) -> None:
        """Note a return of the platform that no own call has shown.

        A watch call of a large fleet can wait longer than an outage lasts.
        """
        was_silent, self.silent = self.silent, self.is_silent()
        if was_silent and not self.silent:
            self.gateway.runner_list.platform_returned(self.gateway.clock())

    def is_silent(self) -> bool:
        """Return whether no host has lately had a word of the platform."""
        return self.gateway.clock() - self.gateway.confirmed_at > OUTAGE_SECONDS

    def take_tables(self, delta: Delta) -> None:
        """Put a new configuration in force."""
        gateway = self.gateway
        gateway.confirmed_at = gateway.clock()
        for event in delta.events:
            item = event.object
            if item is None or item.name != CONFIGURATION_NAME:
                continue
            if event.type is EventType.DELETED:
                continue
            try:
                tables = decode_tables(item.spec)
            except PrimrosefordError as error:
                log.error("configuration not readable", reason=str(error))
                continue
            if gateway.tables and tables.version <= gateway.tables.version:
                continue
            gateway.tables = tables
            log.info(
                "configuration in force",
                version=tables.version,
                revision=item.version,
                routes=len(tables.routes),
                organisations=len(tables.organisations),
                behind_ms=self.behind_ms(tables.version),
            )

    def take_runners(self, delta: Delta) -> None:
        """Take a step of the runner list."""
        present, removed = [], []
        for event in delta.events:
            if event.object is None:
                continue
            entry = decode_runner(event.object)
            if event.type is EventType.DELETED or entry is None:
                removed.append(event.object.name)
            else:
                present.append(entry)
            log.info(
                "runner entry",
                runner=event.object.name,
                change=event.type.value,
                stage=entry.stage.value if entry else None,
                pool=entry.pool if entry else None,
                revision=delta.version,
            )
        gateway = self.gateway
        if self.is_silent():
            # The first word of the platform after an outage: entries that vanished with
            # it may be those of live runners.
            gateway.runner_list.platform_returned(gateway.clock())
        versions = [event.object.version for event in delta.events if event.object]
        gateway.runner_list_version = max(versions + [gateway.runner_list_version])
        gateway.runner_list.update(present, removed, gateway.clock())
        gateway.runners_known = True
        gateway.allocator.set_runners(gateway.runner_list.entries)

    @Service.task
    async def start_from_peers(self) -> None:
        """Take what a peer follows if the platform does not answer at the start."""
        gateway = self.gateway
        while not self.should_stop:
            await self.sleep(PEERS_SECONDS)
            if self.tables.view.version and self.runners.view.version:
                return
            found = await self.read_peers()
            if found is None:
                continue
            lists, age = found
            confirmed_at = max(gateway.confirmed_at, gateway.clock() - age)
            self.tables.load_initial_list(lists[self.tables.kind])
            self.runners.load_initial_list(lists[self.runners.kind])
            gateway.confirmed_at = confirmed_at
            log.warning(
                "started from a peer",
                configuration=gateway.tables.version if gateway.tables else None,
                confirmed_ms_ago=round(age * 1000),
                runners=len(gateway.allocator.runners),
            )

    @Service.task
    async def expire_runners(self) -> None:
        """Drop runners that did not return; look for duties and outages."""
        await run_periodically(self, lambda: EXPIRE_SECONDS, self._expire)

    def _expire(self) -> None:
        self.take_duty()
        self.catch_up()
        self.note_silence()
        gone = self.gateway.runner_list.expire(self.gateway.clock())
        if gone:
            log.info("runners did not return", runners=gone)
            self.gateway.allocator.set_runners(self.gateway.runner_list.entries)


def choose_watch_wait(hosts: int, fraction: float, confirming: bool) -> float:
    """Return how long a watch call waits, in seconds.

    :param hosts: number of live hosts, this one included
    :param fraction: random number from 0 to 1, which spreads the calls of the hosts
    :param confirming: whether the others rely on this host's calls
    """
    if confirming:
        return FLEET_WATCH_SECONDS
    longest = min(LONGEST_WATCH_SECONDS, FLEET_WATCH_SECONDS * hosts)
    return max(WATCH_SECONDS, longest * (1 + fraction) / 2)
