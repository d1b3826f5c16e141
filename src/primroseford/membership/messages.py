"""Conversion between ``HostInfo`` and the ``Member`` message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.membership.gen.messages.ttypes import Member
from primroseford.membership.state import HostInfo
from primroseford.membership.state import HostState

if TYPE_CHECKING:
    from primroseford.ids import FailureDomainId


def to_milliseconds(seconds: float) -> int:
    """Return an age in milliseconds, clamped to a 32-bit integer."""
    return max(0, min(int(seconds * 1000), 2**31 - 1))


def member_of(info: HostInfo, age_ms: int) -> Member:
    """Return the message form of a host.

    :param info: the host
    :param age_ms: milliseconds since its last heartbeat
    """
    leaving = info.state is HostState.LEAVING
    return Member(info.host_id, info.incarnation, info.address, leaving, age_ms)


def host_of(member: Member, domain: FailureDomainId) -> HostInfo:
    """Return the host in a message.

    :param member: the message form
    :param domain: failure domain of the host
    """
    return HostInfo(
        HostId(member.host_id),
        Incarnation(member.incarnation),
        member.address,
        domain,
        HostState.LEAVING if member.leaving else HostState.LIVE,
    )
