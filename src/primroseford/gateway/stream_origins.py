"""Origins of streams: the pool and the software version that began each of them.

A stream goes on only at the software version that began it. A caller may take one up at
another host, which has to know the origin although the first host may be gone. So each
host tells some others of the streams that it begins, chosen by rendezvous hashing on
the stream's id, and asks the hosts so chosen about a stream that it does not know.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NewType

from primroseford.gateway.placement import MAX_DIRECT_HOSTS
from primroseford.gateway.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseford.clock import Clock
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.ids import RequestId
    from primroseford.ids import SoftwareVersion

StreamKey = NewType("StreamKey", bytes)
"""Digest of the id of the request that brought a stream's first event."""

DIGEST_BYTES = 12
RETENTION_SECONDS = 30.0
"""Time after a request's deadline for which the origin of its stream is known."""
MAX_RETENTION_SECONDS = 3600.0
MAX_RECORDS = 20_000
"""Streams whose origins a host knows at most, about 6 MB; the oldest are dropped."""
HOLDER_DOMAINS = 4
"""Failure domains in which a host of a large fleet tells others of a stream."""
HOLDERS_IN_DOMAIN = 2
"""Hosts that are told in each of these domains. If three fifths of the fleet are lost
at once, one of eight is left in 49 of 50 cases."""
SPARE_DOMAINS = 1
"""Further failure domains in which hosts are asked: the choice moves to them when a
domain has no live host left."""
ASKED_IN_DOMAIN = 3
"""Hosts asked in each failure domain: the choice moves to the next ones when some are
lost or other hosts join."""
INFERRED_ATTEMPT = 0
"""Number that stands for the attempt of a stream whose origin has been inferred."""


@dataclass(frozen=True)
class StreamOrigin:
    """What began a stream.

    :param version: software version of the runner that made its first event
    :param attempt: number of the attempt within the request that began it, from 1, or
        ``INFERRED_ATTEMPT``
    :param begun: whether the attempt is known to have brought the first event. Hosts of
        earlier releases tell of attempts before that, which a later one may replace.
    """

    pool: PoolName
    version: SoftwareVersion
    attempt: int
    begun: bool = True

    def replaces(self, known: StreamOrigin | None) -> bool:
        """Return whether this origin is at least as certain as a known one."""
        if known is None:
            return True
        return (self.begun, self.attempt) >= (known.begun, known.attempt)


@dataclass(frozen=True)
class OriginRecord:
    """What a host knows of a stream's origin.

    :param expires_at: local time in seconds until which it is known
    :param is_own: whether the stream began at this host
    """

    origin: StreamOrigin
    expires_at: float
    is_own: bool


class StreamOrigins:
    """Origins that a host knows: of its own streams and of those it holds for others.

    :param clock: local time
    :ivar records: records by stream, oldest first
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.records: OrderedDict[StreamKey, OriginRecord] = OrderedDict()

    def record(
        self, key: StreamKey, origin: StreamOrigin, seconds: float, is_own: bool
    ) -> None:
        """Remember an origin, unless a later one of the same request is known.

        :param seconds: time for which it is remembered
        :param is_own: whether the stream began at this host
        """
        now = self.clock()
        known = self.find(key)
        if known is not None and not origin.replaces(known.origin):
            return
        expires_at = now + min(seconds, MAX_RETENTION_SECONDS)
        self.records[key] = OriginRecord(origin, expires_at, is_own)
        self.records.move_to_end(key)
        self._expire(now)

    def find(self, key: StreamKey) -> OriginRecord | None:
        """Return the record of a stream, or None."""
        record = self.records.get(key)
        if record is None or record.expires_at <= self.clock():
            return None
        return record

    def _expire(self, now: float) -> None:
        while self.records:
            key, record = next(iter(self.records.items()))
            if record.expires_at > now and len(self.records) <= MAX_RECORDS:
                return
            del self.records[key]


def stream_key(request_id: RequestId) -> StreamKey:
    """Return the key of the stream that a request has begun."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES)
    return StreamKey(digest.digest())


def choose_holders(
    key: StreamKey, hosts: Mapping[FailureDomainId, Sequence[HostId]]
) -> list[HostId]:
    """Return the hosts to tell of a stream: all of a small fleet.

    They are in different failure domains if possible, since the hosts of one may be
    lost together.

    :param hosts: live hosts by failure domain, without this one
    """
    everyone = _all_of_small_fleet(hosts)
    return everyone or _choose(key, hosts, HOLDER_DOMAINS, HOLDERS_IN_DOMAIN)


def choose_asked(
    key: StreamKey, hosts: Mapping[FailureDomainId, Sequence[HostId]]
) -> list[HostId]:
    """Return the hosts to ask about a stream: all of a small fleet.

    :param hosts: other hosts by failure domain, without this one
    """
    everyone = _all_of_small_fleet(hosts)
    domains = HOLDER_DOMAINS + SPARE_DOMAINS
    return everyone or _choose(key, hosts, domains, ASKED_IN_DOMAIN)


def _all_of_small_fleet(
    hosts: Mapping[FailureDomainId, Sequence[HostId]],
) -> list[HostId]:
    """Return all hosts if they are few, otherwise none."""
    if sum(len(members) for members in hosts.values()) >= MAX_DIRECT_HOSTS:
        return []
    return [host for members in hosts.values() for host in members]


def _choose(
    key: StreamKey,
    hosts: Mapping[FailureDomainId, Sequence[HostId]],
    domains: int,
    count: int,
) -> list[HostId]:
    name = key.hex()
    chosen = []
    for domain in ranked(name, hosts, str, domains, cached=False):
        chosen += ranked(name, hosts[domain], str, count, cached=False)
    return chosen
