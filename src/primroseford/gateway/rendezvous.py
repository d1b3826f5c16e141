"""Choices that all hosts make alike without asking each other."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING
from typing import TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

Candidate = TypeVar("Candidate")


def ranked(
    key: str,
    candidates: Iterable[Candidate],
    name_of: Callable[[Candidate], str],
    count: int = 1,
) -> list[Candidate]:
    """Return the first candidates for a key by rendezvous hashing, best first.

    A candidate that leaves changes the choice only for the keys that it had.

    :param name_of: returns the name by which all hosts know a candidate
    """

    def weight(candidate: Candidate) -> int:
        return xxhash.xxh64_intdigest(f"{key}\0{name_of(candidate)}".encode())

    return nlargest(count, candidates, key=weight)
