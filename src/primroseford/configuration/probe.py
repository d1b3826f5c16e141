"""Probes of other hosts by a host whose configuration is old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from primroseford.configuration.freshness import PROBE_SAMPLE_HOSTS
from primroseford.configuration.freshness import ProbeResult

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.configuration.gen import ttypes
    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo

    ProbeOne = Callable[[HostId], Awaitable[ttypes.ProbeAnswer | None]]


def sample_hosts(host: HostId, hosts: Sequence[HostInfo], number: int) -> list[HostId]:
    """Return the hosts to probe: all others, or a sample over all failure domains.

    :param host: the host that probes
    :param hosts: known hosts
    :param number: sequence number of the probe; it shifts the sample
    """
    others = sorted(
        (h for h in hosts if h.host_id != host),
        key=lambda h: (h.failure_domain, h.host_id),
    )
    if len(others) <= PROBE_SAMPLE_HOSTS:
        return [h.host_id for h in others]
    step = len(others) / PROBE_SAMPLE_HOSTS
    return [
        others[(int(i * step) + number) % len(others)].host_id
        for i in range(PROBE_SAMPLE_HOSTS)
    ]


async def probe_hosts(
    hosts: Sequence[HostId], at: float, probe_one: ProbeOne
) -> ProbeResult:
    """Query hosts for the age of their configuration.

    :param hosts: hosts to probe
    :param at: time at which the probe is sent
    :param probe_one: returns the answer of one host, or none
    """
    answers = await asyncio.gather(*(probe_one(host) for host in hosts))
    reached = [(h, a) for h, a in zip(hosts, answers, strict=True) if a is not None]
    confirmed = [(a.age_ms, h) for h, a in reached if a.age_ms >= 0]
    if not confirmed:
        return ProbeResult(at, len(hosts), len(reached))
    age_ms, freshest = min(confirmed)
    return ProbeResult(at, len(hosts), len(reached), freshest, age_ms / 1000)
