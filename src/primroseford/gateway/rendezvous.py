"""Rendezvous hashing: all hosts make the same choice without communication."""

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

WEIGHT_CACHE_SIZE = 4096
"""Size of the weight cache, about 0.5 MB: enough for a dozen keys that are looked up
several times a second, with 300 hosts each."""


def ranked(
    key: str,
    candidates: Iterable[Candidate],
    name_of: Callable[[Candidate], str],
    count: int = 1,
    cached: bool = True,
) -> list[Candidate]:
    """Return the candidates with the largest weights for a key, largest first.

    Removing a candidate changes the choice only for the keys assigned to it.

    :param name_of: returns the name of a candidate, which is the same on all hosts
    :param count: number of candidates to return
    :param cached: whether the key is looked up often, so that its weights are cached
    """
    weigh = weight if cached else weight.__wrapped__
    return nlargest(
        count, candidates, key=lambda candidate: weigh(key, name_of(candidate))
    )


@lru_cache(WEIGHT_CACHE_SIZE)
def weight(key: str, name: str) -> int:
    """Return the weight of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
