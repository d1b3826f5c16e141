"""Service that distributes the configuration from the platform to all hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog
from mode import Service

from primroseford.configuration import relay
from primroseford.configuration.freshness import ProbeResult
from primroseford.configuration.freshness import fresher_source
from primroseford.configuration.freshness import is_isolated
from primroseford.configuration.freshness import isolation_error
from primroseford.configuration.freshness import probe_due
from primroseford.configuration.gen import ttypes
from primroseford.configuration.messages import KIND_PROBE
from primroseford.configuration.messages import KIND_PULL
from primroseford.configuration.messages import KIND_PUSH
from primroseford.configuration.messages import KIND_REPORTS
from primroseford.configuration.messages import KIND_SLICE
from primroseford.configuration.messages import create_handlers
from primroseford.configuration.objects import Delta
from primroseford.configuration.objects import apply_delta
from primroseford.configuration.probe import probe_hosts
from primroseford.configuration.probe import sample_hosts
from primroseford.configuration.store import KINDS
from primroseford.configuration.store import ConfigurationStore
from primroseford.configuration.tree import Position
from primroseford.configuration.tree import assign_position
from primroseford.configuration.tree import list_watchers
from primroseford.configuration.watcher import ConfigurationWatcher
from primroseford.errors import PrimrosefordError
from primroseford.ids import Version

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.clock import Clock
    from primroseford.configuration.objects import Change
    from primroseford.configuration.objects import Jump
    from primroseford.configuration.relay import HostVersion
    from primroseford.configuration.tree import RankHosts
    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo
    from primroseford.platform.client import PlatformClient

PULL_INTERVAL_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 1.0
SLICE_TIMEOUT_SECONDS = 5.0
MAX_SLICE_REQUESTS = 10_000

log = structlog.get_logger()


class PeerNetwork(Protocol):
    """Interface to other hosts that the distribution uses."""

    async def call(
        self, host_id: HostId, kind: int, message: object, timeout: float
    ) -> object:
        """Return the answer of a host."""

    def send(self, host_id: HostId, kind: int, message: object) -> None:
        """Send a one-way message; it is dropped if the host is unreachable."""

    def register(
        self,
        kind: int,
        message_type: type,
        handler: object,
        answer_type: type | None = None,
    ) -> None:
        """Register the handler of a message kind."""


class Membership(Protocol):
    """Interface to the list of live hosts that the distribution uses."""

    version: int

    def hosts(self) -> Sequence[HostInfo]:
        """Return the live hosts."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change."""


