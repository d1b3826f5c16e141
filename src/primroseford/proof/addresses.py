"""Loopback addresses and ports for hosts that tests and the soak start."""

from __future__ import annotations

import itertools
import os

FIRST_PORT = 10_000
PORT_COUNT = 20_000
"""Number of ports that are assigned, from ``FIRST_PORT`` on. The last one is below
32,768, the start of Linux's ephemeral range (``ip_local_port_range``), so that neither
a listening socket on port 0 nor an outgoing connection uses one of them."""
ADDRESSES_PER_PROCESS = 250
"""Maximum number of hosts that one process runs at the same time."""
MAX_PROCESSES = 62_500
"""Number of processes with distinct addresses in 127.0.0.0/8 without 127.0.0.0/16."""

_port_offsets = itertools.count()


def own_address(number: int) -> str:
    """Return the loopback address of a host of this process.

    Concurrent processes have different addresses, so that their ports cannot collide.

    :param number: number of the host in this process
    """
    high, low = divmod(os.getpid() % MAX_PROCESSES, ADDRESSES_PER_PROCESS)
    return f"127.{high + 1}.{low}.{number + 2}"


def next_ports(count: int = 1) -> int:
    """Return the first of ``count`` consecutive ports that this process has not used.

    The ports are valid for this process's own addresses only. A port is reused after
    20,000 others, long after its host has stopped.
    """
    while True:
        first = next(_port_offsets) % PORT_COUNT
        for _ in range(count - 1):
            next(_port_offsets)
        if first + count <= PORT_COUNT:
            return FIRST_PORT + first
