"""Pure decisions of the lease protocol.

The protocol does not compare clocks of different hosts. The holder counts
the duration from before it sends a write; a waiting host counts it from when it has
read the written record, which is later. So the lease expires for its holder before
another host can acquire it. The margin covers different rates of the hosts' clocks.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.ids import FencingNumber
from primroseford.lease.state import NO_HOLDER
from primroseford.lease.state import LeaseRecord
from primroseford.lease.state import LeaseTimes
from primroseford.lease.state import ObservedVersion

if TYPE_CHECKING:
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation
    from primroseford.ids import Version


@dataclass(frozen=True)
class Wait:
    """The lease is not free yet.

    :param until: local time from which it can be acquired if it does not change
    """

    until: float


@dataclass(frozen=True)
class WriteRecord:
    """Write a record by compare-and-set to acquire the lease.

    :param record: record of the new holder
    :param version: version that the write is conditional on, or ``None`` to create
        the object
    """

    record: LeaseRecord
    version: Version | None


def observe_version(
    observed: ObservedVersion | None, version: Version, now: float
) -> ObservedVersion:
    """Return the latest version observed by a waiting host.

    :param observed: latest version observed before, or ``None``
    :param version: version in the response or watch event
    :param now: local time after its arrival
    """
    if observed is not None and observed.version >= version:
        return observed
    return ObservedVersion(version, now)


def decide_acquire(
    holder: HostId,
    incarnation: Incarnation,
    stored: LeaseRecord | None,
    observed: ObservedVersion | None,
    now: float,
    times: LeaseTimes,
    effect_delay: float = 0.0,
) -> WriteRecord | Wait:
    """Return whether a host acquires a lease now or waits.

    :param holder: the host
    :param incarnation: its incarnation
    :param stored: the stored record, or ``None`` if the lease was never held
    :param observed: current version and when it was first observed
    :param now: local time
    :param times: times of the new lease
    :param effect_delay: longest time in seconds after the lease expires at which a
        request of the old holder may reach a receiver that ignores fencing numbers
    """
    duration_ms = round(times.duration * 1000)
    if stored is None or observed is None:
        record = LeaseRecord(holder, incarnation, FencingNumber(1), duration_ms)
        return WriteRecord(record, None)
    if stored.holder != NO_HOLDER:
        until = observed.first_observed_at + stored.duration_ms / 1000 + effect_delay
        if now < until:
            return Wait(until)
    fencing = FencingNumber(stored.fencing + 1)
    record = LeaseRecord(holder, incarnation, fencing, duration_ms)
    return WriteRecord(record, observed.version)


def valid_until(sent_at: float, times: LeaseTimes) -> float:
    """Return the local time at which a lease expires after a successful write.

    :param sent_at: local time before the write was sent
    :param times: times of the lease
    """
    return sent_at + times.duration - times.margin


def create_released_record(record: LeaseRecord) -> LeaseRecord:
    """Return the record of a released lease."""
    return replace(record, holder=NO_HOLDER)


def is_own_record(stored: LeaseRecord, held: LeaseRecord) -> bool:
    """Return whether a stored record belongs to the lease that this host holds."""
    return (stored.holder, stored.incarnation, stored.fencing) == (
        held.holder,
        held.incarnation,
        held.fencing,
    )
