"""Watches the configuration and the runner list in the platform's store."""

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
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import ObjectList
    from primroseford.platform.view import Delta

    ReadPeers = Callable[[], Awaitable[tuple[dict[str, ObjectList], float] | None]]

MAX_BACKOFF_SECONDS = 0.8
"""Longest backoff between attempts to list or watch. A configuration must be in force
within seconds once the platform is reachable again."""
MIN_WATCH_SECONDS = 5.0
"""Duration of one watch call in a small fleet."""
MAX_WATCH_SECONDS = 29.0
"""Longest duration of one watch call; the platform allows 30 s."""
CONFIRMING_WATCH_SECONDS = 0.6
"""Duration of a watch call of a confirming host, and so the longest time between two
watch calls of the fleet. Open watches miss a change if their connections no longer
deliver packets. The next watch call of any host returns the change, and that host's
heartbeats report the new version to the others. The total delay is well below the time
in which a configuration must be in force."""
CONFIRMING_RUNNERS_WATCH_SECONDS = 1.2
"""The same for the runner list, whose changes are less urgent: a draining runner keeps
serving for seconds. It is twice the time for the configuration, so that two calls whose
connections stopped delivering packets at once do not time out at once."""
CONFIRMING_HOSTS = 2
"""Number of hosts with short watch calls. With one, its loss would be detected after a
second only, which is too late for a change that no other watch returns."""
CONFIRMING_HASH_KEY = "configuration"
"""Key of the rendezvous hash that selects the hosts with short watch calls. The calls
of the other hosts may not be spread in time: an outage ends all of them at once."""
MIN_RUNNER_PAUSE_SECONDS = 0.4
"""Pause after changes of the runner list. Many runners start and leave together, and
each change would wake every host."""
MAX_RUNNER_PAUSE_SECONDS = 0.8
"""Longest such pause, used in a large fleet, where each change costs more. It is a
quarter of the time after which a draining runner must get no new requests."""
RELIST_DELAY_SECONDS = 0.6
"""Time for which a peer may report a newer version before this host lists again. A
working watch returns the change within this time, also on a busy host."""
PEER_BOOTSTRAP_SECONDS = 0.8
"""Time after which a host without a configuration requests it from its peers. The first
call to a reachable platform takes some ms, and heartbeats are sent every 0.3 s."""
EXPIRE_INTERVAL_SECONDS = 0.2
"""Time between two checks for runners that have not returned in time."""
NO_ANSWER = "no answer to another watch"
OUTAGE_SECONDS = 2.0
"""Age of the last confirmation by the platform, at any host, from which the platform
counts as unreachable. It covers a few watch calls of the confirming hosts and the
heartbeats that report them."""

log = structlog.get_logger()


