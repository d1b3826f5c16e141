"""Owner of the buckets of one group, as a pure state machine over messages.

The owner answers demand requests with grants. A host that gets no answers admits
requests from a fallback allowance: a fixed fraction of the rate and burst of each
bucket. By receiving an answer, a host promises not to use its fallback allowance for
a while; the owner grants only what the hosts without such a promise cannot use.
"""

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
from primroseford.limits.bucket import IssuedGrant
from primroseford.limits.bucket import Limit
from primroseford.limits.bucket import apply_usage
from primroseford.limits.bucket import issue_grant
from primroseford.limits.bucket import refill
from primroseford.limits.gen.messages.ttypes import Demand
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.limits.gen.messages.ttypes import Grant
from primroseford.limits.gen.messages.ttypes import GrantAnswer
from primroseford.limits.gen.messages.ttypes import Handover
from primroseford.limits.gen.messages.ttypes import Level
from primroseford.limits.gen.messages.ttypes import OutstandingGrant

if TYPE_CHECKING:
    from collections.abc import Callable

    LimitLookup = Callable[[OrganisationId], Limit | None]

# Time for which a host that received an answer does not use its fallback allowance.
# The owner counts it from the sending of an answer that the host has echoed.
PROMISE_SECONDS = 5.0
UNMET_DEMAND_SECONDS = 0.3
MAX_ANSWERS_PER_SENDER = 8
SENDER_RETENTION_SECONDS = 60.0
# Bounds of the retry interval of hosts that compete for the tokens of one bucket. The
# interval keeps the number of requests per second near the bucket's rate.
MIN_WAIT_MS = 20
MAX_WAIT_MS = 100
GRANT_ID_BITS = 32
MAX_GRANTING_MS = 3_600_000
# Fraction of the burst that batch leaves to online requests of the same bucket.
BATCH_HEADROOM_FRACTION = 0.125
MAX_SENDERS = 8192


@dataclass
class Sender:
    """State that the owner keeps for one incarnation of a requesting host.

    :param last_sequence: highest sequence number applied
    :param answers: owner's times of the latest answers by sequence number
    :param promised_until: owner's time until which the host does not use its
        fallback allowance
    :param last_request_at: owner's time of the last request
    """

    last_sequence: int = 0
    answers: dict[int, float] = field(default_factory=dict)
    promised_until: float = 0.0
    last_request_at: float = 0.0


@dataclass
class OwnerState:
    """State of one group under one fencing number.

    :param group: number of the group
    :param fencing: fencing number of the lease
    :param grants_start_at: owner's time before which nothing is granted
    :param senders: requesting hosts by name and incarnation
    :param unmet_demand: owner's times at which online demand of a host was not met
        in full
    :param next_grant: number of grants so far, the lower part of the grant ids
    :param grantable_share: fraction of rate and burst that is not reserved for
        fallback allowances
    :param share_changed_at: owner's time of the last change of that fraction
    :param inherited_promises: ends of the promises made to the previous owner, in
        this owner's time
    """

    group: int
    fencing: int
    grants_start_at: float
    buckets: dict[BucketKey, Bucket] = field(default_factory=dict)
    senders: dict[tuple[HostId, Incarnation], Sender] = field(default_factory=dict)
    unmet_demand: dict[OrganisationId, dict[HostId, float]] = field(
        default_factory=dict
    )
    next_grant: int = 0
    grantable_share: float = 0.0
    share_changed_at: float = 0.0
    inherited_promises: dict[HostId, float] = field(default_factory=dict)


@dataclass(frozen=True)
class FallbackHosts:
    """Hosts with a fallback allowance, from the owner's membership.

    :param hosts: names of the hosts
    :param divisor: number by which rate and burst are divided for the allowance of
        one host
    """

    hosts: frozenset[HostId]
    divisor: int


def create_empty_state(group: int, fencing: int, now: float) -> OwnerState:
    """Return the state of a new owner that has no state of the previous one.

    Nothing is granted until the grants of the previous owner have expired.

    :param group: number of the group
    :param fencing: fencing number of the new lease
    :param now: owner's time in seconds, after the end of the previous lease
    """
    return OwnerState(group, fencing, now + GRANT_SECONDS)


