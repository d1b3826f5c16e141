"""Peer networks over loopback for tests."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.clock import ManualClock
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.membership.state import HostInfo
from primroseford.peer.gen.messages.ttypes import Hello
from primroseford.peer.network import create_peer_network

SECRET = b"0123456789abcdef-secret"
ECHO = 401


async def until(condition, seconds=10.0):
    """Wait until a condition holds, at most ``seconds``."""
    async with asyncio.timeout(seconds):
        for _ in iter(lambda: bool(condition()), True):
            await asyncio.sleep(0.005)


class Fleet:
    """Peer networks that can resolve each other's addresses."""

    def __init__(self):
        self.clock = ManualClock()
        self.networks = {}
        self.started = []
        self.addresses = {}

    async def add(self, name, secret=SECRET, digest="groups=16", incarnation="1"):
        """Start the peer network of a host with an echo handler."""
        info = HostInfo(
            HostId(name),
            Incarnation(incarnation),
            "127.0.0.1:0",
            FailureDomainId("a"),
        )
        network = create_peer_network(
            info, secret, self.clock, self.addresses.get, settings_digest=digest
        )

        async def echo(sender, message):
            return Hello(host_id=sender, nonce=message.nonce)

        network.register(ECHO, Hello, echo, Hello)
        await network.start()
        self.started.append(network)
        self.networks[name] = network
        self.addresses[HostId(name)] = network.address
        return network


@pytest.fixture
async def fleet():
    """Return a fleet whose networks stop after the test."""
    fleet = Fleet()
    yield fleet
    for network in fleet.started:
        await network.stop()
