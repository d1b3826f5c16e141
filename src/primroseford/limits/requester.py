"""The requesting side of the limits, as a pure state machine over messages."""

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

# Tokens are held for this time of the measured use, so that a busy host asks
# about ten times a second and a quiet one holds none.
LOOKAHEAD_SECONDS = 0.1
USAGE_SECONDS = 0.5
# A token unused for this time goes back while its grant still has time to run.
IDLE_SECONDS = 0.3
MAX_PENDING = 16
FLOOR_MARGIN_SECONDS = GRANT_SECONDS


@dataclass
class Held:
    """One grant on the requesting host.

    :param ends_at: local time from which no token of it is spent
    :param idle_at: local time from which unspent tokens go back
    :param reported: highest total of spent tokens sent to the owner
    :param given_back_sent: total of returns and refunds sent to the owner
    """

    grant_id: int
    amount: int
    ends_at: float
    idle_at: float
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    reported: int = 0
    given_back_sent: int = 0

    @property
    def left(self) -> int:
        """Tokens that can be spent."""
        return self.amount - self.spent - self.returned


@dataclass
class Account:
    """Tokens of one organisation and class of work on this host.

    :param held: unexpired grants, oldest first
    :param usage: measured tokens a second
    :param ask_at: local time before which the owner is not asked again
    :param report_at: local time before which a report alone is not sent; tokens
        that are spent and not reported keep the bucket from refilling
    :param floor: tokens of the floor
    :param floor_at: local time of the floor's last refill
    """

    held: dict[int, Held] = field(default_factory=dict)
    usage: float = 0.0
    usage_at: float = 0.0
    waiting: int = 0
    ask_at: float = 0.0
    report_at: float = 0.0
    short_since: float | None = None
    floor: float = 0.0
    floor_at: float = 0.0


@dataclass(frozen=True)
class Taken:
    """Tokens taken from one grant.

    :param held: the grant, or nothing if they came from the floor
    """

    held: Held | None
    amount: int


@dataclass
class RequesterState:
    """What a host holds and has asked for in one group.

    :param group: number of the group
    :param floor_from: local time from which the floor may be used
    :param pending: sequence to local time of unanswered requests
    """

    group: int
    incarnation: Incarnation
    floor_from: float
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
    """Return the state of a host that holds nothing.

    An earlier start of this host may have promised to use no floor.

    :param group: number of the group
    :param incarnation: start of the process
    :param now: local time in seconds
    """
    floor_from = now + PROMISE_SECONDS + FLOOR_MARGIN_SECONDS
    return RequesterState(group, incarnation, floor_from)


def account_of(state: RequesterState, key: BucketKey, now: float) -> Account:
    """Return the account of a key; a new one is empty."""
    found = state.accounts.get(key)
    if found is None:
        found = state.accounts[key] = Account(usage_at=now, floor_at=now)
    return found


def take(account: Account, amount: int, now: float) -> list[Taken] | None:
    """Spend tokens that the host holds, or return nothing if they are too few.

    :param account: changed in place
    :param amount: tokens
    :param now: local time in seconds
    """
    _drop_ended(account, now)
    missing = amount
    usable = []
    for held in account.held.values():
        left = held.amount - held.spent - held.returned
        if left > 0:
            usable.append(held)
            missing -= left
            if missing <= 0:
                break
    else:
        return None
    taken = []
    for held in usable:
        part = min(held.left, amount)
        held.spent += part
        amount -= part
        taken.append(Taken(held, part))
    return taken


def take_floor(
    state: RequesterState,
    account: Account,
    amount: int,
    rate: float,
    burst: float,
    now: float,
) -> list[Taken] | None:
    """Spend tokens of the floor, or return nothing if it is off or too low.

    :param rate: this host's share of the rate
    :param burst: this host's share of the burst
    """
    if now < state.floor_from:
        return None
    start = max(account.floor_at, state.floor_from)
    refilled = account.floor + rate * max(0.0, now - start)
    account.floor = min(burst, refilled)
    account.floor_at = now
    if account.floor < amount:
        return None
    account.floor -= amount
    return [Taken(None, amount)]


def refund(taken: list[Taken], now: float) -> None:
    """Give back tokens whose request did not run.

    A token whose spending the owner knows is refunded through the owner. Tokens of
    an ended grant or of the floor are lost.

    :param taken: what ``take`` returned
    :param now: local time in seconds
    """
    for part in taken:
        held = part.held
        if held is None or now >= held.ends_at:
            continue
        local = min(part.amount, held.spent - held.reported)
        held.spent -= local
        held.refunded += part.amount - local


