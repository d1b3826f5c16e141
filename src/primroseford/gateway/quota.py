"""Fleet-wide rate limits of organisations, from admission counts in heartbeats.

Each host has a token bucket for each organisation, refills it at the
organisation's rate, and deducts the admissions that other hosts report. This bounds an
organisation that sends several times its rate through all hosts at once. The shares of
hosts without recent heartbeats are subtracted from the rate, since such hosts may still
admit requests on the other side of a network partition.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.gateway.tables import Organisation
    from primroseford.ids import HostId
    from primroseford.ids import OrganisationId

MAX_DEBT_SECONDS = 5.0
"""Largest debt of a bucket, as seconds of the rate: the window in which the platform
counts requests."""
RESERVED_TOKENS_PER_HOST = 0.5
"""Tokens held in reserve for each other host that admits requests of the organisation,
since the last admissions of that host have not been reported yet."""
ADMITTING_SECONDS = 2.0
"""Time for which a host counts as admitting after its last reported admission."""


@dataclass
class Bucket:
    """Token bucket of one organisation on this host.

    :param level: tokens; negative while the hosts together have admitted too many
    :param updated_at: local time of the last refill in seconds
    :param last_admitted_at: local time of the last admission that each peer reported
    """

    level: float
    updated_at: float
    last_admitted_at: dict[HostId, float] = field(default_factory=dict)


@dataclass
class Quotas:
    """Token buckets of all organisations on one host.

    Each bucket is empty at the start of this host, since the admissions of other hosts
    before it are not known.

    :param started: local time of this host's start in seconds
    :param admitted: requests that this host admitted since its start, by organisation
    :param hosts: number of hosts, including those counted by ``silent``
    :param silent: number of hosts without recent heartbeats that may still admit
        requests at their share of the rate
    """

    started: float
    buckets: dict[OrganisationId, Bucket] = field(default_factory=dict)
    admitted: dict[OrganisationId, int] = field(default_factory=dict)
    hosts: int = 1
    silent: int = 0

    def effective_rate(self, organisation: Organisation) -> float:
        """Return the rate without the shares of hosts without recent heartbeats."""
        return organisation.rate * (1 - self.silent / max(1, self.hosts))

    def try_admit(self, organisation: Organisation, now: float) -> float:
        """Admit a request, or return the seconds after which to retry.

        :param now: local time in seconds
        :returns: 0.0 if the request is admitted
        """
        if organisation.rate <= 0:
            return 0.0
        bucket = self.refill(organisation, now)
        admitting_hosts = sum(
            now - at < ADMITTING_SECONDS for at in bucket.last_admitted_at.values()
        )
        needed = 1 + min(
            RESERVED_TOKENS_PER_HOST * admitting_hosts, organisation.burst / 2
        )
        if bucket.level < needed:
            rate = max(self.effective_rate(organisation), organisation.rate / 100)
            return (needed - bucket.level) / rate
        bucket.level -= 1
        self.admitted[organisation.name] = self.admitted.get(organisation.name, 0) + 1
        return 0.0

    def refund(self, organisation: Organisation) -> None:
        """Refund the token of a request that did not run."""
        bucket = self.buckets.get(organisation.name)
        if bucket is not None:
            bucket.level = min(organisation.burst, bucket.level + 1)

    def refill(self, organisation: Organisation, now: float) -> Bucket:
        """Refill the bucket of an organisation up to the current time and return it.

        :param now: local time in seconds
        """
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = self.buckets[organisation.name] = Bucket(0.0, self.started)
        elapsed = max(0.0, now - bucket.updated_at)
        refilled = bucket.level + elapsed * self.effective_rate(organisation)
        bucket.level = max(
            min(organisation.burst, refilled), -MAX_DEBT_SECONDS * organisation.rate
        )
        bucket.updated_at = now
        return bucket

    def deduct_peer_admissions(
        self, organisation: Organisation, host: HostId, count: int, now: float
    ) -> None:
        """Deduct the admissions that another host reports.

        :param count: requests admitted since its last report
        :param now: local time in seconds
        """
        if count <= 0 or organisation.rate <= 0:
            return
        bucket = self.refill(organisation, now)
        bucket.level -= count
        bucket.last_admitted_at[host] = now
