"""Which runners exist, from the platform's list of them."""

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

RETURN_SECONDS = 2.0
"""Time after the platform's return in which the entries of live runners are back,
from the platform's description of its runner list."""


class RunnerStage(Enum):
    """Whether a runner takes new requests."""

    READY = "ready"
    DRAINING = "draining"


class RunnerKey(NamedTuple):
    """Identity of one start of a runner.

    :param born: Unix time of its start in milliseconds; a restart under the same
        name differs in this only
    """

    name: RunnerName
    born: int


@dataclass(frozen=True)
class RunnerEntry:
    """What the list says of one runner.

    :param slots: requests that it works on together
    """

    key: RunnerKey
    pool: PoolName
    address: str
    failure_domain: FailureDomainId
    slots: int
    stage: RunnerStage


@dataclass
class RunnerList:
    """Runners to use, and those whose entries vanished with the platform's outage.

    :param entries: runners by name
    :param lapsed: local time in seconds until which a missing runner is still used
    :param returned_at: local time of the platform's last return
    """

    entries: dict[RunnerName, RunnerEntry] = field(default_factory=dict)
    lapsed: dict[RunnerName, float] = field(default_factory=dict)
    returned_at: float = -math.inf

    def update(
        self, present: Iterable[RunnerEntry], removed: Iterable[RunnerName], now: float
    ) -> None:
        """Apply a step of the list.

        An entry that goes missing in the first seconds after an outage may be that of
        a live runner that could not renew it, so it is kept until it is back or the
        time for that is over.

        :param present: entries that were added or changed
        :param removed: runners that the list no longer has
        :param now: local time in seconds
        """
        for entry in present:
            self.entries[entry.key.name] = entry
            self.lapsed.pop(entry.key.name, None)
        until = self.returned_at + RETURN_SECONDS
        for name in removed:
            entry = self.entries.get(name)
            if entry is None:
                continue
            if now < until and entry.stage is RunnerStage.READY:
                self.lapsed.setdefault(name, until)
            else:
                self.drop(name)

    def platform_returned(self, now: float) -> None:
        """Note that the platform answers again after an outage.

        :param now: local time in seconds
        """
        self.returned_at = now

    def expire(self, now: float) -> list[RunnerName]:
        """Drop the missing runners whose time is over and return their names.

        :param now: local time in seconds
        """
        over = [name for name, until in self.lapsed.items() if until <= now]
        for name in over:
            self.drop(name)
        return over

    def drop(self, name: RunnerName) -> None:
        """Use a runner no more until the list names it again."""
        self.entries.pop(name, None)
        self.lapsed.pop(name, None)