def answer(
    state: OwnerState,
    sender: HostId,
    message: DemandRequest,
    limit_lookup: LimitLookup,
    fallback_hosts: FallbackHosts,
    now: float,
) -> GrantAnswer:
    """Apply a request and return the grants.

    Usage in a repeated request is applied again, which is idempotent; demand is not.

    :param state: changed in place
    :param sender: requesting host
    :param message: its request
    :param limit_lookup: limits of organisations
    :param fallback_hosts: hosts with a fallback allowance
    :param now: owner's time in seconds
    """
    update_grantable_share(state, fallback_hosts, limit_lookup, now)
    requester = _get_sender(state, (sender, Incarnation(message.incarnation)), now)
    requester.last_request_at = now
    if message.echo_fencing == state.fencing:
        _record_echo(requester, message.echo_sequence)
        update_grantable_share(state, fallback_hosts, limit_lookup, now)
    fresh = message.sequence > requester.last_sequence
    grants = []
    for demand in message.demands or []:
        key = BucketKey(OrganisationId(demand.organisation), bool(demand.batch))
        limit = limit_lookup(key.organisation)
        if limit is None:
            continue
        bucket = _refilled_bucket(state, _bucket_key(key, limit), limit, now)
        for usage in demand.usages or []:
            apply_usage(
                bucket, usage.grant_id, usage.spent, usage.returned, usage.refunded
            )
        if fresh:
            grants.append(_grant(state, sender, key, demand, limit, bucket, now))
    if fresh:
        requester.last_sequence = message.sequence
        requester.answers[message.sequence] = now
        while len(requester.answers) > MAX_ANSWERS_PER_SENDER:
            del requester.answers[next(iter(requester.answers))]
    granting_ms = round(max(0.0, now - state.grants_start_at) * 1000)
    return GrantAnswer(
        True,
        state.fencing,
        message.sequence,
        grants,
        min(granting_ms, MAX_GRANTING_MS),
    )


def update_grantable_share(
    state: OwnerState,
    fallback_hosts: FallbackHosts,
    limit_lookup: LimitLookup,
    now: float,
) -> None:
    """Recompute the grantable share after promises or hosts have changed.

    The buckets are first refilled up to ``now`` at the lower of the old and the new
    share. Between two messages promises only expire, so the lower share is safe for
    the whole interval.

    :param state: changed in place
    :param fallback_hosts: hosts with a fallback allowance
    :param limit_lookup: limits of organisations
    :param now: owner's time in seconds
    """
    share = 1.0 - reserved_share(state, fallback_hosts, now)
    if share == state.grantable_share:
        return
    state.grantable_share = min(state.grantable_share, share)
    for key in state.buckets:
        limit = limit_lookup(key.organisation)
        if limit is not None:
            _refilled_bucket(state, key, limit, now)
    state.grantable_share, state.share_changed_at = share, now


def reserved_share(
    state: OwnerState, fallback_hosts: FallbackHosts, now: float
) -> float:
    """Return the fraction of rate and burst reserved for fallback allowances.

    :param state: the owner's state
    :param fallback_hosts: hosts with a fallback allowance
    :param now: owner's time in seconds
    """
    missing = len(fallback_hosts.hosts - _active_promises(state, now).keys())
    return min(1.0, missing / max(1, fallback_hosts.divisor))


def hand_over(state: OwnerState, fallback_hosts: FallbackHosts, now: float) -> Handover:
    """Return the state for the next owner; this owner must not grant afterwards.

    :param state: the owner's state
    :param fallback_hosts: hosts with a fallback allowance
    :param now: owner's time in seconds
    """
    levels = []
    # An owner that may not grant yet hands its buckets over empty.
    for key, bucket in state.buckets.items():
        outstanding = [
            OutstandingGrant(
                i,
                g.amount,
                int((g.expires_at - now) * 1000) + 1,
                g.spent,
                g.returned,
                g.refunded,
            )
            for i, g in bucket.grants.items()
            if g.expires_at >= now and g.unspent
        ]
        available = bucket.available if now >= state.grants_start_at else 0.0
        levels.append(Level(key.organisation, key.batch, available, outstanding))
    promises = {
        host: int((until - now) * 1000)
        for host, until in _active_promises(state, now).items()
    }
    share = min(state.grantable_share, 1.0 - reserved_share(state, fallback_hosts, now))
    return Handover(state.group, state.fencing, levels, share, promises)


