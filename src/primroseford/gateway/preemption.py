"""Preemption of a batch item for an online request that waits at a runner.

In large fleets heartbeats report a wave of online requests only after some tenths of a
second, in which requests are sent to runners whose slots batch items occupy. A host
whose request waits therefore sends a preemption request directly to one host that has
an item on the runner. In small fleets heartbeats are as fast.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.placement import MAX_DIRECT_HOSTS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from primroseford.gateway.placement import RunnerLoad
    from primroseford.ids import HostId

PREEMPTION_DELAY_SECONDS = 0.1
"""Time without a first event after which a request is assumed to wait for a slot. With
a slot, the first event arrives after about 70 ms; the objective is 300 ms."""


def uses_preemption_requests(hosts: int) -> bool:
    """Return whether heartbeats are too slow for preemption at the start of a wave.

    :param hosts: hosts that place requests, this one included
    """
    return hosts > MAX_DIRECT_HOSTS


def waits_for_batch(load: RunnerLoad) -> bool:
    """Return whether a request that is being sent certainly waits for a batch item.

    :param load: load of its runner, this request included
    """
    return load.free < 0 < load.batch


def choose_preemption_host(
    batch: Mapping[HostId, int], own: HostId, random: Random
) -> HostId | None:
    """Return the host that is to preempt an item; ``None`` if no host has one.

    An item of this host is preferred, since it certainly still runs. Otherwise a host
    is chosen at random in proportion to its items, so that hosts that wait at the same
    time seldom choose the same one.

    :param batch: items on the runner, by host
    :param own: this host
    """
    if batch.get(own):
        return own
    holders = {host: items for host, items in batch.items() if items > 0}
    if not holders:
        return None
    return random.choices(list(holders), list(holders.values()))[0]
