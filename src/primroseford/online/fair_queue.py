"""Bounded queue that is fair between organisations."""

from __future__ import annotations

from collections import deque
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Takes one item of each waiting organisation in turn.

    Every online request costs the same, so deficit round robin is plain round robin.
    """

    def __init__(self) -> None:
        self.by_organisation: dict[str, deque[Item]] = {}
        self.turns: deque[str] = deque()
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def push(self, organisation: str, item: Item) -> None:
        """Add an item behind the others of its organisation."""
        waiting = self.by_organisation.get(organisation)
        if waiting is None:
            waiting = self.by_organisation[organisation] = deque()
            self.turns.append(organisation)
        waiting.append(item)
        self.size += 1

    def pop(self) -> Item:
        """Remove and return the item whose turn it is.

        :raises IndexError: if the queue is empty
        """
        organisation = self.turns.popleft()
        waiting = self.by_organisation[organisation]
        item = waiting.popleft()
        self.size -= 1
        if waiting:
            self.turns.append(organisation)
        else:
            del self.by_organisation[organisation]
        return item

    def remove(self, organisation: str, item: Item) -> bool:
        """Remove an item that is given up on.

        :returns: whether it was in the queue
        """
        waiting = self.by_organisation.get(organisation)
        if waiting is None or item not in waiting:
            return False
        waiting.remove(item)
        self.size -= 1
        if not waiting:
            del self.by_organisation[organisation]
            self.turns.remove(organisation)
        return True

    def evict_for(self, organisation: str) -> Item | None:
        """Remove the newest item of the longest queue to make room.

        :param organisation: whose item is to be added
        :returns: the removed item; nothing if no organisation has more items waiting
            than this one would have
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

    def ahead_of(self, organisation: str) -> int:
        """Return how many items would be taken before a new one."""
        own = len(self.by_organisation.get(organisation, ()))
        ahead = own
        before = 1
        for name in self.turns:
            if name == organisation:
                # Those behind it in this round have one turn fewer before the new item.
                before = 0
            else:
                ahead += min(len(self.by_organisation[name]), own + before)
        return ahead
