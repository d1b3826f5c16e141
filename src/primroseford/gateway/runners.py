"""The known runners, from the platform's runner list."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.ids import SoftwareVersion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.ids import FailureDomainId
    from primroseford.ids import PoolName
    from primroseford.ids import RunnerName

RESTART_REPORT_SECONDS = 10.0
"""Time for which other hosts are told that a runner has started again, after its new
entry is known here. A host whose watch returns nothing lists the runners within 2 s."""
REREGISTRATION_SECONDS = 2.0
"""Time after a platform outage within which live runners register again, as the
platform specifies for its runner list."""


class RunnerStage(Enum):
    """Whether a runner accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class RunnerKey(NamedTuple):
    """Identity of one runner instance.

    :param born: Unix time of its start in milliseconds, which distinguishes restarts
        under the same name
    """

    name: RunnerName
    born: int


class RunnerRestart(NamedTuple):
    """A runner that serves as another instance than its entry describes.

    :param listed: start of the instance in the runner list, in Unix milliseconds
    :param born: start that the runner itself tells
    """

    name: RunnerName
    listed: int
    born: int


def unlisted_version(key: RunnerKey) -> SoftwareVersion:
    """Return what stands for the software version of an instance without an entry.

    It differs from that of every other instance: what it begins goes on nowhere else.
    """
    return SoftwareVersion(f"unlisted {key.name} {key.born}")


@dataclass(frozen=True)
class RunnerEntry:
    """Entry of the runner list.

    :param slots: requests that the runner processes concurrently
    :param cold_seconds: time for which it stays cold after the entry was written
    """

    key: RunnerKey
    pool: PoolName
    address: str
    failure_domain: FailureDomainId
    slots: int
    stage: RunnerStage
    version: SoftwareVersion
    cold_seconds: float = 0.0

    @property
    def is_unlisted(self) -> bool:
        """Whether the instance has not registered, so that its version is unknown."""
        return self.version == unlisted_version(self.key)

    def has_version(self, version: SoftwareVersion) -> bool:
        """Return whether the instance can continue what a version has begun.

        It can also continue what it began itself before its entry was known.
        """
        return version in (self.version, unlisted_version(self.key))


@dataclass
class RunnerList:
    """Runners that can be used, including those whose entries expired in a platform
    outage.

    :param entries: runners by name
    :param retained_until: local time in seconds until which a missing runner is still
        used
    :param outage_ended_at: local time at which the last outage of the platform ended
    :param superseded: instances that another one has replaced under their name, with
        the local time in seconds
    """

    entries: dict[RunnerName, RunnerEntry] = field(default_factory=dict)
    retained_until: dict[RunnerName, float] = field(default_factory=dict)
    outage_ended_at: float = -math.inf
    superseded: dict[RunnerKey, float] = field(default_factory=dict)

    def update(
        self, changed: Iterable[RunnerEntry], removed: Iterable[RunnerName], now: float
    ) -> None:
        """Apply changes of the list.

        If the entry of a ready runner is removed shortly after an outage, the runner
        may be live but unable to renew it. The entry is kept until the runner registers
        again or ``REREGISTRATION_SECONDS`` have passed since the outage. The entry of a
        draining runner is removed at once.

        :param changed: entries that were added or changed
        :param removed: runners that the list no longer has
        :param now: local time in seconds
        """
        for entry in changed:
            name = entry.key.name
            self.retained_until.pop(name, None)
            known = self.entries.get(name)
            if known is not None and known.key != entry.key:
                if entry.key in self.superseded:
                    # A late change by the instance before.
                    continue
                self.superseded[known.key] = now
            self.entries[name] = entry
        until = self.outage_ended_at + REREGISTRATION_SECONDS
        for name in removed:
            entry = self.entries.get(name)
            if entry is None:
                continue
            if now < until and entry.stage is RunnerStage.READY:
                self.retained_until.setdefault(name, until)
            else:
                self.remove(name)

    def record_restart(self, restart: RunnerRestart, now: float) -> bool:
        """Record that a runner serves as an instance that has not registered yet.

        :param now: local time in seconds
        :returns: whether this is new; it is not if its entry has changed meanwhile
        """
        entry = self.entries.get(restart.name)
        if entry is None or entry.key.born != restart.listed:
            return False
        key = RunnerKey(restart.name, restart.born)
        self.superseded[entry.key] = now
        self.entries[restart.name] = replace(
            entry, key=key, version=unlisted_version(key)
        )
        return True

    def restarts(self, now: float) -> list[RunnerRestart]:
        """Return the restarts that other hosts may not know.

        :param now: local time in seconds
        """
        found = []
        for key, at in list(self.superseded.items()):
            entry = self.entries.get(key.name)
            if entry is None or (
                now - at > RESTART_REPORT_SECONDS and not entry.is_unlisted
            ):
                del self.superseded[key]
            else:
                found.append(RunnerRestart(key.name, key.born, entry.key.born))
        return found

    def record_outage_end(self, now: float) -> None:
        """Record that the platform is reachable again after an outage.

        :param now: local time in seconds
        """
        self.outage_ended_at = now

    def expire(self, now: float) -> list[RunnerName]:
        """Remove the missing runners whose grace period is over and return their names.

        :param now: local time in seconds
        """
        expired = [name for name, until in self.retained_until.items() if until <= now]
        for name in expired:
            self.remove(name)
        return expired

    def remove(self, name: RunnerName) -> None:
        """Remove a runner until the list contains it again."""
        self.entries.pop(name, None)
        self.retained_until.pop(name, None)
