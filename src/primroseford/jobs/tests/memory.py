"""Memory budget for tests of jobs without a gateway."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

from primroseford.gateway.bodies import Bodies
from primroseford.gateway.host_memory import create_host_memory

if TYPE_CHECKING:
    from primroseford.clock import Clock


def create_bodies(clock: Clock, memory_mb: float | None = None) -> Bodies:
    """Return the budget of a process.

    :param memory_mb: memory of the process in MB; ``None`` for the default
    """
    gauge = SimpleNamespace(set_function=lambda _: None)
    return Bodies(create_host_memory(memory_mb), clock, gauge)
