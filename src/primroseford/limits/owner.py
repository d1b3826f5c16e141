"""The owner of a group's buckets, as a pure state machine over messages."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import floor
from typing import TYPE_CHECKING

from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import OrganisationId
from primroseford.limits.bucket import GRANT_SECONDS
from primroseford.limits.bucket import Bucket
from primroseford.limits.bucket import BucketKey
from primroseford.limits.bucket import Limit
from primroseford.limits.bucket import Outstanding
from primroseford.limits.bucket import advance
from primroseford.limits.bucket import grant
from primroseford.limits.bucket import report
from primroseford.limits.gen.messages.ttypes import Demand
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.limits.gen.messages.ttypes import Grant
from primroseford.limits.gen.messages.ttypes import GrantAnswer
from primroseford.limits.gen.messages.ttypes import Handover
from primroseford.limits.gen.messages.ttypes import Level
from primroseford.limits.gen.messages.ttypes import OutstandingGrant

if TYPE_CHECKING:
    from collections.abc import Callable

    LimitOf = Callable[[OrganisationId], Limit | None]

# A host that received an answer uses no floor for this time; the owner counts it
# from when it sent an answer that the host has echoed.
PROMISE_SECONDS = 5.0
UNMET_SECONDS = 0.3
ANSWERS_KEPT = 8
SENDER_SECONDS = 60.0
# Hosts that compete for the tokens of one bucket ask again at intervals that keep
# the messages a second near the rate, and never more often than this.
MIN_WAIT_MS = 20
MAX_WAIT_MS = 100
GRANT_ID_BITS = 32
# Share of the burst that batch leaves for online requests of the same bucket.
BATCH_HEADROOM = 0.125
MAX_SENDERS = 8192


@dataclass
class Sender:
    """What the owner knows of one start of a requesting host.

    :param last_sequence: highest sequence applied
    :param answers: sequence to time of the last answers
    :param promised_until: owner's time until which the host uses no floor
    :param heard_at: owner's time of the last request
    """

    last_sequence: int = 0
    answers: dict[int, float] = field(default_factory=dict)
    promised_until: float = 0.0
    heard_at: float = 0.0


@dataclass
class OwnerState:
    """Buckets of one group under one fencing number.

    :param group: number of the group
    :param fencing: fencing number of the lease
    :param opens_at: owner's time before which nothing is granted
    :param share: share of rate and burst that no floor may use
    :param share_at: owner's time of the last change of the share
    :param inherited: promises made to the last owner, as times of this one
    """

    group: int
    fencing: int
    opens_at: float
    buckets: dict[BucketKey, Bucket] = field(default_factory=dict)
    senders: dict[tuple[HostId, Incarnation], Sender] = field(default_factory=dict)
    unmet: dict[OrganisationId, dict[HostId, float]] = field(default_factory=dict)
    next_grant: int = 0
    share: float = 0.0
    share_at: float = 0.0
    inherited: dict[HostId, float] = field(default_factory=dict)


@dataclass(frozen=True)
class FallbackHosts:
    """Hosts that may use a floor, as the owner's membership names them.

    :param hosts: their names
    :param divisor: number by which a floor divides the rate
    """

    hosts: frozenset[HostId]
    divisor: int


def create_empty_state(group: int, fencing: int, now: float) -> OwnerState:
    """Return the state of a new owner without knowledge of the last one.

    :param group: number of the group
    :param fencing: fencing number of the new lease
    :param now: owner's time in seconds, when the old lease has ended
    """
    return OwnerState(group, fencing, now + GRANT_SECONDS)


def answer(
    state: OwnerState,
    sender: HostId,
    message: DemandRequest,
    limit_of: LimitOf,
    fallback_hosts: FallbackHosts,
    now: float,
) -> GrantAnswer:
    """Apply a request and return the grants.

    :param state: changed in place
    :param sender: requesting host
    :param message: its request
    :param limit_of: limits of organisations
    :param fallback_hosts: hosts that may use a floor
    :param now: owner's time in seconds
    """
    update_share(state, fallback_hosts, limit_of, now)
    found = _sender(state, (sender, Incarnation(message.incarnation)), now)
    found.heard_at = now
    if message.echo_fencing == state.fencing:
        _note_echo(found, message.echo_sequence)
        update_share(state, fallback_hosts, limit_of, now)
    fresh = message.sequence > found.last_sequence
    grants = []
    for demand in message.demands or []:
        key = BucketKey(OrganisationId(demand.organisation), bool(demand.batch))
        limit = limit_of(key.organisation)
        if limit is None:
            continue
        bucket = _advanced(state, _bucket_key(key, limit), limit, now)
        for usage in demand.usages or []:
            report(bucket, usage.grant_id, usage.spent, usage.returned, usage.refunded)
        if fresh:
            grants.append(_grant(state, sender, key, demand, limit, bucket, now))
    if fresh:
        found.last_sequence = message.sequence
        found.answers[message.sequence] = now
        while len(found.answers) > ANSWERS_KEPT:
            del found.answers[next(iter(found.answers))]
    return GrantAnswer(True, state.fencing, message.sequence, grants)


def update_share(
    state: OwnerState, fallback_hosts: FallbackHosts, limit_of: LimitOf, now: float
) -> None:
    """Follow a change of the floors; refill at the lower share until now.

    Between two messages promises only end, so that the lower of the two shares is
    right for the whole time between.

    :param state: changed in place
    :param fallback_hosts: hosts that may use a floor
    :param limit_of: limits of organisations
    :param now: owner's time in seconds
    """
    share = 1.0 - reserved_share(state, fallback_hosts, now)
    if share == state.share:
        return
    state.share = min(state.share, share)
    for key in state.buckets:
        limit = limit_of(key.organisation)
        if limit is not None:
            _advanced(state, key, limit, now)
    state.share, state.share_at = share, now


def reserved_share(
    state: OwnerState, fallback_hosts: FallbackHosts, now: float
) -> float:
    """Return the share of rate and burst that floors of other hosts may use.

    :param state: the owner's state
    :param fallback_hosts: hosts that may use a floor
    :param now: owner's time in seconds
    """
    missing = len(fallback_hosts.hosts - _promises(state, now).keys())
    return min(1.0, missing / max(1, fallback_hosts.divisor))


def hand_over(state: OwnerState, fallback_hosts: FallbackHosts, now: float) -> Handover:
    """Return everything that the next owner needs; this one must not grant again.

    :param state: the owner's state
    :param fallback_hosts: hosts that may use a floor
    :param now: owner's time in seconds
    """
    levels = []
    # A bucket that has granted nothing yet is opened empty by the next owner too.
    for key, bucket in state.buckets.items():
        outstanding = [
            OutstandingGrant(
                i,
                g.amount,
                int((g.ends_at - now) * 1000) + 1,
                g.spent,
                g.returned,
                g.refunded,
            )
            for i, g in bucket.grants.items()
            if g.ends_at >= now and g.left
        ]
        available = bucket.available if now >= state.opens_at else 0.0
        levels.append(Level(key.organisation, key.batch, available, outstanding))
    promises = {
        host: int((until - now) * 1000) for host, until in _promises(state, now).items()
    }
    share = min(state.share, 1.0 - reserved_share(state, fallback_hosts, now))
    return Handover(state.group, state.fencing, levels, share, promises)


def open_handed_over(
    message: Handover, fencing: int, asked_at: float, now: float
) -> OwnerState:
    """Return the state of an owner that follows a planned hand-over.

    Grants count from the receipt and promises from the request, so that a slow
    answer errs on the safe side in both.

    :param message: what the last owner answered after its last grant
    :param fencing: fencing number of the new lease, one above the last
    :param asked_at: local time at which the hand-over was requested
    :param now: local time of receipt in seconds
    """
    state = OwnerState(message.group, fencing, now)
    state.share, state.share_at = message.share or 0.0, now
    for name, left_ms in (message.promises_ms or {}).items():
        state.inherited[HostId(name)] = asked_at + left_ms / 1000
    for level in message.levels or []:
        key = BucketKey(OrganisationId(level.organisation), bool(level.batch))
        bucket = Bucket(level.available, now)
        for item in level.outstanding or []:
            ends_at = now + item.left_ms / 1000
            found = Outstanding(
                item.amount, ends_at, item.spent, item.returned, item.refunded
            )
            bucket.grants[item.grant_id] = found
            bucket.outstanding += found.left
        state.buckets[key] = bucket
    return state


def _promises(state: OwnerState, now: float) -> dict[HostId, float]:
    found = {host: until for host, until in state.inherited.items() if until > now}
    for (host, _), sender in state.senders.items():
        if sender.promised_until > now:
            found[host] = max(found.get(host, 0.0), sender.promised_until)
    return found


def _sender(state: OwnerState, key: tuple[HostId, Incarnation], now: float) -> Sender:
    found = state.senders.get(key)
    if found is None:
        if len(state.senders) >= MAX_SENDERS:
            for other, known in list(state.senders.items()):
                if now - known.heard_at > SENDER_SECONDS:
                    del state.senders[other]
        found = state.senders[key] = Sender()
    return found


def _note_echo(sender: Sender, sequence: int) -> None:
    sent_at = sender.answers.get(sequence)
    if sent_at is not None:
        until = sent_at + PROMISE_SECONDS
        sender.promised_until = max(sender.promised_until, until)


def _bucket_key(key: BucketKey, limit: Limit) -> BucketKey:
    separate = key.batch and limit.batch_rate is not None
    return BucketKey(key.organisation, separate)


def _advanced(state: OwnerState, key: BucketKey, limit: Limit, now: float) -> Bucket:
    rate, burst = limit.part(key.batch)
    bucket = state.buckets.get(key)
    if bucket is None:
        # The share before its last change may have been lower.
        bucket = Bucket(0.0, max(state.opens_at, state.share_at))
        state.buckets[key] = bucket
    if now >= state.opens_at:
        advance(bucket, rate * state.share, burst * state.share, now)
    return bucket


def _grant(
    state: OwnerState,
    sender: HostId,
    key: BucketKey,
    demand: Demand,
    limit: Limit,
    bucket: Bucket,
    now: float,
) -> Grant:
    rate, burst = limit.part(key.batch)
    free = bucket.available if now >= state.opens_at else 0.0
    if key.batch and limit.batch_rate is None:
        free -= _online_unmet(state, key.organisation, now)
        free -= burst * BATCH_HEADROOM
    # A token missing by rounding alone must not cost another round trip.
    amount = max(0, min(demand.wanted or 0, floor(free + 1e-9)))
    least = demand.least or 0
    missing = max(0, least - amount)
    if not key.batch:
        unmet = state.unmet.setdefault(key.organisation, {})
        unmet.pop(sender, None)
        if missing:
            unmet[sender] = now
    grant_id = 0
    if amount:
        state.next_grant += 1
        grant_id = (state.fencing << GRANT_ID_BITS) + state.next_grant
        grant(bucket, grant_id, amount, now)
    waiting = max(1, _online_unmet(state, key.organisation, now))
    wait = _wait_ms(missing, waiting - free + amount, rate * state.share)
    return Grant(key.organisation, key.batch, grant_id, amount, wait)


def _online_unmet(state: OwnerState, name: OrganisationId, now: float) -> int:
    waiting = state.unmet.get(name, {})
    return sum(1 for at in waiting.values() if now - at < UNMET_SECONDS)


def _wait_ms(missing: int, needed: float, rate: float) -> int:
    if not missing:
        return 0
    if rate <= 0:
        return MAX_WAIT_MS
    return int(min(MAX_WAIT_MS, max(MIN_WAIT_MS, needed / rate * 1000)))
