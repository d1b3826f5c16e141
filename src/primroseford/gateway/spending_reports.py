"""What heartbeats tell of the requests of organisations, for their rate limits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.gateway.gen.messages.ttypes import Spending
from primroseford.gateway.relay import RELAY_SECONDS
from primroseford.ids import HostId
from primroseford.ids import OrganisationId

if TYPE_CHECKING:
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.state import Gateway

SPENDING_REPORT_SECONDS = 3.0
"""Time for which heartbeats report an organisation's count after its last change."""
RELAYS_BETWEEN_HOSTS = 2
"""Relays that a heartbeat passes on its way to another failure domain."""


class ReportedSpending(NamedTuple):
    """Requests of an organisation, as the last heartbeat reported them.

    :param admitted: requests admitted since the start of this host
    :param count: the count whose changes are reported
    :param since: local time of its last change in seconds
    """

    admitted: int
    count: int
    since: float


def report_lag(interval: float) -> float:
    """Return the seconds until all hosts of a large fleet know of an admission.

    :param interval: heartbeat interval in seconds
    """
    return interval + RELAYS_BETWEEN_HOSTS * RELAY_SECONDS


class SpendingReports:
    """Counts of requests that this host reports, and those that the others report.

    :ivar reported: what the last heartbeat of this host told, by organisation
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.reported: dict[OrganisationId, ReportedSpending] = {}

    def recent(self) -> list[Spending]:
        """Return the counts for a heartbeat of this host."""
        now, quotas = self.gateway.clock(), self.gateway.quotas
        spending = []
        # Refused requests matter only where shares follow from the demand.
        counts = quotas.asked if quotas.uses_shares else quotas.admitted
        for name, count in counts.items():
            last = self.reported.get(name, ReportedSpending(0, 0, now))
            admitted = quotas.admitted.get(name, 0)
            since = now if count != last.count else last.since
            self.reported[name] = ReportedSpending(admitted, count, since)
            if now - since < SPENDING_REPORT_SECONDS:
                asked = count if quotas.uses_shares else None
                fresh = admitted - last.admitted
                spending.append(Spending(name, admitted, fresh, asked))
        return spending

    def apply(self, heartbeat: Heartbeat, is_new: bool) -> None:
        """Apply the counts of another host.

        :param is_new: whether this is the first heartbeat of its process
        """
        gateway = self.gateway
        if gateway.tables is None:
            return
        host, now = HostId(heartbeat.host), gateway.clock()
        peer = gateway.members.peers[host]
        if is_new:
            peer.spending.clear()
            peer.asked.clear()
        for spending in heartbeat.spending:
            name = OrganisationId(spending.organisation)
            # In the first report of a host or organisation only the fresh admissions
            # count: the buckets have already recovered from earlier ones.
            count = spending.admitted - peer.spending.get(
                name, spending.admitted - spending.fresh
            )
            peer.spending[name] = spending.admitted
            # A host of an earlier release reports its admissions only.
            total = spending.asked or 0
            asked = max(count, total - peer.asked.get(name, total))
            peer.asked[name] = total
            if not asked:
                # Counts are reported for some time after their last change.
                continue
            organisation = gateway.tables.organisations.get(name)
            if organisation is not None:
                gateway.quotas.note_peer_demand(organisation, asked, now)
                gateway.quotas.deduct_peer_admissions(organisation, host, count, now)
