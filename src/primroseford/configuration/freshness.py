"""The freshness rule: when a host with an old configuration refuses requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from primroseford.ids import HostId

FRESHNESS_LIMIT_SECONDS = 5.0

PROBE_AFTER_SECONDS = 3.0
"""Age at which other hosts are probed, so that a result exists when the freshness
limit is reached."""

PROBE_VALID_SECONDS = 3.0
"""Age above which the result of a probe is ignored."""

PROBE_SAMPLE_HOSTS = 32
"""Hosts in one probe. If 1,500 hosts each probed all others, there would be more than
2 million calls."""


@dataclass(frozen=True)
class ProbeResult:
    """Result of a probe of other hosts.

    :param at: time at which the probe was sent
    :param probed: number of hosts that were probed
    :param reached: number of hosts that answered
    :param freshest: host with the most recently confirmed configuration
    :param freshest_age: seconds since that confirmation; none if no host that answered
        had one
    """

    at: float
    probed: int
    reached: int
    freshest: HostId | None = None
    freshest_age: float | None = None

    @property
    def reaches_half(self) -> bool:
        """Whether at least half of the probed hosts, including this one, answered."""
        return 2 * (self.reached + 1) >= self.probed + 1


def probe_due(age: float | None) -> bool:
    """Return whether a host must probe other hosts.

    :param age: seconds since the last confirmation
    """
    return age is None or age > PROBE_AFTER_SECONDS


def fresher_source(age: float | None, probe: ProbeResult | None) -> HostId | None:
    """Return the host to pull from if its configuration is fresher.

    :param age: age of this host's configuration in seconds
    :param probe: result of the last probe
    """
    if probe is None or probe.freshest_age is None:
        return None
    return probe.freshest if age is None or probe.freshest_age < age else None


def is_isolated(age: float | None, probe: ProbeResult | None, now: float) -> bool:
    """Return whether a host must refuse requests.

    A host with an old configuration and without a recent probe counts as isolated.

    :param age: seconds since the last confirmation
    :param probe: result of the last probe
    :param now: time in seconds
    """
    if age is not None and age <= FRESHNESS_LIMIT_SECONDS:
        return False
    if probe is None or now - probe.at > PROBE_VALID_SECONDS:
        return True
    return not probe.reaches_half


def isolation_error(has_configuration: bool) -> PrimrosefordError:
    """Return the error for requests to an isolated host.

    :param has_configuration: whether the host has any configuration
    """
    reason = (
        "the host's configuration is too old and too few other hosts are reachable"
        if has_configuration
        else "the host has not received its configuration yet"
    )
    return PrimrosefordError(
        ResultCode.HOST_ISOLATED,
        reason,
        hint="retry the request; the balancer will choose another host",
        outcome=Outcome.NOT_RUN,
        retry_after=1.0,
    )
