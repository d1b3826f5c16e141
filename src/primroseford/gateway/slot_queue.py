"""Queue of the requests that wait for a runner slot of one pool."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.online.fair_queue import FairQueue

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Container

    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import PromptPartId
    from primroseford.ids import SoftwareVersion


@dataclass(eq=False)
class Waiter:
    """A request in the queue of a pool.

    :param future: resolves to the runner whose slot was reserved
    :param tried: runner instances that failed this request
    :param prefix_key: cache key of its shared prompt prefix; empty if there is none
    :param subjects: what a quarantine of it could concern
    :param version: the only software version that may serve it; ``None`` for any
    """

    future: asyncio.Future[RunnerState]
    tried: Collection[RunnerKey]
    prefix_key: str
    subjects: Container[PromptPartId]
    version: SoftwareVersion | None = None


class SlotQueue(FairQueue[Waiter]):
    """Fair queue that counts the waiting requests by software version.

    :ivar versions: number of waiting requests that need a version, by version
    """

    def __init__(self) -> None:
        super().__init__()
        self.versions: Counter[SoftwareVersion] = Counter()

    @property
    def unversioned(self) -> int:
        """Number of waiting requests that any version may serve."""
        return self.size - self.versions.total()

    def has_waiter_for(self, version: SoftwareVersion) -> bool:
        """Return whether a runner of a version could serve a waiting request."""
        return version in self.versions or self.unversioned > 0

    def push(self, organisation: str, item: Waiter) -> None:
        """Append a request to the queue of its organisation."""
        super().push(organisation, item)
        if item.version is not None:
            self.versions[item.version] += 1

    def pop(self) -> Waiter:
        """Remove and return the first request of the next organisation.

        :raises IndexError: if the queue is empty
        """
        waiter = super().pop()
        self._discount(waiter)
        return waiter

    def pop_first(self, accepts: Callable[[Waiter], bool]) -> Waiter | None:
        """Remove and return the first request in fair order that is accepted."""
        waiter = super().pop_first(accepts)
        if waiter is not None:
            self._discount(waiter)
        return waiter

    def remove(self, organisation: str, item: Waiter) -> bool:
        """Remove a request wherever it is in the queue.

        :returns: whether it was in the queue
        """
        removed = super().remove(organisation, item)
        if removed:
            self._discount(item)
        return removed

    def _discount(self, waiter: Waiter) -> None:
        if waiter.version is None:
            return
        self.versions[waiter.version] -= 1
        if not self.versions[waiter.version]:
            del self.versions[waiter.version]
