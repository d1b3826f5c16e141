"""Keeps the requests of all hosts to a runner within the limit that the runner names.

Each request to such a runner needs a token of the runner's token owner, a host that all
hosts choose alike by rendezvous hashing. A host asks while requests or items wait for a
slot, and returns tokens that it does not use.

If an owner is lost, its runners get no requests until the others have noticed; the
rest of the pool serves meanwhile. Each owner also counts the used tokens that other
owners have granted: the one before it, or one that was cut off. A host that is cut off
from the others becomes its own owner with its share of the limit, as for the rates of
organisations.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import RunnerLimit
from primroseford.gateway.gen.messages.ttypes import TokenMessage
from primroseford.gateway.gen.messages.ttypes import TokenUse
from primroseford.gateway.periodic import TICK_SECONDS
from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.placement import MAX_RUNNER_QUEUE
from primroseford.gateway.placement import RATE_LIMITED_HEADROOM_SLOTS
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.token_ownership import TokenOwnership
from primroseford.ids import GranterId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import RunnerName
from primroseford.request_limits.observations import END_MARGIN_SECONDS
from primroseford.request_limits.owner import Grant
from primroseford.request_limits.owner import TokenOwner
from primroseford.request_limits.peer_uses import PeerUses
from primroseford.request_limits.peer_uses import Process
from primroseford.request_limits.tokens import UNKNOWN_GRANTER

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.notices import RunnerNotice
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion
    from primroseford.request_limits.bounds import TokenBound

MIN_ASK_INTERVAL_SECONDS = 0.1
"""Shortest interval at which a waiting host repeats its message to an owner. In a large
fleet it is the interval of the heartbeats, which bounds the messages to one owner."""
WAIT_INTERVALS = 3
"""Intervals after which a host without messages no longer waits for tokens."""
MAX_ASKED_RUNNERS = 4
"""Runners for whose tokens a host waits at the same time. More would only return more
tokens unused."""
MAX_BATCH_ASKED_RUNNERS = 2
HOLD_SECONDS = 0.15
"""Time after which an unused token is returned: three runs of the batch scheduler."""
MAX_GRANTER_ID = 2**62
MAX_TOKENS = 1000
"""Largest number of tokens in one message."""
COLD_RATE = 0.0
"""Rate in messages for the tokens of a cold runner that names no limit. An owner of an
earlier release grants none."""

log = structlog.get_logger()


@dataclass
class Ask:
    """An unanswered message to a token owner.

    :param count: tokens that this host waits for
    :param sent_at: local time of the last message in seconds
    """

    count: int
    sent_at: float


class RequestLimiter:
    """Tokens of this host, and the windows of tokens that it owns for all hosts.

    :ivar send: sends messages to another host; set by the heartbeat service
    :ivar announce: sends a heartbeat at once
    :ivar granter: this process as a granter of tokens
    :ivar peer_uses: tokens that the other hosts report to have used
    :ivar asks: unanswered messages to owners by runner
    :ivar batch_asked_at: local time of the last messages for batch by pool
    :ivar ownership: chooses the token owners
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.allocator = gateway.allocator
        self.tokens = gateway.allocator.tokens
        self.limits = gateway.allocator.tokens.limits
        self.granter = GranterId(gateway.random.randrange(1, MAX_GRANTER_ID))
        self.owner = TokenOwner(self._count_others)
        self.peer_uses = PeerUses()
        self.ownership = TokenOwnership(gateway)
        self.send: Callable[[HostId, Bundle], None] = lambda host, bundle: None
        self.announce: Callable[[], None] = lambda: None
        self.asks: dict[RunnerKey, Ask] = {}
        self.batch_asked_at: dict[PoolName, float] = {}
        self.allocator.on_waiting = self.ask_for_pool

    def note_notice(self, runner: RunnerState, notice: RunnerNotice) -> None:
        """Apply the limit, or its absence, in a response of a runner."""
        key, now = runner.entry.key, self.gateway.clock()
        is_new = self.limits.rate(key) is None
        if self.limits.observe(key, notice.request_limit, now):
            self._log_change(key, self.gateway.members.own)
            if is_new or notice.request_limit is None:
                self.announce()
            self.end_limit(key)

    def _log_change(self, key: RunnerKey, host: HostId) -> None:
        rate = self.limits.rate(key)
        log.info(
            "runner limits its requests" if rate else "runner has ended its limit",
            runner=key.name,
            rate=rate,
            seen_by=host,
        )
        self.gateway.metrics.limited_runners.set(
            sum(known.rate is not None for known in self.limits.newest.values())
        )

    def end_limit(self, key: RunnerKey) -> None:
        """Let waiting requests use a runner if it has no limit any more."""
        if not self.tokens.is_limited(key):
            self.asks.pop(key, None)
            self.tokens.take_all(key)
            self.tokens.take_all(key, batch=True)
            self.allocator.grant()

    @property
    def ask_interval(self) -> float:
        """Interval in seconds at which messages to an owner are repeated."""
        return max(MIN_ASK_INTERVAL_SECONDS, self.gateway.members.interval)

    def _count_others(self, runner: RunnerKey, seconds: float) -> int:
        """Return how many tokens of other owners all hosts report to have used.

        :param seconds: length of the window
        """
        own_uses = self.tokens.count_used(runner, seconds)
        own_uses.pop(self.granter, None)
        now = self.gateway.clock()
        peers = self.peer_uses.count_others(runner, self.granter, now, seconds)
        return own_uses.total() + peers

    def _bounds(self, key: RunnerKey, rate: float | None) -> tuple[TokenBound, ...]:
        """Return the bounds that this side of a network partition may use.

        :param rate: limit that the runner names, in requests per second
        """
        quotas = self.gateway.quotas
        share = 1 - quotas.silent / max(1, quotas.hosts)
        return self.tokens.bounds(key, rate, share)

    def ask_for_pool(self, pool: PoolName) -> None:
        """Ask for tokens for the online requests that wait for a slot of a pool."""
        queue = self.allocator.queues.get(pool)
        if not queue:
            return
        if queue.unversioned:
            self._ask_for_requests(pool, None, queue.unversioned)
        for version, waiting in queue.versions.items():
            self._ask_for_requests(pool, version, waiting)

    def _ask_for_requests(
        self, pool: PoolName, version: SoftwareVersion | None, waiting: int
    ) -> None:
        now = self.gateway.clock()
        candidates = {
            runner.entry.key
            for runner in self.allocator.usable(pool, version)
            if self.tokens.is_limited(runner.entry.key)
            and runner.full_until <= now
            and runner.load().free > -MAX_RUNNER_QUEUE
        }
        if not candidates:
            return
        chosen = [key for key in self.asks if key in candidates]
        others = sorted(candidates.difference(chosen))
        missing = min(len(others), MAX_ASKED_RUNNERS - len(chosen))
        chosen += self.gateway.random.sample(others, max(0, missing))
        count = min(MAX_TOKENS, math.ceil(waiting / len(chosen)))
        for key in chosen:
            ask = self.asks.get(key)
            if ask is not None and ask.count >= count:
                if now - ask.sent_at < self.ask_interval:
                    continue
            self.asks[key] = Ask(count, now)
            self._ask(key, count, batch=False)

    def ask_for_batch(self, pool: PoolName) -> None:
        """Ask for tokens for batch items that wait for a slot of a pool."""
        now = self.gateway.clock()
        asked_at = self.batch_asked_at.get(pool, -math.inf)
        queue = self.allocator.queues.get(pool)
        if queue and queue.unversioned or now - asked_at < self.ask_interval:
            return
        candidates = [
            runner.entry.key
            for runner in self.allocator.usable(pool)
            if self.tokens.is_limited(runner.entry.key)
            and not self.tokens.count(runner.entry.key, batch=True)
            and not self._is_waiting(runner.entry.key)
            and runner.full_until <= now
            and runner.load().free > RATE_LIMITED_HEADROOM_SLOTS
        ]
        if not candidates:
            return
        self.batch_asked_at[pool] = now
        count = min(len(candidates), MAX_BATCH_ASKED_RUNNERS)
        for key in self.gateway.random.sample(candidates, count):
            self._ask(key, 1, batch=True)

    def _ask(self, key: RunnerKey, count: int, batch: bool) -> None:
        rate = self.limits.rate(key)
        owner = self.ownership.owner_of(key)
        if self.ownership.is_owner(key):
            self._serve(key, owner, count, batch, rate)
            return
        message = TokenMessage(key.name, key.born, count, batch, rate or COLD_RATE)
        self.send(owner, Bundle(self.gateway.members.own, [], token_asks=[message]))

    def _serve(
        self, key: RunnerKey, host: HostId, count: int, batch: bool, rate: float | None
    ) -> None:
        """Grant tokens as the owner of a runner."""
        now = self.gateway.clock()
        bounds = self._bounds(key, rate)
        if not bounds or not self.ownership.may_grant():
            return
        if batch:
            grants = self.owner.ask_for_batch(key, host, bounds, now)
        else:
            until = now + WAIT_INTERVALS * self.ask_interval
            grants = self.owner.ask(key, host, count, bounds, now, until)
        self._deliver(grants, batch)

    def _deliver(self, grants: Iterable[Grant], batch: bool = False) -> None:
        for key, host, count in grants:
            if host == self.gateway.members.own:
                self._receive_grant(key, count, self.granter, batch)
                continue
            message = TokenMessage(
                key.name, key.born, count, batch, granter=self.granter
            )
            bundle = Bundle(self.gateway.members.own, [], token_grants=[message])
            self.send(host, bundle)

    def _receive_grant(
        self, key: RunnerKey, count: int, granter: GranterId, batch: bool
    ) -> None:
        self.gateway.metrics.tokens.labels("granted").inc(count)
        self.tokens.add(key, count, granter, batch)
        if batch:
            return
        ask = self.asks.get(key)
        if ask is not None:
            ask.count -= count
            if ask.count <= 0:
                del self.asks[key]
        self.allocator.grant()
        if not self._is_waiting(key):
            self._return_tokens(key, batch=False)

    def _return_tokens(self, key: RunnerKey, batch: bool) -> None:
        count = self.tokens.take_all(key, batch)
        if not count:
            return
        self.gateway.metrics.tokens.labels("returned").inc(count)
        if self.ownership.is_owner(key):
            self._deliver(self.owner.put_back(key, count, self.gateway.clock()))
            return
        message = TokenMessage(key.name, key.born, count, batch)
        bundle = Bundle(self.gateway.members.own, [], token_returns=[message])
        self.send(self.ownership.owner_of(key), bundle)

    def _runner(self, key: RunnerKey) -> RunnerState | None:
        runner = self.allocator.runners.get(key.name)
        return runner if runner is not None and runner.entry.key == key else None

    def receive(self, bundle: Bundle) -> None:
        """Apply the token messages of another host."""
        host = HostId(bundle.relay or "")
        for message in bundle.token_asks or ():
            key = self._listed_key(message)
            if key is None or not self.ownership.is_owner(key):
                continue
            rate = message.rate or COLD_RATE
            if rate == COLD_RATE:
                if not self.gateway.cold.note_ask(key, host):
                    continue
                rate = self.limits.rate(key)
            elif not 0 < rate < math.inf:
                continue
            elif key not in self.limits.newest:
                # The asking host's response has not been reported to this host yet.
                self.limits.merge(key, rate, self.gateway.clock() - END_MARGIN_SECONDS)
            self._serve(key, host, _bounded(message), bool(message.batch), rate)
        for message in bundle.token_returns or ():
            key = self._listed_key(message)
            if key is not None:
                now = self.gateway.clock()
                self._deliver(self.owner.put_back(key, _bounded(message), now))
        for message in bundle.token_grants or ():
            key = self._listed_key(message)
            if key is not None and self.tokens.is_limited(key):
                granter = GranterId(message.granter or UNKNOWN_GRANTER)
                self._receive_grant(
                    key, _bounded(message), granter, bool(message.batch)
                )

    def _listed_key(self, message: TokenMessage) -> RunnerKey | None:
        """Return the runner of a message; ``None`` if this host does not list it."""
        key = RunnerKey(RunnerName(message.runner), message.born)
        if self._runner(key) is None:
            log.debug("token message for an unknown runner", runner=message.runner)
            return None
        return key

    def may_probe(self, runner: RunnerState, requests: int = 1) -> bool:
        """Return whether this host may send health checks to a runner now.

        Only the owner checks a runner with a limit, and counts the check.

        :param requests: number of requests that a check consists of; all of them count
            at a cold runner
        """
        key = runner.entry.key
        if not self.tokens.is_limited(key):
            return True
        if not self.ownership.is_owner(key) or not self.ownership.may_grant():
            return False
        now = self.gateway.clock()
        bounds = self._bounds(key, self.limits.rate(key))
        count = requests if self.tokens.is_cold(key) else 1
        return self.owner.take_spare(key, bounds, now, count)

    def take_check(self, runner: RunnerState, continues: bool) -> bool:
        """Use a token for the report of a cold runner; return whether it may be asked.

        :param continues: whether the request goes on with what a version has begun,
            and may find no other runner of it; it needs no token, and is counted
        """
        key = runner.entry.key
        if not self.tokens.is_cold(key):
            return True
        if not self.tokens.count(key) and self.may_probe(runner):
            self.tokens.add(key, 1, self.granter)
        if self.tokens.count(key):
            self.tokens.spend(key)
        elif continues:
            self.tokens.charge(key)
        else:
            return False
        return True

    def step(self) -> None:
        """Grant due tokens, repeat messages, and return unused tokens."""
        self.gateway.cold.step()
        self.gateway.pace.step()
        if not self._limited() and not self.owner.windows:
            return
        now = self.gateway.clock()
        self.peer_uses.forget(now)
        listed = {runner.entry.key for runner in self.allocator.runners.values()}
        self.limits.forget(listed, now)
        self._open_windows(now)
        self._deliver(self.owner.due_grants(now))
        for key, batch in self.tokens.held_before(now - HOLD_SECONDS):
            self._return_tokens(key, batch)
        for key, ask in list(self.asks.items()):
            if now - ask.sent_at > self.ask_interval and not self._is_waiting(key):
                del self.asks[key]
        for pool in list(self.allocator.queues):
            self.ask_for_pool(pool)

    def _open_windows(self, now: float) -> None:
        """Keep a window for each runner with a limit that this host owns."""
        limited = self._limited()
        self.ownership.forget(limited)
        owned = {
            key
            for key in limited
            if self.tokens.is_limited(key) and self.ownership.is_owner(key)
        }
        for key in self.owner.windows.keys() - owned:
            self.owner.leave(key, now)
        if not self.ownership.may_grant():
            return
        for key in owned:
            self.owner.open_window(key, self._bounds(key, self.limits.rate(key)))

    def _limited(self) -> set[RunnerKey]:
        """Return the runners that may have a limit of any kind."""
        return self.limits.newest.keys() | self.tokens.cold.periods.keys()

    def _is_waiting(self, key: RunnerKey) -> bool:
        """Return whether a request waits that could use a token of a runner."""
        runner = self._runner(key)
        queue = self.allocator.queues.get(runner.entry.pool) if runner else None
        return bool(queue) and queue.has_waiter_for(runner.entry.version)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add what responses to this host said to its heartbeat."""
        heartbeat.owns_request_tokens = True
        heartbeat.has_just_started = self.ownership.has_just_started()
        heartbeat.limits = [
            RunnerLimit(
                report.runner.name,
                report.runner.born,
                report.rate or 0.0,
                max(0, round(report.age * 1000)),
            )
            for report in self.limits.reports(self.gateway.clock())
        ]
        heartbeat.token_uses = [
            TokenUse(key.name, key.born, count, granter)
            for key in list(self.tokens.used)
            for granter, count in self.tokens.count_used(
                key, self.tokens.reported_seconds(key)
            ).items()
        ]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply what responses to another host said, and the tokens that it used."""
        now = self.gateway.clock()
        uses: dict[RunnerKey, dict[GranterId, int]] = {}
        for use in heartbeat.token_uses or ():
            key = RunnerKey(RunnerName(use.runner), use.born)
            if self._runner(key) is not None and 0 < (use.count or 0) <= MAX_TOKENS:
                granter = GranterId(use.granter or UNKNOWN_GRANTER)
                uses.setdefault(key, {})[granter] = use.count
        process = Process(HostId(heartbeat.host), Incarnation(heartbeat.incarnation))
        self.peer_uses.replace(process, uses, now)
        for limit in heartbeat.limits or ():
            key = RunnerKey(RunnerName(limit.runner), limit.born)
            runner = self._runner(key)
            rate = limit.rate or 0.0
            if runner is None or not 0 <= rate < math.inf:
                continue
            age = max(0, limit.age_ms or 0) / 1000
            if self.limits.merge(key, rate or None, now - age):
                self._log_change(key, HostId(heartbeat.host))
                self.end_limit(key)


class RequestLimiterService(Service):
    """Runs the steps of a host's request limiter."""

    def __init__(self, limiter: RequestLimiter) -> None:
        super().__init__()
        self.limiter = limiter

    @Service.task
    async def run_steps(self) -> None:
        """Run the steps periodically."""
        await run_periodically(self, lambda: TICK_SECONDS, self.limiter.step)


def _bounded(message: TokenMessage) -> int:
    return min(max(0, message.count or 0), MAX_TOKENS)
