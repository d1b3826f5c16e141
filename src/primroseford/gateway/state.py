"""State that the services of one host share."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING
from typing import Any

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.bodies import Bodies
from primroseford.gateway.cold_watch import ColdWatch
from primroseford.gateway.crash_detector import CrashDetector
from primroseford.gateway.exchange import RunnerReplaced
from primroseford.gateway.exchange import RunnerUnchecked
from primroseford.gateway.exchange import is_full
from primroseford.gateway.exchange import is_interruption
from primroseford.gateway.host_memory import create_host_memory
from primroseford.gateway.pace_watch import PaceWatch
from primroseford.gateway.quota import Quotas
from primroseford.gateway.rendezvous import ranked
from primroseford.gateway.request_limiter import RequestLimiter
from primroseford.gateway.runner_paths import RunnerPaths
from primroseford.gateway.runner_speeds import RunnerSpeeds
from primroseford.gateway.runners import RunnerList
from primroseford.gateway.stream_records import StreamRecords
from primroseford.gateway.tables import CallerLimits
from primroseford.gateway.trial_turns import TrialTurns
from primroseford.quarantine.state import Quarantine

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    import aiohttp
    from aiohttp.web_protocol import RequestHandler

    from primroseford.clock import Clock
    from primroseford.gateway.evacuations import EvacuationChange
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.members import Members
    from primroseford.gateway.notices import ReportedLoad
    from primroseford.gateway.notices import RunnerNotice
    from primroseford.gateway.request_context import RequestContext
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.runners import RunnerRestart
    from primroseford.gateway.slot_allocator import SlotAllocator
    from primroseford.gateway.tables import Tables
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.ids import PromptPartId
    from primroseford.ids import RunnerName
    from primroseford.ids import SoftwareVersion
    from primroseford.ids import Version
    from primroseford.metrics import Metrics

    ReadRunnerVersions = Callable[
        [Version], Awaitable[dict[PoolName, set[SoftwareVersion]] | None]
    ]

MAX_CONFIRMATION_AGE_SECONDS = 7.0
"""Largest age of the last confirmation by the platform at which an unknown key or route
is refused with a final error. After a longer partition the host may have missed a
version of the configuration."""

QUARANTINE_REPORTERS = 3
"""Hosts that keep reporting a quarantined part to those that restart. One of them may
have restarted itself, another may be cut off."""

STOP_ACCEPT_SECONDS = 3.0
"""Time from the begin of a planned stop for which requests are accepted that may last
longer than the stop. The load balancer still sends callers here."""
STOP_ANSWER_SECONDS = 0.1
"""Time before the connections are closed by which open requests are answered."""
STOP_RETRY_SECONDS = 0.05
"""Retry-After of requests that are refused because of a stop; other hosts take them."""

log = structlog.get_logger()


def _ignore(runner: RunnerState) -> None:
    """Do nothing, until a service sets its callback."""


async def _is_unavailable(*_: Any) -> Any:
    """Report that the platform cannot be called, until a service sets its callback."""
    raise PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE, "the platform watcher has not been started"
    )


class GatewayMetrics:
    """Counters and histograms of a host."""

    def __init__(self, metrics: Metrics) -> None:
        self.requests = metrics.counter(
            "gateway_requests_total", "Requests by kind and result", ("kind", "code")
        )
        self.seconds = metrics.histogram(
            "gateway_request_seconds", "Time from arrival to the end", ("kind",)
        )
        self.retries = metrics.counter(
            "gateway_retries_total", "Attempts sent again, by reason", ("reason",)
        )
        self.suspicions = metrics.counter(
            "gateway_suspicions_total",
            "Runners that began to count as failed",
            ("why",),
        )
        self.refusals = metrics.counter(
            "gateway_refusals_total", "Requests refused before a runner", ("code",)
        )
        self.crashes = metrics.counter(
            "gateway_runner_crashes_total",
            "Runners that crashed while they began to answer requests of this host",
        )
        self.quarantined = metrics.gauge(
            "gateway_quarantined_parts", "Prompt parts that are quarantined"
        )
        self.restarts = metrics.counter(
            "gateway_runner_restarts_total",
            "Runners that served as a new instance before their entries said so",
        )
        self.evacuated_domains = metrics.gauge(
            "gateway_evacuated_domains", "Failure domains that get no new work"
        )
        self.speed_errors = metrics.histogram(
            "gateway_event_time_ratio",
            "Time between the events of responses as a multiple of the expected one",
        )
        self.first_events = metrics.histogram(
            "gateway_first_event_seconds",
            "Time from sending to the first event in pools that report slowness",
            ("speed",),
        )
        self.needless_waits = metrics.counter(
            "gateway_needless_waits_total",
            "Responses of runners with a queue while others of the pool had free slots",
        )
        self.held_bytes = metrics.gauge(
            "gateway_held_bytes", "Bytes that are held for callers"
        )
        self.tunnels = metrics.counter(
            "gateway_tunnels_total",
            "Requests of other hosts to be connected to a runner, by status",
            ("status",),
        )
        self.probed_placements = metrics.counter(
            "gateway_probed_placements_total",
            "Requests that went to another runner by the load that it reported",
        )
        self.limited_runners = metrics.gauge(
            "gateway_limited_runners", "Runners that limit the requests they accept"
        )
        self.cold_runners = metrics.gauge(
            "gateway_cold_runners",
            "Runners that are cold, so that they get few requests",
        )
        self.paced_runners = metrics.gauge(
            "gateway_paced_runners", "Runners that are ramping up"
        )
        self.tokens = metrics.counter(
            "gateway_request_tokens_total",
            "Tokens for requests to such runners, by what became of them",
            ("end",),
        )
        self.uncommitted_items = metrics.gauge(
            "gateway_uncommitted_items",
            "Finished batch items whose results are not committed yet",
        )
        self.waiting_items = metrics.gauge(
            "gateway_waiting_items",
            "Batch items of this host that have not been started, by reason",
            ("reason",),
        )
        self.refused_results = metrics.counter(
            "gateway_refused_results",
            "Writes of a single batch result that the store refused for its content",
        )
        self.items = metrics.counter(
            "gateway_items_total", "Runs of batch items by end", ("end",)
        )


class Gateway:
    """State of one host in front of the runners.

    :param clock: local time
    :param session: HTTP session for runners
    :param memory_mb: memory of the process in MB; ``None`` if it is not known
    :ivar bodies: bodies of callers' requests within the memory budget
    :ivar runner_list_version: version of the newest known change of the runner list
    :ivar runner_list_confirmed_at: local time of the platform's last answer to this
        host's calls for the runner list
    :ivar refresh_runner_list: applies all changes of the runner list that the platform
        had made before the call; set by the platform watcher
    :ivar read_runner_versions: returns the versions by pool of the runner entries that
        were written after a revision, or ``None`` if the platform no longer has them;
        set by the platform watcher
    :ivar runners_known: whether the runner list has been received
    :ivar on_heartbeat: called with each heartbeat of another host
    :ivar request_preemption: requests the preemption of a batch item on a runner
    :ivar probe_interrupted: asks a runner at once whether it has started again
    :ivar evacuations: failure domains that get no new work
    :ivar tables: configuration in force; ``None`` until the first one is received
    :ivar quarantine: prompt parts that crash runners
    :ivar speeds: how fast the runners work
    :ivar trial_turns: turns of this host to try them
    :ivar crash_detector: detects such crashes
    :ivar request_limiter: keeps requests within the limits of the runners
    :ivar cold: cold runners
    :ivar pace: runners that are ramping up
    :ivar paths: ways to the runners
    :ivar streams: pool and software version that began each stream
    :ivar open_requests: online requests in progress
    :ivar busy_connections: callers' connections on which a request is being served
    :ivar confirmed_at: local time of the platform's last confirmation of the tables
    :ivar stops_at: local time by which the open requests must be answered
    :ivar refuses_late_from: local time from which requests are refused that may take
        longer than that
    """

    def __init__(
        self,
        members: Members,
        allocator: SlotAllocator,
        session: aiohttp.ClientSession,
        clock: Clock,
        random: Random,
        metrics: GatewayMetrics,
        memory_mb: float | None = None,
    ) -> None:
        self.members = members
        self.allocator = allocator
        self.session = session
        self.clock = clock
        self.random = random
        self.metrics = metrics
        memory = create_host_memory(memory_mb)
        self.bodies = Bodies(memory, clock, metrics.held_bytes)
        self.tables: Tables | None = None
        self.confirmed_at = float("-inf")
        self.runner_list = RunnerList()
        self.runners_known = False
        self.runner_list_version = 0
        self.runner_list_confirmed_at = -math.inf
        self.refresh_runner_list: Callable[[], Awaitable[None]] = _is_unavailable
        self.read_runner_versions: ReadRunnerVersions = _is_unavailable
        self.on_heartbeat: Callable[[Heartbeat], None] | None = None
        self.request_preemption: Callable[[RunnerState], None] = _ignore
        self.probe_interrupted: Callable[[RunnerState], None] = _ignore
        self.evacuations = allocator.evacuated
        self.quotas = Quotas(clock())
        self.quarantine = Quarantine(clock)
        self.speeds = RunnerSpeeds(self)
        self.trial_turns = TrialTurns(members, self.quarantine, clock)
        self.quarantine.is_responsible = self.trial_turns.is_own
        self.quarantine.is_keeper = lambda part: self._is_ranked(part, 1)
        self.quarantine.is_reporter = lambda part: self._is_ranked(
            part, QUARANTINE_REPORTERS
        )
        self.quarantine.heartbeat_interval = lambda: members.interval
        self.quarantine.on_quarantine = self._refuse_waiting
        self.crash_detector = CrashDetector(self)
        self.request_limiter = RequestLimiter(self)
        self.cold = ColdWatch(self)
        self.pace = PaceWatch(self)
        allocator.on_entries = self._note_entries
        self.streams = StreamRecords(self)
        self.paths = RunnerPaths(self)
        self.open_requests: set[RequestContext] = set()
        self.busy_connections: set[RequestHandler] = set()
        self.stopping = False
        self.stops_at = math.inf
        self.refuses_late_from = math.inf
        self.tokens = itertools.count()

    def _note_entries(self, entries: dict[RunnerName, RunnerEntry]) -> None:
        """Note the new runners of a list before it is applied."""
        self.cold.note_entries(entries)
        self.pace.note_entries(entries)

    def configure(self, tables: Tables) -> None:
        """Put a configuration in force."""
        self.tables = tables
        self.cold.configure(tables.pools)
        # Pools with a bound on requests to cold runners are left to it: the counts of
        # ramping runners in the heartbeats of 64 hosts cost too much processor time.
        self.pace.cold_pools = {
            name: pool.cold_seconds
            for name, pool in tables.pools.items()
            if pool.cold_seconds > 0 and not pool.cold_rate
        }

    def _is_ranked(self, part: PromptPartId, count: int) -> bool:
        """Return whether this host is among the first ones of a rendezvous hash.

        :param count: number of hosts that are chosen
        """
        hosts = self.members.hosts(self.clock())
        return self.members.own in ranked(part, hosts, str, count)

    def _refuse_waiting(self, part: PromptPartId) -> None:
        """Refuse the requests with a prompt part that wait for a slot."""
        record = self.quarantine.records[part]
        self.allocator.refuse_waiting(part, lambda: self.quarantine.refusal(record))

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this host."""
        return not self.stopping and self.configured

    @property
    def configured(self) -> bool:
        """Whether this host knows a configuration and which runners it may use."""
        return self.tables is not None and self.runners_known and self.evacuations.known

    def begin_stop(self, end: float) -> None:
        """Begin a planned stop.

        :param end: local time in seconds at which the connections are closed
        """
        now = self.clock()
        self.stopping = True
        self.stops_at = end - STOP_ANSWER_SECONDS
        self.refuses_late_from = now + STOP_ACCEPT_SECONDS
        for context in self.open_requests:
            context.limit_deadline(self.stops_at)
        # Tells the other hosts with the next heartbeat.
        self.allocator.changed = True

    def limit_to_stop(self, deadline: float) -> float:
        """Return the deadline of a new request on this host.

        :param deadline: local time in seconds until which the caller waits
        :raises PrimrosefordError: HOST_STOPPING if the host may be gone before it
        """
        if deadline <= self.stops_at:
            return deadline
        if self.clock() >= self.refuses_late_from:
            raise PrimrosefordError(
                ResultCode.HOST_STOPPING,
                "this host stops before the request is sure to be answered",
                retry_after=self.allocator.add_jitter(STOP_RETRY_SECONDS),
            )
        return self.stops_at

    def caller_limits(self) -> CallerLimits:
        """Return the limits on requests in force."""
        return self.tables.limits if self.tables is not None else CallerLimits()

    def current_tables(self) -> Tables:
        """Return the configuration in force.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE if none is known yet
        """
        if not self.configured:
            raise PrimrosefordError(
                ResultCode.PLATFORM_UNAVAILABLE,
                "this host has no configuration yet",
                retry_after=self.allocator.add_jitter(0.5),
            )
        return self.tables

    def refusal_if_current(self, error: PrimrosefordError) -> PrimrosefordError:
        """Return the refusal of a request that the tables do not allow.

        :param error: refusal if the tables are recent; otherwise the caller may retry
        """
        if self.clock() - self.confirmed_at <= MAX_CONFIRMATION_AGE_SECONDS:
            return error
        return PrimrosefordError(
            ResultCode.HOST_ISOLATED,
            "this host may have missed a new version of the configuration",
            retry_after=self.allocator.add_jitter(0.5),
        )

    def track_exchange(self, runner: RunnerState) -> int:
        """Register an exchange that waits for a runner and return its token."""
        token = next(self.tokens)
        runner.waiting[token] = self.clock()
        return token

    def suspect(self, runner: RunnerState, why: str) -> None:
        """Exclude a runner from online requests until it answers or the time ends."""
        # An answer ends the suspicion, but may be that of a new process.
        runner.may_have_restarted = self.is_engine(runner.entry.pool)
        if self.allocator.suspect(runner):
            self.metrics.suspicions.labels(why).inc()
            log.warning(
                "runner counts as failed", runner=runner.entry.key.name, why=why
            )
        self.cold.note_suspicion(runner)
        self.pace.note_suspicion(runner)

    def note_notice(self, runner: RunnerState, notice: RunnerNotice) -> None:
        """Apply what a runner said about itself; log it if it has changed."""
        self.request_limiter.note_notice(runner, notice)
        if notice == runner.notice:
            return
        runner.notice = notice
        if notice.leaving:
            self.note_leaving(runner.entry.key)
        log.info(
            "runner notice changed",
            runner=runner.entry.key.name,
            request_limit=notice.request_limit,
            invalid_limit=notice.invalid_limit or None,
            leaving=notice.leaving or None,
        )

    def note_load(self, runner: RunnerState, load: ReportedLoad) -> None:
        """Apply the load that a runner reported in a response."""
        pool = runner.entry.pool
        if load.slowness is None or not self.is_engine(pool):
            return
        if load.waiting and any(
            other.has_free_slot for other in self.allocator.pool_runners(pool)
        ):
            self.metrics.needless_waits.inc()
        if self.allocator.note_slowness(runner, load.slowness):
            log.info(
                "pool reports slowness",
                pool=pool,
                runner=runner.entry.key.name,
            )

    def note_leaving(self, key: RunnerKey, seen_by: HostId | None = None) -> None:
        """Send a runner no new requests, since it has said that it leaves.

        :param seen_by: the host that got the response, if it is another one
        """
        allocator = self.allocator
        now = self.clock()
        if seen_by is None:
            is_new = allocator.leaving.note(key, now)
        else:
            is_new = allocator.leaving.merge(key, now)
        if not is_new:
            return
        allocator.changed = True
        allocator.list_ready()
        log.info(
            "runner leaves",
            runner=key.name,
            seen_by=seen_by or self.members.own,
        )

    def note_evacuations(
        self, change: EvacuationChange | None, seen_by: HostId | None = None
    ) -> None:
        """Put a changed list of evacuated failure domains in force.

        :param seen_by: the host that has reported it, if it is another one
        """
        if change is None:
            return
        self.metrics.evacuated_domains.set(len(self.evacuations.since))
        self.cold.note_evacuation_ends(change.ended)
        self.pace.note_evacuation_ends(change.ended)
        allocator = self.allocator
        allocator.list_ready()
        # Tells the other hosts with the next heartbeat.
        allocator.changed = True
        known = {runner.entry.failure_domain for runner in allocator.runners.values()}
        for domains, event in (
            (change.begun, "failure domain is evacuated"),
            (change.ended, "evacuation of failure domain ended"),
        ):
            for domain in sorted(domains):
                log.info(
                    event,
                    domain=domain,
                    revision=self.evacuations.revision,
                    seen_by=seen_by or self.members.own,
                    has_runners=domain in known,
                )

    def is_engine(self, pool: PoolName) -> bool:
        """Return whether the runners of a pool are model engines."""
        known = self.tables.pools.get(pool) if self.tables else None
        return known is None or known.is_engine

    def health_path(self, pool: PoolName) -> str:
        """Return the path of the health checks of a pool's runners."""
        known = self.tables.pools.get(pool) if self.tables else None
        return known.health_path if known else "/health"

    def note_restart(
        self, restart: RunnerRestart, seen_by: HostId | None = None
    ) -> None:
        """Stop using what is known of a runner that has started again.

        :param seen_by: the host that asked the runner, if it is another one
        """
        if not self.runner_list.record_restart(restart, self.clock()):
            return
        self.metrics.restarts.inc()
        log.warning(
            "runner has started again",
            runner=restart.name,
            listed=restart.listed,
            born=restart.born,
            seen_by=seen_by or self.members.own,
        )
        self.allocator.set_runners(self.runner_list.entries)
        # Tells the other hosts with the next heartbeat.
        self.allocator.changed = True

    def note_failure(self, runner: RunnerState, error: PrimrosefordError) -> None:
        """Update the state of a runner after a failed attempt."""
        has_failed = (
            error.code is ResultCode.RUNNER_UNREACHABLE
            or is_interruption(error)
            or is_full(error)
        )
        if has_failed and not isinstance(error, RunnerUnchecked):
            self.pace.note_failure(runner)
        if error.code is ResultCode.RUNNER_UNREACHABLE:
            self.suspect(runner, "unreachable")
        elif is_interruption(error) and self.is_engine(runner.entry.pool):
            # Another process may serve under the runner's name.
            self.suspect(runner, "interrupted")
            self.probe_interrupted(runner)
        elif isinstance(error, RunnerReplaced):
            log.warning("runner has left its address", runner=runner.entry.key.name)
            self.runner_list.remove(runner.entry.key.name)
            self.allocator.set_runners(self.runner_list.entries)
        elif is_full(error):
            self.allocator.mark_full(runner)
