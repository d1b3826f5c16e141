"""Requester of tokens on one host, as a pure state machine over messages.

The host requests grants from the owner of a group, spends their tokens, and reports
cumulative usage. Without answers from an owner it admits requests from its fallback
allowance, a fixed fraction of the rate and burst of a bucket.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import ceil
from math import exp
from typing import TYPE_CHECKING

from primroseford.limits.bucket import GRANT_SECONDS
from primroseford.limits.bucket import BucketKey
from primroseford.limits.gen.messages.ttypes import Demand
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.limits.gen.messages.ttypes import GrantAnswer
from primroseford.limits.gen.messages.ttypes import Usage
from primroseford.limits.owner import PROMISE_SECONDS

if TYPE_CHECKING:
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation

# A host holds tokens for this time of measured use: a busy host sends about ten
# requests per second and an idle one holds no tokens.
LOOKAHEAD_SECONDS = 0.1
USAGE_TIME_CONSTANT_SECONDS = 0.5
# Unspent tokens are returned after this time, well before their grant expires.
IDLE_SECONDS = 0.3
MAX_PENDING_REQUESTS = 16
FALLBACK_MARGIN_SECONDS = GRANT_SECONDS


@dataclass
class HeldGrant:
    """A grant as its host records it.

    :param amount: tokens granted
    :param expires_at: local time from which no token of it is spent
    :param idle_at: local time from which unspent tokens are returned
    :param spent: tokens spent
    :param returned: tokens returned unspent
    :param refunded: tokens reported as spent whose requests did not run
    :param reported_spent: highest total of spent tokens sent to the owner
    :param reported_returns: total of returned and refunded tokens sent to the owner
    """

    grant_id: int
    amount: int
    expires_at: float
    idle_at: float
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    reported_spent: int = 0
    reported_returns: int = 0

    @property
    def unspent(self) -> int:
        """Tokens that can still be spent."""
        return self.amount - self.spent - self.returned


@dataclass
class Account:
    """Tokens of one organisation and class of work on this host.

    :param held_grants: unexpired grants by id, oldest first
    :param usage: measured use in tokens per second
    :param usage_at: local time of the last measurement
    :param waiting: tokens that waiting requests need
    :param next_request_at: local time before which no further tokens are requested
    :param next_report_at: local time before which usage alone is not reported. Spent
        tokens that are not reported count against the bucket, which cannot refill
        by them
    :param shortage_since: local time of the first of the successive answers that
        granted too few tokens, or ``None``
    :param fallback_tokens: tokens of the fallback allowance
    :param fallback_refilled_at: local time of their last refill
    """

    held_grants: dict[int, HeldGrant] = field(default_factory=dict)
    usage: float = 0.0
    usage_at: float = 0.0
    waiting: int = 0
    next_request_at: float = 0.0
    next_report_at: float = 0.0
    shortage_since: float | None = None
    fallback_tokens: float = 0.0
    fallback_refilled_at: float = 0.0


@dataclass(frozen=True)
class TakenTokens:
    """Tokens taken from one grant or from the fallback allowance.

    :param grant: the grant, or ``None`` for the fallback allowance
    """

    grant: HeldGrant | None
    amount: int


@dataclass
class RequesterState:
    """Accounts and unanswered requests of a host in one group.

    :param group: number of the group
    :param incarnation: incarnation of this host
    :param fallback_from: local time from which the fallback allowance may be used
    :param pending: local times of unanswered requests by sequence number
    :param owner: host that sent the last valid answer, or ``None`` if it is unknown
    :param fencing: highest fencing number of an owner that answered
    :param echo_sequence: sequence number of the last valid answer
    :param answered_at: local time of the last valid answer
    :param owner_since: local time since when the present owner grants tokens
    """

    group: int
    incarnation: Incarnation
    fallback_from: float
    accounts: dict[BucketKey, Account] = field(default_factory=dict)
    pending: dict[int, float] = field(default_factory=dict)
    sequence: int = 0
    owner: HostId | None = None
    fencing: int = 0
    echo_sequence: int = 0
    answered_at: float = float("-inf")
    owner_since: float = float("-inf")


def create_requester(
    group: int, incarnation: Incarnation, now: float
) -> RequesterState:
    """Return the state of a host without tokens.

    The fallback allowance is off at first, because an earlier incarnation of this
    host may have promised not to use it.

    :param group: number of the group
    :param incarnation: incarnation of this host
    :param now: local time in seconds
    """
    fallback_from = now + PROMISE_SECONDS + FALLBACK_MARGIN_SECONDS
    return RequesterState(group, incarnation, fallback_from)


def get_account(state: RequesterState, key: BucketKey, now: float) -> Account:
    """Return the account of a key; create an empty one if there is none."""
    account = state.accounts.get(key)
    if account is None:
        account = state.accounts[key] = Account(usage_at=now, fallback_refilled_at=now)
    return account


def take_tokens(account: Account, amount: int, now: float) -> list[TakenTokens] | None:
    """Spend tokens of held grants.

    :param account: changed in place
    :param amount: number of tokens
    :param now: local time in seconds
    :returns: the tokens by grant, or ``None`` if there are fewer than ``amount``
    """
    _drop_expired(account, now)
    missing = amount
    usable = []
    for grant in account.held_grants.values():
        left = grant.amount - grant.spent - grant.returned
        if left > 0:
            usable.append(grant)
            missing -= left
            if missing <= 0:
                break
    else:
        return None
    taken = []
    for grant in usable:
        part = min(grant.unspent, amount)
        grant.spent += part
        amount -= part
        taken.append(TakenTokens(grant, part))
    return taken


def take_fallback(
    state: RequesterState,
    account: Account,
    amount: int,
    rate: float,
    burst: float,
    now: float,
) -> list[TakenTokens] | None:
    """Spend tokens of the fallback allowance.

    :param state: state of the group
    :param account: changed in place
    :param amount: number of tokens
    :param rate: this host's part of the rate, in tokens per second
    :param burst: this host's part of the burst, in tokens
    :param now: local time in seconds
    :returns: the tokens, or ``None`` if the allowance is off or too low
    """
    if now < state.fallback_from:
        return None
    start = max(account.fallback_refilled_at, state.fallback_from)
    refilled = account.fallback_tokens + rate * max(0.0, now - start)
    account.fallback_tokens = min(burst, refilled)
    account.fallback_refilled_at = now
    if account.fallback_tokens < amount:
        return None
    account.fallback_tokens -= amount
    return [TakenTokens(None, amount)]


def refund(taken: list[TakenTokens], now: float) -> None:
    """Refund the tokens of a request that did not run.

    Tokens not yet reported as spent become unspent again; for reported ones the
    refund is reported to the owner. Tokens of an expired grant or of the fallback
    allowance are lost.

    :param taken: result of ``take_tokens`` or ``take_fallback``
    :param now: local time in seconds
    """
    for part in taken:
        grant = part.grant
        if grant is None or now >= grant.expires_at:
            continue
        local = min(part.amount, grant.spent - grant.reported_spent)
        grant.spent -= local
        grant.refunded += part.amount - local


def record_use(account: Account, amount: int, now: float) -> None:
    """Update the exponentially weighted average of an account's use.

    :param account: changed in place
    :param amount: number of tokens requested
    :param now: local time in seconds
    """
    decay = exp(-max(0.0, now - account.usage_at) / USAGE_TIME_CONSTANT_SECONDS)
    account.usage = account.usage * decay + amount / USAGE_TIME_CONSTANT_SECONDS
    account.usage_at = now


def next_request(
    state: RequesterState, now: float, force: bool = False
) -> DemandRequest | None:
    """Return the request to send now, or ``None`` if nothing has to be sent.

    :param state: changed in place
    :param now: local time in seconds
    :param force: whether to return a request in any case, as a keep-alive
    """
    demands = []
    for key, account in list(state.accounts.items()):
        demand = _create_demand(key, account, now)
        if demand is not None:
            demands.append(demand)
        elif not account.held_grants and not account.waiting and account.usage < 0.01:
            if now >= state.fallback_from:
                continue
            if now - account.usage_at > PROMISE_SECONDS:
                del state.accounts[key]
    if not demands and not force:
        return None
    state.sequence += 1
    state.pending[state.sequence] = now
    while len(state.pending) > MAX_PENDING_REQUESTS:
        del state.pending[next(iter(state.pending))]
    return DemandRequest(
        state.group,
        state.sequence,
        state.incarnation,
        state.fencing,
        state.echo_sequence,
        demands,
    )


def apply_answer(
    state: RequesterState, owner: HostId, message: GrantAnswer, now: float
) -> bool:
    """Apply an owner's answer; return whether its fencing number is new.

    Repeated answers to a request and answers of earlier owners are ignored.

    :param state: changed in place
    :param owner: host that answered
    :param message: its answer
    :param now: local time in seconds
    """
    requested_at = state.pending.pop(message.sequence, None)
    if requested_at is None or not message.owner or message.fencing < state.fencing:
        return False
    changed = message.fencing > state.fencing
    if changed:
        # A host whose first request this is may find an owner that grants for long.
        state.owner_since = now - (message.granting_ms or 0) / 1000
    state.owner, state.fencing = owner, message.fencing
    state.echo_sequence = message.sequence
    state.answered_at = now
    state.fallback_from = now + PROMISE_SECONDS + FALLBACK_MARGIN_SECONDS
    for account in state.accounts.values():
        account.fallback_tokens = 0.0
    for item in message.grants or []:
        account = get_account(state, BucketKey(item.organisation, item.batch), now)
        if item.amount and now < requested_at + GRANT_SECONDS:
            account.held_grants[item.grant_id] = HeldGrant(
                item.grant_id,
                item.amount,
                requested_at + GRANT_SECONDS,
                now + IDLE_SECONDS,
            )
        account.next_request_at = now + (item.wait_ms or 0) / 1000
        if not item.wait_ms:
            account.shortage_since = None
        elif account.shortage_since is None:
            account.shortage_since = now
    return changed


def _create_demand(key: BucketKey, account: Account, now: float) -> Demand | None:
    _drop_expired(account, now)
    decay = exp(-max(0.0, now - account.usage_at) / USAGE_TIME_CONSTANT_SECONDS)
    usage = account.usage * decay
    lookahead = int(usage * LOOKAHEAD_SECONDS)
    left = sum(grant.unspent for grant in account.held_grants.values())
    idle = _return_idle(account, lookahead, now)
    least = max(0, account.waiting - left)
    low = lookahead and left < ceil(lookahead / 2)
    needs_tokens = (least or low) and now >= account.next_request_at
    unsent = any(
        grant.refunded + grant.returned > grant.reported_returns
        for grant in account.held_grants.values()
    )
    spent = any(
        grant.spent > grant.reported_spent for grant in account.held_grants.values()
    )
    due = (unsent or spent) and now >= account.next_report_at
    if not (needs_tokens or idle or due):
        return None
    account.next_report_at = now + LOOKAHEAD_SECONDS
    usages = []
    for grant in account.held_grants.values():
        usages.append(
            Usage(grant.grant_id, grant.spent, grant.returned, grant.refunded)
        )
        grant.reported_spent = max(grant.reported_spent, grant.spent)
        grant.reported_returns = grant.refunded + grant.returned
    wanted = max(0, account.waiting + lookahead - left) if needs_tokens else 0
    return Demand(
        key.organisation, key.batch, wanted, least if needs_tokens else 0, usages
    )


def _return_idle(account: Account, lookahead: int, now: float) -> bool:
    surplus = (
        sum(grant.unspent for grant in account.held_grants.values()) - account.waiting
    )
    if lookahead and surplus <= 2 * lookahead:
        return False
    returned = False
    for grant in account.held_grants.values():
        if grant.unspent and surplus > 0 and now >= grant.idle_at:
            part = min(grant.unspent, surplus)
            grant.returned += part
            surplus -= part
            returned = True
    return returned


def _drop_expired(account: Account, now: float) -> None:
    expired = [i for i, grant in account.held_grants.items() if now >= grant.expires_at]
    for grant_id in expired:
        del account.held_grants[grant_id]