def create_handed_over_state(
    message: Handover, fencing: int, requested_at: float, now: float
) -> OwnerState:
    """Return the state of the new owner after a planned hand-over.

    The remaining times of grants are counted from the receipt of the message and
    those of promises from the request for it, so that a slow answer is safe for both.

    :param message: state that the previous owner sent after its last grant
    :param fencing: fencing number of the new lease, one above the previous
    :param requested_at: local time at which the hand-over was requested
    :param now: local time of receipt in seconds
    """
    state = OwnerState(message.group, fencing, now)
    state.grantable_share, state.share_changed_at = message.share or 0.0, now
    for name, left_ms in (message.promises_ms or {}).items():
        state.inherited_promises[HostId(name)] = requested_at + left_ms / 1000
    for level in message.levels or []:
        key = BucketKey(OrganisationId(level.organisation), bool(level.batch))
        bucket = Bucket(level.available, now)
        for item in level.outstanding or []:
            expires_at = now + item.left_ms / 1000
            grant = IssuedGrant(
                item.amount, expires_at, item.spent, item.returned, item.refunded
            )
            bucket.grants[item.grant_id] = grant
            bucket.outstanding += grant.unspent
        state.buckets[key] = bucket
    return state


def _active_promises(state: OwnerState, now: float) -> dict[HostId, float]:
    promises = {
        host: until for host, until in state.inherited_promises.items() if until > now
    }
    for (host, _), sender in state.senders.items():
        if sender.promised_until > now:
            promises[host] = max(promises.get(host, 0.0), sender.promised_until)
    return promises


def _get_sender(
    state: OwnerState, key: tuple[HostId, Incarnation], now: float
) -> Sender:
    sender = state.senders.get(key)
    if sender is None:
        if len(state.senders) >= MAX_SENDERS:
            for other, known in list(state.senders.items()):
                if now - known.last_request_at > SENDER_RETENTION_SECONDS:
                    del state.senders[other]
        sender = state.senders[key] = Sender()
    return sender


def _record_echo(sender: Sender, sequence: int) -> None:
    sent_at = sender.answers.get(sequence)
    if sent_at is not None:
        until = sent_at + PROMISE_SECONDS
        sender.promised_until = max(sender.promised_until, until)


def _bucket_key(key: BucketKey, limit: Limit) -> BucketKey:
    separate = key.batch and limit.batch_rate is not None
    return BucketKey(key.organisation, separate)


def _refilled_bucket(
    state: OwnerState, key: BucketKey, limit: Limit, now: float
) -> Bucket:
    rate, burst = limit.rate_and_burst(key.batch)
    bucket = state.buckets.get(key)
    if bucket is None:
        # Refill no further back than the last change: the share may have been lower.
        bucket = Bucket(0.0, max(state.grants_start_at, state.share_changed_at))
        state.buckets[key] = bucket
    if now >= state.grants_start_at:
        refill(bucket, rate * state.grantable_share, burst * state.grantable_share, now)
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
    rate, burst = limit.rate_and_burst(key.batch)
    free = bucket.available if now >= state.grants_start_at else 0.0
    if key.batch and limit.batch_rate is None:
        free -= _count_unmet_online(state, key.organisation, now)
        free -= burst * BATCH_HEADROOM_FRACTION
    # The tolerance avoids another round trip for a token missing due to rounding.
    amount = max(0, min(demand.wanted or 0, floor(free + 1e-9)))
    minimum = demand.least or 0
    missing = max(0, minimum - amount)
    if not key.batch:
        unmet = state.unmet_demand.setdefault(key.organisation, {})
        unmet.pop(sender, None)
        if missing:
            unmet[sender] = now
    grant_id = 0
    if amount:
        state.next_grant += 1
        grant_id = (state.fencing << GRANT_ID_BITS) + state.next_grant
        issue_grant(bucket, grant_id, amount, now)
    waiting = max(1, _count_unmet_online(state, key.organisation, now))
    wait = _wait_ms(missing, waiting - free + amount, rate * state.grantable_share)
    return Grant(key.organisation, key.batch, grant_id, amount, wait)


def _count_unmet_online(state: OwnerState, name: OrganisationId, now: float) -> int:
    waiting = state.unmet_demand.get(name, {})
    return sum(1 for at in waiting.values() if now - at < UNMET_DEMAND_SECONDS)


def _wait_ms(missing: int, tokens_needed: float, rate: float) -> int:
    if not missing:
        return 0
    if rate <= 0:
        return MAX_WAIT_MS
    return int(min(MAX_WAIT_MS, max(MIN_WAIT_MS, tokens_needed / rate * 1000)))