class ConfigurationService(Service):
    """Keeps a host's configuration up to date.

    :param host: the host itself
    :ivar store: tables in force
    """

    def __init__(
        self,
        host: HostId,
        client: PlatformClient,
        peers: PeerNetwork,
        membership: Membership,
        rank: RankHosts,
        clock: Clock,
        pause: Callable[[float], Awaitable[None]] | None = None,
    ) -> None:
        super().__init__()
        self.host = host
        self.client = client
        self.peers = peers
        self.membership = membership
        self.rank = rank
        self.clock = clock
        self.pause = pause or self.sleep
        # Service.sleep returns when the service stops. It can then swallow the watch's
        # cancellation (asyncio.wait_for before Python 3.12), and the watch would never
        # end.
        self.watch_pause = pause or asyncio.sleep
        self.relay_state = relay.RelayState(host)
        self.store = ConfigurationStore(lambda now: relay.age(self.relay_state, now))
        self.position = Position()
        self.watch_task: asyncio.Task[None] | None = None
        self.background_tasks: set[asyncio.Task[object]] = set()
        self.last_probe: ProbeResult | None = None
        self.probe_round = 0
        self.pull_lock = asyncio.Lock()

    async def on_start(self) -> None:
        """Register the message handlers and compute the position in the relay tree."""
        for kind, handler in create_handlers(self).items():
            self.peers.register(kind, ttypes.Message, handler, ttypes.Message)
        self.membership.on_change(self.update_position)
        self.update_position()

    async def on_stop(self) -> None:
        """Cancel the watches and the pulls in progress."""
        tasks = [
            *self.background_tasks,
            *([self.watch_task] if self.watch_task else []),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.watch_task = None

    def update_position(self, *_: object) -> None:
        """Update the position in the relay tree, and start or stop the watch."""
        self.position = assign_position(self.host, self.membership.hosts(), self.rank)
        if self.position.watches and self.watch_task is None and not self.should_stop:
            watcher = ConfigurationWatcher(
                self.client,
                KINDS,
                self.relay_state.objects,
                self.clock,
                self.watch_pause,
                self.apply_watched_delta,
                lambda at: relay.confirm(self.relay_state, at),
            )
            self.watch_task = asyncio.create_task(watcher.run())
        elif not self.position.watches and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    def apply_watched_delta(self, delta: Delta) -> bool:
        """Put a delta from the platform in force.

        :returns: whether the copy has reached the delta's end
        """
        objects = self.relay_state.objects
        start = objects.version
        changes = apply_delta(objects, delta)
        if changes is not None:
            self.publish(start, changes, delta.jumps)
        elif delta.end > objects.version and self.watch_task is not None:
            # A push has moved the copy to a version inside an interval that the watch
            # covers with a list; the watch restarts from the copy's version.
            self.watch_task.cancel()
            self.watch_task = None
            self.update_position()
            return False
        return True

    def publish(
        self, start: int, changes: Sequence[Change], jumps: tuple[Jump, ...] = ()
    ) -> None:
        """Put the relay state's version in force and push the changes to the children.

        :param start: version before the changes
        :param changes: changes that took effect
        :param jumps: intervals of versions of which only the end state was observed
        """
        if self.relay_state.objects.version == start:
            return
        self.store.apply(self.relay_state.objects.version, changes)
        end = self.relay_state.objects.version
        delta = Delta(Version(start), end, tuple(changes), jumps)
        if relay.delta_bytes(delta) > relay.MAX_DELTA_BYTES:
            # The delta is too large to push; the children pull a snapshot in slices.
            return
        push = relay.encode_delta(delta)
        for child in self.position.children:
            # A child that misses the push gets the changes with its next pull.
            self.peers.send(child, KIND_PUSH, ttypes.Message(push=push))

    def spawn(self, work: Awaitable[object]) -> None:
        """Run a background task until it ends or the service stops."""
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    @Service.task
    async def pull_periodically(self) -> None:
        """Pull from the parent every second."""
        while not self.should_stop:
            await self.pull()
            await self.pause(PULL_INTERVAL_SECONDS)

    @Service.task
    async def probe_periodically(self) -> None:
        """Probe every second; a pull that waits for a lost host does not delay it."""
        while not self.should_stop:
            await self.probe()
            await self.pause(PROBE_INTERVAL_SECONDS)

    async def pull(self) -> bool:
        """Pull from the parent, or from the first alternate that answers.

        :returns: whether a host answered
        """
        parent = self.position.parent
        sources = ([parent] if parent else []) + list(self.position.alternates)
        for source in sources[:4]:
            if await self.pull_from(source):
                return True
        return False

    async def pull_from(self, source: HostId) -> bool:
        """Pull from one host; load a snapshot if its log is too short.

        :returns: whether the host answered
        """
        if self.pull_lock.locked():
            return True
        async with self.pull_lock:
            sent_at = self.clock()
            pull = relay.make_pull(self.relay_state, sent_at)
            try:
                answer = await self.call_peer(
                    source, KIND_PULL, ttypes.Message(pull=pull)
                )
                pull_answer = answer.pull_answer
                if pull_answer.snapshot_needed:
                    await self._load_snapshot(source)
            except (PrimrosefordError, OSError, TimeoutError):
                return False
            start = self.relay_state.objects.version
            jumps = (
                relay.decode_delta(pull_answer.delta).jumps if pull_answer.delta else ()
            )
            changes = relay.apply_pull_answer(self.relay_state, pull_answer, sent_at)
            self.publish(start, changes, jumps)
            return True

    async def call_peer(
        self, host: HostId, kind: int, message: ttypes.Message
    ) -> ttypes.Message:
        """Call another host and return its answer."""
        seconds = SLICE_TIMEOUT_SECONDS if kind == KIND_SLICE else CALL_TIMEOUT_SECONDS
        return await self.peers.call(host, kind, message, seconds)

    async def _load_snapshot(self, source: HostId) -> None:
        receiver = relay.SnapshotReceiver()
        for _ in range(MAX_SLICE_REQUESTS):
            request = ttypes.Message(
                slice_request=relay.next_slice_request(self.relay_state, receiver)
            )
            answer = await self.call_peer(source, KIND_SLICE, request)
            start = self.relay_state.objects.version
            changes = relay.receive_slice(self.relay_state, receiver, answer.slice)
            if changes is not None:
                end = self.relay_state.objects.version
                self.publish(start, changes, ((Version(start), end),))
                return

    async def probe(self) -> None:
        """Probe other hosts if the configuration is old; pull from a fresher one."""
        now = self.clock()
        if not probe_due(relay.age(self.relay_state, now)):
            self.last_probe = None
            return
        self.probe_round += 1
        hosts = sample_hosts(self.host, self.membership.hosts(), self.probe_round)
        self.last_probe = await probe_hosts(hosts, now, self._probe_one)
        source = fresher_source(
            relay.age(self.relay_state, self.clock()), self.last_probe
        )
        if source is not None:
            self.spawn(self.pull_from(source))

    async def _probe_one(self, host: HostId) -> ttypes.ProbeAnswer | None:
        try:
            message = ttypes.Message(probe=ttypes.Probe())
            return (await self.call_peer(host, KIND_PROBE, message)).probe_answer
        except (PrimrosefordError, OSError, TimeoutError):
            return None

    def admits(self, now: float) -> bool:
        """Return whether the freshness rule allows the host to admit requests."""
        if self.store.current().version == 0:
            return False
        return not is_isolated(relay.age(self.relay_state, now), self.last_probe, now)

    def check_admission(self, now: float) -> None:
        """Raise an error if the host may not admit requests.

        :raises PrimrosefordError: HOST_ISOLATED with outcome ``not_run``
        """
        if not self.admits(now):
            raise isolation_error(self.store.current().version > 0)

    async def versions_in_force(self) -> dict[HostId, HostVersion | None]:
        """Return the version in force on each known host.

        :returns: versions by host; none for a host without a current report
        """
        hosts = self.membership.hosts()
        state = self.relay_state
        relay.merge_reports(state, [], self.clock())
        watchers = [h for h in list_watchers(hosts, self.rank) if h != self.host]
        message = ttypes.Message(reports_request=ttypes.ReportsRequest())
        answers = await asyncio.gather(
            *(self.call_peer(w, KIND_REPORTS, message) for w in watchers),
            return_exceptions=True,
        )
        now = self.clock()
        merged = relay.RelayState(self.host, state.objects, state.confirmed_at)
        merged.reports = dict(state.reports)
        for answer in answers:
            if not isinstance(answer, BaseException):
                relay.merge_reports(merged, answer.reports.reports, now)
        own = relay.HostVersion(state.objects.version, relay.age(state, now), now)
        known = merged.reports | {self.host: own}
        return {h.host_id: known.get(h.host_id) for h in hosts} | {self.host: own}


def create_configuration_service(
    host: HostId,
    client: PlatformClient,
    peers: PeerNetwork,
    membership: Membership,
    rank: RankHosts,
    clock: Clock,
    pause: Callable[[float], Awaitable[None]] | None = None,
) -> ConfigurationService:
    """Return the service that keeps a host's configuration up to date.

    :param host: the host itself
    :param client: client of the platform's service
    :param peers: connections to other hosts
    :param membership: live hosts
    :param rank: rendezvous hashing of hosts
    :param clock: time in seconds
    :param pause: waits for a number of seconds; replaced in tests
    """
    return ConfigurationService(host, client, peers, membership, rank, clock, pause)
