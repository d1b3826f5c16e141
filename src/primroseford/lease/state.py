"""Leases: the stored record and the state on the host that holds one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FencingNumber
from primroseford.ids import HostId
from primroseford.ids import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.ids import Version

LEASE_KIND = "leases"
NO_HOLDER = HostId("")
"""Holder of a released lease. The object is kept, because the next holder must exceed
its fencing number."""


DURATION_SECONDS = 3.0
RENEW_SECONDS = 1.0
MARGIN_SECONDS = 0.3
"""A tenth of the duration. Clock rates differ by far less; the rest covers the time
between a holder's check of the lease and the sending of a request under it."""


@dataclass(frozen=True)
class LeaseTimes:
    """Times of a lease, in seconds.

    :param duration: time after which an unchanged lease may be taken over
    :param renew: time between renewals
    :param margin: time before the end of the duration at which the holder treats the
        lease as expired
    """

    duration: float = DURATION_SECONDS
    renew: float = RENEW_SECONDS
    margin: float = MARGIN_SECONDS


@dataclass(frozen=True)
class LeaseRecord:
    """Content of a lease object.

    :param holder: host that holds the lease, or ``NO_HOLDER``
    :param incarnation: incarnation of the holder
    :param fencing: fencing number, incremented for each new holder
    :param duration_ms: time after which an unchanged lease may be taken over
    """

    holder: HostId
    incarnation: Incarnation
    fencing: FencingNumber
    duration_ms: int


class EndReason(Enum):
    """Why a lease is no longer held."""

    TAKEN = "taken"
    EXPIRED = "expired"
    RELEASED = "released"
    ABANDONED = "abandoned"


@dataclass(eq=False)
class Lease:
    """A lease that this host holds or held.

    Check ``valid`` immediately before an action under the lease, with no await between.

    :param name: name of the lease
    :param record: stored record
    :param version: version that the next renewal is conditional on
    :param valid_until: end of validity, in seconds of the local clock
    :param times: times that its renewals use
    :param on_loss: called once when the lease is taken over or expires
    :param end_reason: why the lease ended, or ``None`` while it is held
    """

    name: str
    record: LeaseRecord
    version: Version
    valid_until: float
    times: LeaseTimes
    on_loss: Callable[[Lease], None] | None = None
    end_reason: EndReason | None = None

    @property
    def fencing(self) -> FencingNumber:
        """Fencing number, which receivers of requests compare."""
        return self.record.fencing

    def remaining(self, now: float) -> float:
        """Return the remaining validity in seconds; 0 after the end."""
        return 0.0 if self.end_reason else max(0.0, self.valid_until - now)

    def valid(self, now: float) -> bool:
        """Return whether the holder may act under the lease at a local time."""
        return self.remaining(now) > 0


@dataclass(frozen=True)
class ObservedVersion:
    """The latest version of a lease that a waiting host has observed.

    :param version: the version
    :param first_observed_at: local time of its first observation, in seconds
    """

    version: Version
    first_observed_at: float


def decode_record(spec: dict[str, Any]) -> LeaseRecord:
    """Return the record in a lease object.

    :param spec: content of the object
    :raises PrimrosefordError: MALFORMED if a field is missing or of another type
    """
    try:
        return LeaseRecord(
            HostId(str(spec["holder"])),
            Incarnation(str(spec["incarnation"])),
            FencingNumber(int(spec["fencing"])),
            int(spec["duration_ms"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED,
            f"lease object has a missing or invalid field: {error}",
        ) from error


def encode_record(record: LeaseRecord) -> dict[str, Any]:
    """Return the content of a lease object."""
    return {
        "holder": record.holder,
        "incarnation": record.incarnation,
        "fencing": record.fencing,
        "duration_ms": record.duration_ms,
    }
