"""Hosts of the fleet and their states."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation


class HostState(Enum):
    """Whether a host takes new work."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


@dataclass(frozen=True)
class HostInfo:
    """One entry host.

    :param host_id: name of the host
    :param incarnation: unique for each start of the process
    :param address: IP number and port of the peer protocol
    :param failure_domain: failure domain from the host's settings
    :param state: whether the host takes new work
    """

    host_id: HostId
    incarnation: Incarnation
    address: str
    failure_domain: FailureDomainId
    state: HostState = HostState.LIVE


@dataclass(frozen=True)
class ListedHost:
    """A host in the platform's list, which may be out of date.

    :param name: name of the host
    :param address: address in the list
    :param entry: whether it is an entry host and not a backend server
    :param leaving: whether the platform is about to stop it
    """

    name: str
    address: str
    entry: bool
    leaving: bool
