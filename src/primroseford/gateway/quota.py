"""Rates of organisations over all hosts, from counts that the hosts tell each other.

Answers the load in which one organisation sends several times its rate through all
hosts at once, also while some hosts cannot hear the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.gateway.tables import Organisation
    from primroseford.ids import HostId
    from primroseford.ids import OrganisationId

DEBT_SECONDS = 5.0
"""Largest debt, as seconds of the rate: the window in which the platform counts."""
SHARED_RESERVE = 0.5
"""Tokens left for each other host that spends for the same organisation, since their
last admissions are not known yet."""
SPENDER_SECONDS = 2.0
"""Time for which a host counts as spending after its last known admission."""


@dataclass
class Bucket:
    """Tokens of one organisation as this host sees them.

    :param level: tokens; negative while hosts together have admitted too many
    :param at: local time of the level in seconds
    :param spenders: local time of the last admission that each peer told of
    """

    level: float
    at: float
    spenders: dict[HostId, float] = field(default_factory=dict)


@dataclass
class Quotas:
    """Buckets of all organisations on one host.

    Buckets were empty when this host started, since it cannot know what others admitted
    before, and have filled since.

    :param started: local time of this host's start in seconds
    :param admitted: requests that this host admitted since its start
    :param hosts: hosts of the fleet, silent ones included
    :param silent: hosts that are silent but may go on admitting at their share
    """

    started: float
    buckets: dict[OrganisationId, Bucket] = field(default_factory=dict)
    admitted: dict[OrganisationId, int] = field(default_factory=dict)
    hosts: int = 1
    silent: int = 0

    def effective_rate(self, organisation: Organisation) -> float:
        """Return the rate less the shares that silent hosts may be using."""
        return organisation.rate * (1 - self.silent / max(1, self.hosts))

    def try_admit(self, organisation: Organisation, now: float) -> float:
        """Admit a request, or return the seconds after which to ask again.

        :param now: local time in seconds
        :returns: 0.0 if the request is admitted
        """
        if organisation.rate <= 0:
            return 0.0
        bucket = self.refill(organisation, now)
        others = sum(now - at < SPENDER_SECONDS for at in bucket.spenders.values())
        needed = 1 + min(SHARED_RESERVE * others, organisation.burst / 2)
        if bucket.level < needed:
            rate = max(self.effective_rate(organisation), organisation.rate / 100)
            return (needed - bucket.level) / rate
        bucket.level -= 1
        self.admitted[organisation.name] = self.admitted.get(organisation.name, 0) + 1
        return 0.0

    def refund(self, organisation: Organisation) -> None:
        """Return the token of a request that did not run."""
        bucket = self.buckets.get(organisation.name)
        if bucket is not None:
            bucket.level = min(organisation.burst, bucket.level + 1)

    def refill(self, organisation: Organisation, now: float) -> Bucket:
        """Return the bucket at a later time.

        :param now: local time in seconds
        """
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = self.buckets[organisation.name] = Bucket(0.0, self.started)
        elapsed = max(0.0, now - bucket.at)
        grown = bucket.level + elapsed * self.effective_rate(organisation)
        bucket.level = max(
            min(organisation.burst, grown), -DEBT_SECONDS * organisation.rate
        )
        bucket.at = now
        return bucket

    def peer_admitted(
        self, organisation: Organisation, host: HostId, count: int, now: float
    ) -> None:
        """Take off what another host has admitted.

        :param count: requests since its last report
        :param now: local time in seconds
        """
        if count <= 0 or organisation.rate <= 0:
            return
        bucket = self.refill(organisation, now)
        bucket.level -= count
        bucket.spenders[host] = now