class PlatformWatcher(Service):
    """Keeps the gateway's tables and runners up to date.

    :param read_peers: returns the lists of a peer by kind, and the age in seconds of
        the last confirmation of its configuration by the platform
    :ivar confirming: whether this host makes short watch calls
    :ivar followed: reflectors whose watch calls are short on a confirming host
    :ivar platform_silent: whether the last check found the platform unreachable
    :ivar reported_version: newest configuration that a peer has reported
    :ivar reported_at: local time of the first report of a version that is not yet in
        force here
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
            self.apply_tables,
            purpose="configuration",
            clock=gateway.clock,
            on_result=self.on_tables_contact,
            backoff_max=MAX_BACKOFF_SECONDS,
            watch_seconds=self.watch_duration,
        )
        self.runners = create_reflector(
            client,
            RUNNER_KIND,
            self.apply_runners,
            purpose="runners",
            clock=gateway.clock,
            on_result=self.on_runners_contact,
            backoff_max=MAX_BACKOFF_SECONDS,
            watch_seconds=self.runners_watch_duration,
            pause_seconds=self.runner_pause,
            keeps_events=True,
        )

        self.followed = [self.tables, self.runners]
        self.confirming = False
        self.platform_silent = False
        self.reported_version = Version(0)
        self.reported_at: float | None = None
        gateway.on_heartbeat = self.compare_versions
        gateway.refresh_runner_list = self.runners.refresh
        gateway.read_runner_versions = self.read_runner_versions

    def watch_duration(self) -> float:
        """Return the duration of the next watch call in seconds."""
        gateway = self.gateway
        hosts = len(gateway.members.hosts(gateway.clock()))
        self.confirming = self.is_confirming()
        return choose_watch_duration(hosts, gateway.random.random(), self.confirming)

    def runners_watch_duration(self) -> float:
        """Return the duration of the next watch call for runners in seconds."""
        wait = self.watch_duration()
        return CONFIRMING_RUNNERS_WATCH_SECONDS if self.confirming else wait

    def is_confirming(self) -> bool:
        """Return whether this host is one of those that make short watch calls."""
        members = self.gateway.members
        hosts = [members.own, *members.reaching_store(self.gateway.clock())]
        return members.own in ranked(CONFIRMING_HASH_KEY, hosts, str, CONFIRMING_HOSTS)

    def start_confirming(self) -> None:
        """End the long watch calls when this host becomes a confirming host."""
        if self.confirming or not self.is_confirming():
            return
        self.confirming = True
        for reflector in self.followed:
            reflector.restart_watch("this host confirms")

    def runner_pause(self) -> float:
        """Return the pause after changes of the runner list in seconds."""
        hosts = len(self.gateway.members.hosts(self.gateway.clock()))
        pause = MIN_RUNNER_PAUSE_SECONDS * hosts / MAX_DIRECT_HOSTS
        return min(MAX_RUNNER_PAUSE_SECONDS, max(MIN_RUNNER_PAUSE_SECONDS, pause))

    def compare_versions(self, heartbeat: Heartbeat) -> None:
        """List again if another host reports a newer version.

        A watch whose connection no longer delivers packets returns nothing until it
        times out.
        """
        tables = self.gateway.tables
        if tables is not None and heartbeat.configuration > tables.version:
            self.record_newer_version(heartbeat)
            self.tables.relist_if_behind(RELIST_DELAY_SECONDS)
        if heartbeat.runner_list > self.runners.view.version:
            # This host sees no changes during its pause.
            self.runners.relist_if_behind(self.runner_pause() + RELIST_DELAY_SECONDS)

    def relist_if_behind(self) -> None:
        """List again after a report of a newer version, even if that peer is lost."""
        if self.tables.behind_since is not None:
            self.tables.relist_if_behind(RELIST_DELAY_SECONDS)
        if self.runners.behind_since is not None:
            self.runners.relist_if_behind(self.runner_pause() + RELIST_DELAY_SECONDS)

    def record_newer_version(self, heartbeat: Heartbeat) -> None:
        """Record when a peer first reported a newer configuration than this host's."""
        if heartbeat.configuration <= self.reported_version:
            return
        self.reported_version = Version(heartbeat.configuration)
        if self.reported_at is None:
            self.reported_at = self.gateway.clock()
        log.info(
            "peer knows a newer configuration",
            peer=heartbeat.host,
            version=heartbeat.configuration,
            own=self.gateway.tables.version,
        )

    def behind_ms(self, version: Version) -> int | None:
        """Return the time since a peer first reported a newer configuration.

        :param version: configuration that is in force now
        :returns: time in ms; None if no peer has reported one
        """
        since = self.reported_at
        if version >= self.reported_version:
            self.reported_at = None
        return None if since is None else round((self.gateway.clock() - since) * 1000)

    async def on_start(self) -> None:
        """Start the watches."""
        await self.tables.start()
        await self.runners.start()

    async def on_stop(self) -> None:
        """Stop the watches."""
        await self.tables.stop()
        await self.runners.stop()

    def on_tables_contact(self, good: bool) -> None:
        """Handle the result of a call for the configuration.

        :param good: whether the platform answered
        """
        if good:
            self.gateway.confirmed_at = self.gateway.clock()
        else:
            # A fault of one connection mostly affects all of them. If the other watch
            # failed as well, two failures in a row would mark the store as unreachable.
            self.runners.restart_watch(NO_ANSWER)

    def on_runners_contact(self, good: bool) -> None:
        """Handle the result of a call for the runner list.

        :param good: whether the platform answered
        """
        reachable = self.runners.reachable
        if good:
            self.gateway.runner_list_confirmed_at = self.gateway.clock()
        if good and not reachable:
            self.gateway.runner_list.record_outage_end(self.gateway.clock())
            log.info("platform reachable")
        elif reachable and not good:
            log.warning(
                "platform not reachable", runners=len(self.runners.view.objects)
            )
        if not good:
            self.tables.restart_watch(NO_ANSWER)

    def detect_platform_return(self) -> None:
        """Detect the end of an outage in which no call of this host failed.

        In a large fleet a watch call can last longer than an outage.
        """
        was_platform_silent, self.platform_silent = (
            self.platform_silent,
            self.is_platform_silent(),
        )
        if was_platform_silent and not self.platform_silent:
            self.gateway.runner_list.record_outage_end(self.gateway.clock())

    def is_platform_silent(self) -> bool:
        """Return whether the platform has confirmed nothing to any host lately."""
        return self.gateway.clock() - self.gateway.confirmed_at > OUTAGE_SECONDS

    def apply_tables(self, delta: Delta) -> None:
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
            gateway.configure(tables)
            log.info(
                "configuration in force",
                version=tables.version,
                revision=item.version,
                routes=len(tables.routes),
                organisations=len(tables.organisations),
                behind_ms=self.behind_ms(tables.version),
            )

    def apply_runners(self, delta: Delta) -> None:
        """Apply changes of the runner list."""
        gateway = self.gateway
        present, removed, unusable = {}, set(), set()
        for event in delta.events:
            if event.object is None:
                continue
            name = event.object.name
            entry = decode_runner(event.object)
            present.pop(name, None)
            removed.discard(name)
            unusable.discard(name)
            if event.type is EventType.DELETED:
                removed.add(name)
            elif entry is None:
                unusable.add(name)
            else:
                present[name] = entry
                gateway.allocator.versions.note(entry)
            log.info(
                "runner entry",
                runner=name,
                change=event.type.value,
                stage=entry.stage.value if entry else None,
                pool=entry.pool if entry else None,
                version=entry.version if entry else None,
                born=entry.key.born if entry else None,
                revision=delta.version,
            )
        if self.is_platform_silent():
            # These are the first changes after an outage. Entries that are removed in
            # them may belong to live runners.
            gateway.runner_list.record_outage_end(gateway.clock())
        gateway.allocator.versions.follow(delta.version, self.runners.gap_at)
        if gateway.runners_known and not delta.events:
            return
        versions = [event.object.version for event in delta.events if event.object]
        gateway.runner_list_version = max(versions + [gateway.runner_list_version])
        gateway.runner_list.update(present.values(), removed, gateway.clock())
        for name in unusable:
            # Such an entry has not expired, so it is not kept after an outage.
            gateway.runner_list.remove(name)
        gateway.runners_known = True
        gateway.allocator.set_runners(gateway.runner_list.entries)

    async def read_runner_versions(
        self, since: Version
    ) -> dict[PoolName, set[SoftwareVersion]] | None:
        """Return the versions by pool of the entries written after a revision.

        :returns: ``None`` if the platform has discarded some of the changes
        :raises PrimrosefordError: CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        events = await self.runners.read_events(since)
        if events is None:
            return None
        versions: dict[PoolName, set[SoftwareVersion]] = {}
        for event in events:
            entry = decode_runner(event.object) if event.object else None
            if entry is not None:
                versions.setdefault(entry.pool, set()).add(entry.version)
        return versions

    @Service.task
    async def bootstrap_from_peers(self) -> None:
        """Load the lists of a peer if the platform does not answer at the start."""
        gateway = self.gateway
        while not self.should_stop:
            await self.sleep(PEER_BOOTSTRAP_SECONDS)
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
        """Remove runners that did not return, and check the watches and for outages."""
        await run_periodically(self, lambda: EXPIRE_INTERVAL_SECONDS, self._expire)

    def _expire(self) -> None:
        self.start_confirming()
        self.relist_if_behind()
        self.detect_platform_return()
        gone = self.gateway.runner_list.expire(self.gateway.clock())
        if gone:
            log.info("runners did not return", runners=gone)
            self.gateway.allocator.set_runners(self.gateway.runner_list.entries)


def choose_watch_duration(hosts: int, fraction: float, confirming: bool) -> float:
    """Return the duration of a watch call in seconds.

    :param hosts: number of live hosts, this one included
    :param fraction: random number from 0 to 1, which spreads the calls of the hosts
    :param confirming: whether this host makes short watch calls for the fleet
    """
    if confirming:
        return CONFIRMING_WATCH_SECONDS
    longest = min(MAX_WATCH_SECONDS, CONFIRMING_WATCH_SECONDS * hosts)
    return max(MIN_WATCH_SECONDS, longest * (1 + fraction) / 2)
