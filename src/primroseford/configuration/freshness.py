"""The freshness rule: when a host with an old configuration stops admitting."""

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
"""Age at which the other hosts are asked, so the answer is there at the limit."""

PROBE_VALID_SECONDS = 3.0
"""Age at which the result of a probe no longer says whom the host reaches."""

PROBE_SAMPLE = 32
"""Hosts asked in one probe; asking all 1,500 from all would be 2 million calls."""


@dataclass(frozen=True)
class ProbeResult:
    """Whom a host reached.

    :param at: time at which the probe was sent
    :param asked: hosts that were asked
    :param reached: hosts that answered
    :param freshest: the host that answered with the lowest age
    :param freshest_age: its age in seconds; nothing if no host was ever confirmed
    """

    at: float
    asked: int
    reached: int
    freshest: HostId | None = None
    freshest_age: float | None = None

    @property
    def reaches_half(self) -> bool:
        """Whether at least half of the known hosts, with itself, are in reach."""
        return 2 * (self.reached + 1) >= self.asked + 1


def probe_due(age: float | None) -> bool:
    """Return whether a host must find out whom it reaches.

    :param age: seconds since the last confirmation
    """
    return age is None or age > PROBE_AFTER_SECONDS


def source_of_fresher(age: float | None, probe: ProbeResult | None) -> HostId | None:
    """Return the host to take the configuration from, if one is fresher.

    :param age: own age in seconds
    :param probe: result of the last probe
    """
    if probe is None or probe.freshest_age is None:
        return None
    return probe.freshest if age is None or probe.freshest_age < age else None


def is_isolated(age: float | None, probe: ProbeResult | None, now: float) -> bool:
    """Return whether a host must stop admitting requests.

    Without a recent probe the host does not know whom it reaches, so it stops.

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
    """Return the refusal of a host that does not admit requests.

    :param has_configuration: whether the host has any configuration
    """
    reason = (
        "the host's configuration is too old and it reaches too few other hosts"
        if has_configuration
        else "the host has not received its configuration yet"
    )
    return PrimrosefordError(
        ResultCode.HOST_ISOLATED,
        reason,
        hint="send the request again; the balancer will choose another host",
        outcome=Outcome.NOT_RUN,
        retry_after=1.0,
    )
