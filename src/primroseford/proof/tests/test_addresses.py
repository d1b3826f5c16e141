"""Tests of the addresses and ports of hosts in tests."""

from __future__ import annotations

import socket
from pathlib import Path

from primroseford.proof.addresses import FIRST_PORT
from primroseford.proof.addresses import PORT_COUNT
from primroseford.proof.addresses import next_ports
from primroseford.proof.addresses import own_address

EPHEMERAL = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_do_not_repeat():
    """Guards against the same port for two servers of a host."""
    taken = []
    for count in (1, 1, 3) * 2_000:
        first = next_ports(count)
        taken += range(first, first + count)
    assert len(set(taken)) == len(taken)
    assert FIRST_PORT <= min(taken)
    assert max(taken) < FIRST_PORT + PORT_COUNT


def test_ports_are_outside_the_ephemeral_range():
    """Guards against a port that the kernel gives to an outgoing connection."""
    if EPHEMERAL.exists():
        first = int(EPHEMERAL.read_text().split()[0])
    else:
        with socket.create_server(("127.0.0.1", 0)) as server:
            first = server.getsockname()[1]
    assert first >= FIRST_PORT + PORT_COUNT


def test_addresses_are_unique_loopback_addresses():
    """Guards against addresses that are duplicate or not on loopback."""
    addresses = [own_address(number) for number in range(60)]
    assert len(set(addresses)) == 60
    for address in addresses:
        with socket.create_server((address, next_ports())):
            pass
