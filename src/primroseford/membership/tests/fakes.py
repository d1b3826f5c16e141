"""An in-memory network and platform service with switchable faults."""

from __future__ import annotations

from primroseford.clock import ManualClock
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import Version
from primroseford.membership.service import create_membership
from primroseford.membership.state import HostInfo
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject


class FakePlatform:
    """Objects in memory; an outage fails every call."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.down = False
        self.calls = 0

    def put(self, kind, name, spec):
        """Store an object."""
        self.version += 1
        stored = PlatformObject(kind, name, Version(self.version), spec)
        self.objects[kind, name] = stored
        return stored

    def _check(self):
        self.calls += 1
        if self.down:
            raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "down")

    async def list(self, kind, selector=None):
        """Return the objects of a kind."""
        self._check()
        items = tuple(o for (k, _), o in self.objects.items() if k == kind)
        return ObjectList(Version(self.version), items)

    async def create(self, kind, name, spec, labels=None):
        """Create an object."""
        self._check()
        return self.put(kind, name, spec)

    async def update(self, kind, name, spec, version, labels=None):
        """Replace an object on condition of its version."""
        self._check()
        if self.objects[kind, name].version != version:
            raise PrimrosefordError(ResultCode.VERSION_CONFLICT, "changed")
        return self.put(kind, name, spec)


class FakeNetwork:
    """Delivers calls directly, except across a network partition."""

    def __init__(self, fleet, host_id):
        self.fleet = fleet
        self.host_id = host_id
        self.handlers = {}

    def register(self, kind, message_type, handler, answer_type=None):
        """Set the handler of a message kind."""
        self.handlers[kind] = (message_type, handler, answer_type)

    async def call(self, host_id, kind, message, timeout):
        """Deliver a request and return the answer."""
        other = self.fleet.networks.get(host_id)
        if other is None or self.fleet.is_partitioned(self.host_id, host_id):
            raise PrimrosefordError(ResultCode.PEER_UNREACHABLE, "cut")
        message_type, handler, answer_type = other.handlers[kind]
        request = encode(message)
        answer = encode(await handler(self.host_id, decode(message_type, request)))
        self.fleet.count_message(self.host_id, len(request) + len(answer))
        return decode(answer_type, answer)


class MembershipFleet:
    """Memberships that share a clock, a network and a platform service."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.platform = FakePlatform()
        self.networks = {}
        self.members = {}
        self.sides = {}
        self.sent = {}

    def count_message(self, host_id, size):
        """Count a message with its bytes."""
        messages, total = self.sent.get(host_id, (0, 0))
        self.sent[host_id] = (messages + 1, total + size)

    def is_partitioned(self, a, b):
        """Return whether a network partition separates two hosts."""
        return self.sides.get(a, 0) != self.sides.get(b, 0)

    def add(self, name, domain="a", incarnation="1", address=None):
        """Start a host that the platform lists."""
        info = HostInfo(
            HostId(name),
            Incarnation(incarnation),
            address or f"10.0.0.{len(self.members)}:{name}",
            FailureDomainId(domain),
        )
        network = FakeNetwork(self, info.host_id)
        member = create_membership(info, network, self.platform, self.clock)
        self.networks[info.host_id] = network
        self.members[info.host_id] = member
        spec = {"role": "entry", "state": "live", "address": info.address}
        self.platform.put("hosts", name, spec)
        return member

    def kill(self, name):
        """Stop a host; the platform's list still names it."""
        del self.networks[name]
        del self.members[name]

    async def run(self, seconds):
        """Run a heartbeat round of all hosts each second."""
        for _ in range(seconds):
            self.clock.advance(1.0)
            for member in list(self.members.values()):
                await member.exchange_with_platform()
                await member.run_heartbeat_round()

    def views(self):
        """Return the distinct sets of names that the hosts see."""
        return {
            tuple(host.host_id for host in member.hosts())
            for member in self.members.values()
        }