def note_use(account: Account, amount: int, now: float) -> None:
    """Measure the use of an account as an exponential average.

    :param account: changed in place
    :param amount: tokens asked for
    :param now: local time in seconds
    """
    decay = exp(-max(0.0, now - account.usage_at) / USAGE_SECONDS)
    account.usage = account.usage * decay + amount / USAGE_SECONDS
    account.usage_at = now


def next_request(
    state: RequesterState, now: float, force: bool = False
) -> DemandRequest | None:
    """Return the request to send now, or nothing if there is no need.

    :param state: changed in place
    :param now: local time in seconds
    :param force: whether to send without need, as a sign of life
    """
    demands = []
    for key, account in list(state.accounts.items()):
        demand = _demand(key, account, now)
        if demand is not None:
            demands.append(demand)
        elif not account.held and not account.waiting and account.usage < 0.01:
            if now >= state.floor_from:
                continue
            if now - account.usage_at > PROMISE_SECONDS:
                del state.accounts[key]
    if not demands and not force:
        return None
    state.sequence += 1
    state.pending[state.sequence] = now
    while len(state.pending) > MAX_PENDING:
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
    """Apply an owner's answer; return whether the owner is a new one.

    Each request's answer counts once, and an older owner's answer not at all.

    :param state: changed in place
    :param owner: host that answered
    :param message: its answer
    :param now: local time in seconds
    """
    asked_at = state.pending.pop(message.sequence, None)
    if asked_at is None or not message.owner or message.fencing < state.fencing:
        return False
    changed = message.fencing > state.fencing
    if changed:
        state.owner_since = now
    state.owner, state.fencing = owner, message.fencing
    state.echo_sequence = message.sequence
    state.answered_at = now
    state.floor_from = now + PROMISE_SECONDS + FLOOR_MARGIN_SECONDS
    for account in state.accounts.values():
        account.floor = 0.0
    for item in message.grants or []:
        account = account_of(state, BucketKey(item.organisation, item.batch), now)
        if item.amount and now < asked_at + GRANT_SECONDS:
            account.held[item.grant_id] = Held(
                item.grant_id, item.amount, asked_at + GRANT_SECONDS, now + IDLE_SECONDS
            )
        account.ask_at = now + (item.wait_ms or 0) / 1000
        if not item.wait_ms:
            account.short_since = None
        elif account.short_since is None:
            account.short_since = now
    return changed


def _demand(key: BucketKey, account: Account, now: float) -> Demand | None:
    _drop_ended(account, now)
    decay = exp(-max(0.0, now - account.usage_at) / USAGE_SECONDS)
    usage = account.usage * decay
    ahead = int(usage * LOOKAHEAD_SECONDS)
    left = sum(held.left for held in account.held.values())
    idle = _return_idle(account, ahead, now)
    least = max(0, account.waiting - left)
    low = ahead and left < ceil(ahead / 2)
    ask = (least or low) and now >= account.ask_at
    unsent = any(
        held.refunded + held.returned > held.given_back_sent
        for held in account.held.values()
    )
    spent = any(held.spent > held.reported for held in account.held.values())
    due = (unsent or spent) and now >= account.report_at
    if not (ask or idle or due):
        return None
    account.report_at = now + LOOKAHEAD_SECONDS
    usages = []
    for held in account.held.values():
        usages.append(Usage(held.grant_id, held.spent, held.returned, held.refunded))
        held.reported = max(held.reported, held.spent)
        held.given_back_sent = held.refunded + held.returned
    wanted = max(0, account.waiting + ahead - left) if ask else 0
    return Demand(key.organisation, key.batch, wanted, least if ask else 0, usages)


def _return_idle(account: Account, ahead: int, now: float) -> bool:
    surplus = sum(held.left for held in account.held.values()) - account.waiting
    if ahead and surplus <= 2 * ahead:
        return False
    returned = False
    for held in account.held.values():
        if held.left and surplus > 0 and now >= held.idle_at:
            part = min(held.left, surplus)
            held.returned += part
            surplus -= part
            returned = True
    return returned


def _drop_ended(account: Account, now: float) -> None:
    ended = [i for i, held in account.held.items() if now >= held.ends_at]
    for grant_id in ended:
        del account.held[grant_id]
