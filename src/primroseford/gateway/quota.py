"""Fleet-wide rate limits of organisations, from admission counts in heartbeats.

Each host has a token bucket for each organisation, refills it at the
organisation's rate, and deducts the admissions that other hosts report. This bounds an
organisation that sends several times its rate through all hosts at once. The shares of
hosts without recent heartbeats are subtracted from the rate, since such hosts may still
admit requests on the other side of a network partition.

In a large fleet the reports are some tenths of a second old. If an organisation asks
for more in that time than its bucket holds, the hosts together would use each token
several times. Each host then admits the fraction of the requests for which there are
tokens, by the demand that all hosts report, and at most its own share of the tokens.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import TYPE_CHECKING

from primroseford.gateway.placement import MAX_DIRECT_HOSTS

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


DEMAND_SECONDS = 1.0
"""Time constant of the mean rate of requests, and a number of report lags below."""
DEMAND_LAGS = 2.0


@dataclass
class DemandRate:
    """Exponentially weighted rate of requests.

    :param per_second: rate at the time of the last update
    :param updated_at: local time of the last update in seconds
    """

    per_second: float = 0.0
    updated_at: float = -math.inf

    def update(self, count: int, seconds: float, now: float) -> float:
        """Add requests and return the rate in requests per second.

        :param seconds: time constant of the mean
        :param now: local time in seconds
        """
        if now > self.updated_at:
            self.per_second *= math.exp((self.updated_at - now) / seconds)
            self.updated_at = now
        self.per_second += count / seconds
        return self.per_second


@dataclass
class Bucket:
    """Token bucket of one organisation on this host.

    :param level: tokens; negative while the hosts together have admitted too many
    :param updated_at: local time of the last refill in seconds
    :param last_admitted_at: local time of the last admission that each peer reported
    :param own_demand: rate of requests at this host, as old as that of the others
    :param counting_since: local time since which newer requests are counted
    :param newer: number of these
    :param rounding: random part of a token from 0 to 1, so that the shares of the hosts
        are rounded up as often as down
    :param peer_demand: rate of requests at the other hosts
    :param unreported: local times of own admissions that not all hosts may know of
    """

    level: float
    updated_at: float
    last_admitted_at: dict[HostId, float] = field(default_factory=dict)
    own_demand: DemandRate = field(default_factory=DemandRate)
    counting_since: float = -math.inf
    newer: int = 0
    rounding: float = 0.5
    peer_demand: DemandRate = field(default_factory=DemandRate)
    unreported: deque[float] = field(default_factory=deque)


@dataclass
class Quotas:
    """Token buckets of all organisations on one host.

    Each bucket is empty at the start of this host, since the admissions of other hosts
    before it are not known.

    :param started: local time of this host's start in seconds
    :param admitted: requests that this host admitted since its start, by organisation
    :param asked: requests that came to this host since its start, by organisation
    :param hosts: number of hosts, including those counted by ``silent``
    :param silent: number of hosts without recent heartbeats that may still admit
        requests at their share of the rate
    :param report_lag: seconds until all hosts know of an admission
    :param random: source of randomness
    """

    started: float
    buckets: dict[OrganisationId, Bucket] = field(default_factory=dict)
    admitted: dict[OrganisationId, int] = field(default_factory=dict)
    asked: dict[OrganisationId, int] = field(default_factory=dict)
    hosts: int = 1
    silent: int = 0
    report_lag: float = 0.0
    random: Random = field(default_factory=Random)

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
        bucket, name = self.refill(organisation, now), organisation.name
        self.asked[name] = self.asked.get(name, 0) + 1
        wait = self._wait_for_token(organisation, bucket, now)
        if wait > 0.0:
            return wait
        bucket.level -= 1
        bucket.unreported.append(now)
        self.admitted[name] = self.admitted.get(name, 0) + 1
        return 0.0

    @property
    def uses_shares(self) -> bool:
        """Whether the fleet is so large that hosts use shares of the tokens."""
        return self.hosts > MAX_DIRECT_HOSTS

    @property
    def _demand_seconds(self) -> float:
        return max(DEMAND_SECONDS, DEMAND_LAGS * self.report_lag)

    def _wait_for_token(
        self, organisation: Organisation, bucket: Bucket, now: float
    ) -> float:
        """Return the seconds after which to retry; 0.0 if a request may be admitted."""
        rate = max(self.effective_rate(organisation), organisation.rate / 100)
        if self.uses_shares:
            return self._missing_tokens(bucket, rate, now) / rate
        admitting_hosts = sum(
            now - at < ADMITTING_SECONDS for at in bucket.last_admitted_at.values()
        )
        needed = 1 + min(
            RESERVED_TOKENS_PER_HOST * admitting_hosts, organisation.burst / 2
        )
        return max(0.0, needed - bucket.level) / rate

    def _missing_tokens(self, bucket: Bucket, rate: float, now: float) -> float:
        """Return how many tokens a request lacks in a large fleet; 0.0 to admit it.

        :param rate: tokens that all hosts get per second
        :param now: local time in seconds
        """
        own = self._count_own(bucket, now)
        if bucket.level < 1:
            return 1 - bucket.level
        while bucket.unreported and now - bucket.unreported[0] >= self.report_lag:
            bucket.unreported.popleft()
        peers = bucket.peer_demand.update(0, self._demand_seconds, now)
        share = own / (own + peers) if own + peers > 0 else 1 / self.hosts
        # All hosts together may use these before they hear of each other's admissions.
        tokens = bucket.level + rate * self.report_lag
        unreported = len(bucket.unreported)
        own_tokens = share * (tokens + unreported)
        if unreported + 1 > max(1.0, own_tokens + bucket.rounding):
            return 1.0
        expected = (own + peers) * self.report_lag
        if self.random.random() * expected > tokens:
            return max(1.0, expected - tokens)
        return 0.0

    def _count_own(self, bucket: Bucket, now: float) -> float:
        """Count a request to this host and return their rate.

        The rate is as old as the reports of the other hosts, so that in a sudden surge
        no host takes its own requests for a larger share of all than they are.

        :param now: local time in seconds
        """
        if now - bucket.counting_since >= self.report_lag:
            bucket.own_demand.update(bucket.newer, self._demand_seconds, now)
            bucket.counting_since, bucket.newer = now, 0
            bucket.rounding = self.random.random()
        bucket.newer += 1
        return bucket.own_demand.update(0, self._demand_seconds, now)

    def refund(self, organisation: Organisation) -> None:
        """Refund the token of a request that did not run."""
        bucket = self.buckets.get(organisation.name)
        if bucket is not None:
            bucket.level = min(organisation.burst, bucket.level + 1)

    def note_peer_demand(
        self, organisation: Organisation, count: int, now: float
    ) -> None:
        """Record the requests that came to another host.

        :param count: requests since its last report
        :param now: local time in seconds
        """
        if count > 0 and organisation.rate > 0:
            bucket = self.refill(organisation, now)
            bucket.peer_demand.update(count, self._demand_seconds, now)

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
