"""The known runners, from the platform's runner list."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.ids import FailureDomainId
    from primroseford.ids import PoolName
    from primroseford.ids import RunnerName

REREGISTRATION_SECONDS = 2.0
"""Time after a platform outage within which live runners are registered again, as the
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


@dataclass(frozen=True)
class RunnerEntry:
    """Entry of the runner list.

    :param slots: requests that the runner processes concurrently
    """

    key: RunnerKey
    pool: PoolName
    address: str
    failure_domain: FailureDomainId
    slots: int
    stage: RunnerStage


@dataclass
class RunnerList:
    """Runners to use, including those whose entries expired in a platform outage.

    :param entries: runners by name
    :param lapsed: local time in seconds until which a missing runner is still used
    :param returned_at: local time at which the last outage of the platform ended
    """

    entries: dict[RunnerName, RunnerEntry] = field(default_factory=dict)
    lapsed: dict[RunnerName, float] = field(default_factory=dict)
    returned_at: float = -math.inf

    def update(
        self, present: Iterable[RunnerEntry], removed: Iterable[RunnerName], now: float
    ) -> None:
        """Apply changes of the list.

        An entry that is removed in the first seconds after an outage may belong to a
        live runner that could not renew it. It is kept until the runner registers again
        or ``REREGISTRATION_SECONDS`` have passed.

        :param present: entries that were added or changed
        :param removed: runners that the list no longer has
        :param now: local time in seconds
        """
        for entry in present:
            self.entries[entry.key.name] = entry
            self.lapsed.pop(entry.key.name, None)
        until = self.returned_at + REREGISTRATION_SECONDS
        for name in removed:
            entry = self.entries.get(name)
            if entry is None:
                continue
            if now < until and entry.stage is RunnerStage.READY:
                self.lapsed.setdefault(name, until)
            else:
                self.remove(name)

    def record_outage_end(self, now: float) -> None:
        """Record that the platform is reachable again after an outage.

        :param now: local time in seconds
        """
        self.returned_at = now

    def expire(self, now: float) -> list[RunnerName]:
        """Remove the missing runners whose grace period is over and return their names.

        :param now: local time in seconds
        """
        expired = [name for name, until in self.lapsed.items() if until <= now]
        for name in expired:
            self.remove(name)
        return expired

    def remove(self, name: RunnerName) -> None:
        """Remove a runner until the list contains it again."""
        self.entries.pop(name, None)
        self.lapsed.pop(name, None)
