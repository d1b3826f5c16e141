"""A token bucket whose tokens are granted ahead for a limited time."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from primroseford.ids import OrganisationId

# Longest time for which a host may spend a granted token. It bounds both the
# tokens lost with a host and the wait of a new owner.
GRANT_SECONDS = 1.0


class BucketKey(NamedTuple):
    """Organisation and class of work that a bucket or account is for."""

    organisation: OrganisationId
    batch: bool


@dataclass(frozen=True)
class Limit:
    """Rate and burst of one organisation.

    :param rate: tokens a second
    :param burst: most tokens at once
    :param batch_rate: tokens a second for batch; nothing if it shares the rate
    :param batch_burst: most batch tokens at once
    """

    rate: float
    burst: float
    batch_rate: float | None = None
    batch_burst: float | None = None

    def part(self, batch: bool) -> tuple[float, float]:
        """Return rate and burst of the bucket that serves a class of work."""
        if batch and self.batch_rate is not None:
            return self.batch_rate, self.batch_burst or self.batch_rate
        return self.rate, self.burst


@dataclass
class Outstanding:
    """A grant that its host may still spend.

    :param amount: tokens granted
    :param spent: tokens reported as spent
    :param returned: tokens that came back unspent
    :param refunded: spent tokens whose requests did not run
    :param room: least room of the bucket since tokens were reported as spent
    :param ends_at: owner's time after which the host cannot spend it any more
    """

    amount: int
    ends_at: float
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    room: float = float("inf")

    @property
    def left(self) -> int:
        """Tokens that the host may still spend."""
        return self.amount - self.spent - self.returned


@dataclass
class Bucket:
    """State of one bucket; ``available + outstanding <= burst`` always holds.

    :param available: tokens that can be granted
    :param refilled_at: owner's time of the last refill
    :param grants: unexpired grants by id
    :param outstanding: unreported tokens of all grants
    :param burst: most tokens at the last refill
    """

    available: float
    refilled_at: float
    grants: dict[int, Outstanding] = field(default_factory=dict)
    outstanding: int = 0
    burst: float = 0.0

    @property
    def room(self) -> float:
        """Tokens below the burst."""
        return max(0.0, self.burst - self.available - self.outstanding)


def advance(bucket: Bucket, rate: float, burst: float, now: float) -> None:
    """Refill a bucket and end the grants that have expired.

    A grant that ends unreported counts as spent.

    :param bucket: changed in place
    :param rate: tokens a second
    :param burst: most tokens, available and outstanding together
    :param now: owner's time in seconds
    """
    for grant_id, grant in list(bucket.grants.items()):
        if now <= grant.ends_at:
            break
        bucket.outstanding -= grant.left
        del bucket.grants[grant_id]
    room = max(0.0, burst - bucket.outstanding)
    refilled = bucket.available + rate * max(0.0, now - bucket.refilled_at)
    bucket.available = min(room, refilled)
    bucket.refilled_at = max(now, bucket.refilled_at)
    bucket.burst = burst
    left = bucket.room
    for grant in bucket.grants.values():
        if grant.spent > grant.refunded and grant.room > left:
            grant.room = left


def grant(bucket: Bucket, grant_id: int, amount: int, now: float) -> None:
    """Move available tokens to a grant.

    :param bucket: changed in place
    :param grant_id: unique id
    :param amount: tokens, at most those available
    :param now: owner's time in seconds
    """
    bucket.available -= amount
    bucket.outstanding += amount
    bucket.grants[grant_id] = Outstanding(amount, now + GRANT_SECONDS)


def report(
    bucket: Bucket, grant_id: int, spent: int, returned: int, refunded: int
) -> None:
    """Apply a host's totals of one grant; repeated totals change nothing.

    A refunded token comes back only as far as the bucket had room for it at every
    moment since it was reported as spent; otherwise the refill that filled the
    room would come on top of it.

    :param bucket: changed in place
    :param grant_id: id of the grant; an expired one counts as spent already
    :param spent: spent tokens so far
    :param returned: unspent tokens given back so far
    :param refunded: spent tokens given back so far
    """
    found = bucket.grants.get(grant_id)
    if found is None:
        return
    more = min(max(0, spent - found.spent), found.left)
    found.spent += more
    back = min(max(0, returned - found.returned), found.left)
    found.returned += back
    bucket.outstanding -= more + back
    bucket.available += back
    found.room = min(found.room, bucket.room)
    again = min(refunded, found.spent) - found.refunded
    if again > 0:
        found.refunded += again
        credit = min(float(again), found.room)
        bucket.available += credit
        for other in bucket.grants.values():
            other.room = max(0.0, other.room - credit)
