"""Loopback addresses and ports of hosts that tests and the soak start."""

from __future__ import annotations

import itertools
import os

FIRST_PORT = 10_000
PORT_COUNT = 20_000
"""Ports that are handed out, from the first one on. They end below 32,768, where
the range begins from which Linux picks ports itself (``ip_local_port_range``), so
that neither a listening socket on port 0 nor an outgoing connection has one of them."""
ADDRESSES_PER_PROCESS = 250
"""Hosts that one process may start at once."""
MAX_PROCESSES = 62_500
"""Processes whose addresses differ: what is left of 127.0.0.0/8 without 127.0."""

_port_offsets = itertools.count()


def own_address(number: int) -> str:
    """Return a loopback address of this process by its number.

    No other process has it, so that ports of runs beside each other cannot collide.
    """
    high, low = divmod(os.getpid() % MAX_PROCESSES, ADDRESSES_PER_PROCESS)
    return f"127.{high + 1}.{low}.{number + 2}"


def next_ports(count: int = 1) -> int:
    """Return the first of as many successive ports, which this process has not used.

    They are only for this process's own addresses. A port comes back after 20,000
    others, long after its host has stopped.
    """
    while True:
        first = next(_port_offsets) % PORT_COUNT
        for _ in range(count - 1):
            next(_port_offsets)
        if first + count <= PORT_COUNT:
            return FIRST_PORT + first
