"""Cache affinity of requests with large shared prompt prefixes."""

from __future__ import annotations

from collections import OrderedDict
from random import Random

import pytest

from primroseford.gateway.affinity import MIN_SHARED_PREFIX_TOKENS
from primroseford.gateway.affinity import PromptPart
from primroseford.gateway.affinity import choose_cached_runner
from primroseford.gateway.affinity import prefix_cache_key
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import choose_runner
from primroseford.gateway.runners import RunnerKey
from primroseford.platform.headers import PROMPT_PARTS
from primroseford.platform.prompts import decode_prompt

LARGE = MIN_SHARED_PREFIX_TOKENS
KEPT_TOKENS = 147_261
"""Size of the prefix cache of an engine on the large site, in tokens."""
PART_TOKENS = 13_300
PARTS = 25
"""Shared prompt parts of one kind of request on the small copy of that site."""


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ("", ""),
        (f"a:{LARGE}", ""),
        (f"a:{LARGE},own:5", "a"),
        (f"a:{LARGE - 1},own:9999", ""),
        (f"a:10,b:{LARGE},c:20,own:5", "a,b"),
        ("a:x,own:5", ""),
        ("a,own:5", ""),
        ("a:\u00b2,own:5", ""),
        (f"a:{'9' * 5000},own:5", ""),
        (f":{LARGE},own:5", ""),
    ],
)
def test_key_of_the_largest_shared_part(header, key):
    """Guards against affinity by unshared or small parts of a prompt."""
    assert prefix_cache_key(decode_prompt({PROMPT_PARTS: header})) == key


def runner(number: int, online: int) -> RunnerLoad:
    """Return the load of a runner with eight slots."""
    return RunnerLoad(RunnerKey(f"i-{number}", 1), "a", 8, online, 0)


def homes(loads) -> list[str]:
    """Return the two preferred runners of a prefix, by removing the first."""
    best = max(loads, key=lambda load: load.free)
    first = choose_cached_runner("a", loads, best)
    rest = [load for load in loads if load is not first]
    return [first.key.name, choose_cached_runner("a", rest, best).key.name]


@pytest.mark.parametrize(
    ("first", "second", "others", "chosen"),
    [
        (0, 0, 0, 0),
        (7, 0, 0, 0),
        (8, 0, 0, 1),
        (8, 8, 0, None),
        (8, 8, 7, 0),
        (9, 8, 8, 0),
        (10, 9, 8, 1),
        (10, 10, 9, None),
    ],
)
def test_preferred_runner_with_free_capacity_is_chosen(first, second, others, chosen):
    """Guards against affinity that overloads one runner while others are free."""
    names = homes([runner(number, 0) for number in range(10)])
    online = dict.fromkeys((f"i-{n}" for n in range(10)), others)
    online |= {names[0]: first, names[1]: second}
    loads = [runner(number, online[f"i-{number}"]) for number in range(10)]
    best = max(loads, key=lambda load: load.free)
    found = choose_cached_runner("a", loads, best)
    assert (found and found.key.name) == (None if chosen is None else names[chosen])


def read_tokens(with_affinity: bool) -> int:
    """Simulate requests on ten engines, each with an LRU cache of prompt parts.

    :returns: tokens of shared parts that the engines processed
    """
    random = Random(4)
    kept = {f"i-{n}": OrderedDict() for n in range(10)}
    read = 0
    for _ in range(600):
        part = f"p{random.randrange(PARTS)}"
        online = {name: random.randrange(6) for name in kept}
        loads = [runner(n, online[f"i-{n}"]) for n in range(10)]
        best = choose_runner(loads, "a", random)
        if with_affinity:
            key = prefix_cache_key(
                (PromptPart(part, PART_TOKENS), PromptPart("own", 60))
            )
            best = choose_cached_runner(key, loads, best) or best
        memory = kept[best.key.name]
        if part not in memory:
            read += PART_TOKENS
        memory[part] = True
        memory.move_to_end(part)
        while len(memory) * PART_TOKENS > KEPT_TOKENS:
            memory.popitem(last=False)
    return read


def test_large_shared_parts_are_processed_less_often():
    """Guards against shared parts that every engine processes again.

    The target is at most a fifth of all prompt tokens, nearly all of which are shared.
    """
    everything = 600 * PART_TOKENS
    assert read_tokens(with_affinity=True) < everything / 5
    assert read_tokens(with_affinity=False) > everything / 4
