"""Token bucket whose owner grants tokens to other hosts for a limited time.

A granted token stays counted against the burst until its host reports it as spent,
returns it or the grant expires.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from primroseford.ids import OrganisationId

# Lifetime of a grant. Bounds both the tokens lost when a host crashes and the time
# that a new owner waits before its first grant.
GRANT_SECONDS = 1.0


class BucketKey(NamedTuple):
    """Key of a bucket or account: the organisation and the class of work."""

    organisation: OrganisationId
    batch: bool


@dataclass(frozen=True)
class Limit:
    """Rate limits of one organisation.

    :param rate: tokens per second
    :param burst: capacity of the bucket in tokens
    :param batch_rate: tokens per second for batch; ``None`` if batch and online
        requests share one bucket
    :param batch_burst: capacity of the batch bucket in tokens
    """

    rate: float
    burst: float
    batch_rate: float | None = None
    batch_burst: float | None = None

    def rate_and_burst(self, batch: bool) -> tuple[float, float]:
        """Return rate and burst of the bucket for batch or online requests."""
        if batch and self.batch_rate is not None:
            return self.batch_rate, self.batch_burst or self.batch_rate
        return self.rate, self.burst


@dataclass
class IssuedGrant:
    """An unexpired grant, as the owner records it.

    :param amount: tokens granted
    :param spent: tokens reported as spent
    :param returned: tokens returned unspent
    :param refunded: spent tokens whose requests did not run
    :param refund_limit: lowest free capacity of the bucket since tokens were
        reported as spent; limits the tokens that a refund credits
    :param expires_at: owner's time after which the host cannot spend the grant
    """

    amount: int
    expires_at: float
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    refund_limit: float = float("inf")

    @property
    def unspent(self) -> int:
        """Tokens not yet reported as spent or returned."""
        return self.amount - self.spent - self.returned


@dataclass
class Bucket:
    """State of one bucket; the invariant is ``available + outstanding <= burst``.

    :param available: tokens that can be granted
    :param refilled_at: owner's time of the last refill
    :param grants: unexpired grants by id, oldest first
    :param outstanding: unspent tokens of all grants
    :param burst: capacity in tokens at the last refill
    """

    available: float
    refilled_at: float
    grants: dict[int, IssuedGrant] = field(default_factory=dict)
    outstanding: int = 0
    burst: float = 0.0

    @property
    def free_capacity(self) -> float:
        """Tokens that can be added before the bucket is full."""
        return max(0.0, self.burst - self.available - self.outstanding)


def refill(bucket: Bucket, rate: float, burst: float, now: float) -> None:
    """Refill a bucket and remove expired grants.

    Unreported tokens of an expired grant count as spent.

    :param bucket: changed in place
    :param rate: tokens per second
    :param burst: limit of available and outstanding tokens together
    :param now: owner's time in seconds
    """
    for grant_id, grant in list(bucket.grants.items()):
        if now <= grant.expires_at:
            break
        bucket.outstanding -= grant.unspent
        del bucket.grants[grant_id]
    capacity = max(0.0, burst - bucket.outstanding)
    refilled = bucket.available + rate * max(0.0, now - bucket.refilled_at)
    bucket.available = min(capacity, refilled)
    bucket.refilled_at = max(now, bucket.refilled_at)
    bucket.burst = burst
    free = bucket.free_capacity
    for grant in bucket.grants.values():
        if grant.spent > grant.refunded and grant.refund_limit > free:
            grant.refund_limit = free


def issue_grant(bucket: Bucket, grant_id: int, amount: int, now: float) -> None:
    """Move available tokens to a new grant.

    :param bucket: changed in place
    :param grant_id: unique id
    :param amount: number of tokens, at most ``bucket.available``
    :param now: owner's time in seconds
    """
    bucket.available -= amount
    bucket.outstanding += amount
    bucket.grants[grant_id] = IssuedGrant(amount, now + GRANT_SECONDS)


def apply_usage(
    bucket: Bucket, grant_id: int, spent: int, returned: int, refunded: int
) -> None:
    """Apply a host's cumulative usage of one grant. Idempotent.

    A refund is credited only up to the lowest free capacity that the bucket had
    since the tokens were reported as spent. If the bucket was refilled meanwhile,
    crediting the refund as well would admit more than the burst.

    :param bucket: changed in place
    :param grant_id: id of the grant; ignored if it has expired, because its tokens
        already count as spent
    :param spent: total of spent tokens
    :param returned: total of tokens returned unspent
    :param refunded: total of spent tokens whose requests did not run
    """
    grant = bucket.grants.get(grant_id)
    if grant is None:
        return
    newly_spent = min(max(0, spent - grant.spent), grant.unspent)
    grant.spent += newly_spent
    newly_returned = min(max(0, returned - grant.returned), grant.unspent)
    grant.returned += newly_returned
    bucket.outstanding -= newly_spent + newly_returned
    bucket.available += newly_returned
    grant.refund_limit = min(grant.refund_limit, bucket.free_capacity)
    newly_refunded = min(refunded, grant.spent) - grant.refunded
    if newly_refunded > 0:
        grant.refunded += newly_refunded
        credit = min(float(newly_refunded), grant.refund_limit)
        bucket.available += credit
        for other in bucket.grants.values():
            other.refund_limit = max(0.0, other.refund_limit - credit)
