"""Choices that all hosts make alike without asking each other."""

from __future__ import annotations

from functools import lru_cache
from heapq import nlargest
from typing import TYPE_CHECKING
from typing import TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

Candidate = TypeVar("Candidate")

KEPT_WEIGHTS = 4096
"""Weights that are kept, about 0.5 MB: those of a dozen duties, which are chosen some
times a second, with 300 hosts each."""


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
    return nlargest(count, candidates, key=lambda found: weight(key, name_of(found)))


@lru_cache(KEPT_WEIGHTS)
def weight(key: str, name: str) -> int:
    """Return the weight of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
