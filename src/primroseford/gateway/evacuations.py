"""Failure domains whose runners get no new work at the operator's request."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.ids import FailureDomainId

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.gen.messages.ttypes import Heartbeat

MAX_REPORTED_DOMAINS = 40
"""Failure domains in one heartbeat, which must fit a datagram; the plan has 21."""


class EvacuationChange(NamedTuple):
    """Failure domains whose evacuation begins or ends with a newer list."""

    begun: frozenset[FailureDomainId]
    ended: frozenset[FailureDomainId]


@dataclass
class Evacuations:
    """The operator's list of evacuated failure domains, as far as it is known.

    :param followed: whether this deployment has evacuations
    :param since: local time in seconds at which each evacuation was learnt
    :param revision: revision of the store for which the list is valid; 0 if no list is
        known
    """

    followed: bool = False
    since: dict[FailureDomainId, float] = field(default_factory=dict)
    revision: int = 0

    @property
    def known(self) -> bool:
        """Whether the list is known, if there is one."""
        return self.revision > 0 or not self.followed

    def __contains__(self, domain: FailureDomainId) -> bool:
        return domain in self.since

    def update(
        self, domains: Collection[FailureDomainId], revision: int, now: float
    ) -> EvacuationChange | None:
        """Apply a list, unless a newer one is known.

        A list may come from the store or from another host, and late.

        :param domains: evacuated failure domains
        :param revision: revision of the store for which the list is valid
        :param now: local time in seconds
        :returns: the changes; ``None`` if there are none
        """
        if not self.followed or revision <= self.revision:
            return None
        self.revision = revision
        begun = frozenset(domains) - self.since.keys()
        ended = frozenset(self.since.keys()) - frozenset(domains)
        for domain in ended:
            del self.since[domain]
        self.since |= dict.fromkeys(begun, now)
        return EvacuationChange(begun, ended) if begun or ended else None

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the list to a heartbeat of this host."""
        if self.revision and len(self.since) <= MAX_REPORTED_DOMAINS:
            heartbeat.evacuated_domains = sorted(self.since)
            heartbeat.evacuations_revision = self.revision

    def apply_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> EvacuationChange | None:
        """Apply the list of another host; return the changes, if there are any.

        :param now: local time in seconds
        """
        domains = [FailureDomainId(name) for name in heartbeat.evacuated_domains or ()]
        return self.update(domains, heartbeat.evacuations_revision or 0, now)
