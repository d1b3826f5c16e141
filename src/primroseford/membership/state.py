"""Hosts as the members of the fleet see them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation


class HostState(Enum):
    """Whether a host takes new duties."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, order=True)
class HostInfo:
    """One entry host.

    :param host_id: name of the host
    :param incarnation: unique for each start of the process
    :param address: IP number and port of the peer protocol
    :param failure_domain: failure domain from the host's settings
    """

    host_id: HostId
    incarnation: Incarnation
    address: str
    failure_domain: FailureDomainId
    state: HostState = HostState.LIVE
