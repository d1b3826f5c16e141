"""Queue that is fair between organisations."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Round-robin queue over the waiting organisations.

    Every online request has the same cost, so deficit round robin would be no different
    from plain round robin.
    """

    def __init__(self) -> None:
        self.by_organisation: dict[str, deque[Item]] = {}
        self.rotation: deque[str] = deque()
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def push(self, organisation: str, item: Item) -> None:
        """Append an item to the queue of its organisation."""
        waiting = self.by_organisation.get(organisation)
        if waiting is None:
            waiting = self.by_organisation[organisation] = deque()
            self.rotation.append(organisation)
        waiting.append(item)
        self.size += 1

    def pop(self) -> Item:
        """Remove and return the first item of the next organisation.

        :raises IndexError: if the queue is empty
        """
        organisation = self.rotation.popleft()
        waiting = self.by_organisation[organisation]
        item = waiting.popleft()
        self.size -= 1
        if waiting:
            self.rotation.append(organisation)
        else:
            del self.by_organisation[organisation]
        return item

    def pop_first(self, accepts: Callable[[Item], bool]) -> Item | None:
        """Remove and return the first item in fair order that is accepted, if any.

        The items that are passed over, and their organisations, keep their places.

        :param accepts: whether an item may be removed now
        """
        for place, organisation in enumerate(self.rotation):
            waiting = self.by_organisation[organisation]
            numbered = enumerate(waiting)
            index = next((n for n, item in numbered if accepts(item)), None)
            if index is None:
                continue
            item = waiting[index]
            del waiting[index]
            del self.rotation[place]
            self.size -= 1
            if waiting:
                self.rotation.append(organisation)
            else:
                del self.by_organisation[organisation]
            return item
        return None

    def __iter__(self) -> Iterator[Item]:
        """Iterate over all items, in no particular order."""
        for waiting in self.by_organisation.values():
            yield from waiting

    def remove(self, organisation: str, item: Item) -> bool:
        """Remove an item wherever it is in the queue.

        :returns: whether it was in the queue
        """
        waiting = self.by_organisation.get(organisation)
        if waiting is None or item not in waiting:
            return False
        waiting.remove(item)
        self.size -= 1
        if not waiting:
            del self.by_organisation[organisation]
            self.rotation.remove(organisation)
        return True

    def evict_for(self, organisation: str) -> Item | None:
        """Evict the newest item of the longest queue to admit another item.

        :param organisation: organisation of the item to be added
        :returns: the evicted item; none if no organisation has more items waiting than
            this one would have with the added item
        """
        longest = max(
            self.by_organisation, key=lambda o: len(self.by_organisation[o]), default=""
        )
        own = len(self.by_organisation.get(organisation, ()))
        if not longest or len(self.by_organisation[longest]) <= own + 1:
            return None
        item = self.by_organisation[longest][-1]
        self.remove(longest, item)
        return item

    def count_ahead_of(self, organisation: str) -> int:
        """Return how many items would be popped before a new item."""
        own = len(self.by_organisation.get(organisation, ()))
        ahead = own
        extra_turn = 1
        for name in self.rotation:
            if name == organisation:
                # Organisations behind this one in the rotation have one turn fewer
                # before the new item.
                extra_turn = 0
            else:
                ahead += min(len(self.by_organisation[name]), own + extra_turn)
        return ahead
