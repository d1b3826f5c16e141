"""Pure decisions of the lease protocol.

Holder and waiting hosts never compare clocks. The holder counts the duration from
before it sent a write; a waiting host counts it from after it read the result of
that write, which is later. The margin covers clocks that run at different rates.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.ids import FencingNumber
from primroseford.lease.state import FREE
from primroseford.lease.state import LeaseRecord
from primroseford.lease.state import LeaseTimes
from primroseford.lease.state import Sighting

if TYPE_CHECKING:
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation
    from primroseford.ids import Version


@dataclass(frozen=True)
class Wait:
    """The lease is not free yet.

    :param until: earliest time at which it can be taken if it does not change
    """

    until: float


@dataclass(frozen=True)
class Take:
    """Write this record on condition of a version.

    :param record: record of the new holder
    :param version: version read, or nothing to create the lease
    """

    record: LeaseRecord
    version: Version | None


def note_sighting(sighting: Sighting | None, version: Version, now: float) -> Sighting:
    """Return what a waiting host remembers after it saw a version.

    :param sighting: what it remembered before
    :param version: version that it saw
    :param now: local time after the answer arrived
    """
    if sighting is not None and sighting.version >= version:
        return sighting
    return Sighting(version, now)


def decide_acquire(
    holder: HostId,
    incarnation: Incarnation,
    found: LeaseRecord | None,
    sighting: Sighting | None,
    now: float,
    times: LeaseTimes,
    wait_out: float = 0.0,
) -> Take | Wait:
    """Return whether a host takes a lease now.

    :param holder: the host
    :param incarnation: its incarnation
    :param found: the stored record, or nothing if the lease was never held
    :param sighting: current version and when it was first seen
    :param now: local time
    :param times: times of the new lease
    :param wait_out: longest time in which an effect of the old holder can still
        arrive at a receiver that ignores fencing numbers
    """
    duration_ms = round(times.duration * 1000)
    if found is None or sighting is None:
        record = LeaseRecord(holder, incarnation, FencingNumber(1), duration_ms)
        return Take(record, None)
    if found.holder != FREE:
        until = sighting.first_seen + found.duration_ms / 1000 + wait_out
        if now < until:
            return Wait(until)
    fencing = FencingNumber(found.fencing + 1)
    record = LeaseRecord(holder, incarnation, fencing, duration_ms)
    return Take(record, sighting.version)


def valid_until(sent_at: float, times: LeaseTimes) -> float:
    """Return the end of validity after a write that succeeded.

    :param sent_at: local time before the write was sent
    :param times: times of the lease
    """
    return sent_at + times.duration - times.margin


def released(record: LeaseRecord) -> LeaseRecord:
    """Return the record of a lease that its holder gave up."""
    return replace(record, holder=FREE)


def is_own(found: LeaseRecord, held: LeaseRecord) -> bool:
    """Return whether a stored record is the one that this host holds."""
    return (found.holder, found.incarnation, found.fencing) == (
        held.holder,
        held.incarnation,
        held.fencing,
    )
