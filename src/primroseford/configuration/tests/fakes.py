"""Fakes of the services that the distribution of the configuration uses."""

from __future__ import annotations

import asyncio
import hashlib

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import Version
from primroseford.membership.state import HostInfo
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import WatchEvent

UNAVAILABLE = PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")


def host_info(host, domain):
    return HostInfo(HostId(host), Incarnation("1"), "", FailureDomainId(domain))


def rank_hosts(key, hosts):
    """Rank hosts by a hash of the key and the host's name."""
    return sorted(
        hosts,
        key=lambda h: hashlib.sha256(f"{key}/{h.host_id}".encode()).digest(),
    )


class FakeMembership:
    def __init__(self, hosts=()):
        self.version = 1
        self.members = list(hosts)
        self.callbacks = []

    def hosts(self):
        return tuple(self.members)

    def on_change(self, callback):
        self.callbacks.append(callback)

    def remove(self, host):
        self.members = [h for h in self.members if h.host_id != host]
        self.changed()

    def add(self, info):
        self.members.append(info)
        self.changed()

    def changed(self):
        self.version += 1
        for callback in list(self.callbacks):
            callback()


class FakeNetwork:
    """Connects hosts in one process; hosts in ``unreachable`` cannot communicate."""

    def __init__(self):
        self.handlers = {}
        self.unreachable = set()
        self.messages = 0
        self.sending = set()

    def peer(self, host):
        return FakePeer(self, host)

    def post(self, sender, receiver, kind, message):
        task = asyncio.ensure_future(self.deliver(sender, receiver, kind, message))
        self.sending.add(task)
        task.add_done_callback(self._posted)

    def _posted(self, task):
        self.sending.discard(task)
        if not task.cancelled():
            task.exception()

    async def deliver(self, sender, receiver, kind, message):
        self.messages += 1
        await asyncio.sleep(0)
        if sender in self.unreachable or receiver in self.unreachable:
            raise PrimrosefordError(ResultCode.PEER_UNREACHABLE, "cut off")
        handler = self.handlers.get((receiver, kind))
        if handler is None:
            raise PrimrosefordError(ResultCode.PEER_UNREACHABLE, "not running")
        return await handler(sender, message)


class FakePeer:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    async def call(self, host_id, kind, message, timeout):
        return await self.network.deliver(self.host, host_id, kind, message)

    def send(self, host_id, kind, message):
        self.network.post(self.host, host_id, kind, message)

    def register(self, kind, message_type, handler, answer_type=None):
        self.network.handlers[self.host, kind] = handler


class FakePlatform:
    """The platform's service in one process; calls from ``blocked`` hosts fail."""

    def __init__(self):
        self.version = 0
        self.objects = {}
        self.events = []
        self.down = False
        self.blocked = set()
        self.calls = 0
        self.lists = []
        self.log_start = 0
        self.lose_answers = 0
        self.before_write = []
        self.wake = asyncio.Event()

    def put(self, kind, name, spec, labels=None, operation=""):
        known = (kind, name) in self.objects
        self.version += 1
        item = PlatformObject(
            kind, name, Version(self.version), spec, labels or {}, operation
        )
        self.objects[kind, name] = item
        self.record(EventType.MODIFIED if known else EventType.ADDED, kind, item)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name))
        self.version += 1
        self.record(EventType.DELETED, kind, item)

    def record(self, event_type, kind, item):
        self.events.append((self.version, kind, event_type, item))
        self.wake.set()
        self.wake = asyncio.Event()

    def client(self, host=""):
        return FakeClient(self, host)


class FakeClient:
    """Client of a fake platform for one host."""

    def __init__(self, platform, host):
        self.platform = platform
        self.host = host

    def check(self):
        self.platform.calls += 1
        if self.platform.down or self.host in self.platform.blocked:
            raise UNAVAILABLE

    async def get(self, kind, name):
        self.check()
        try:
            return self.platform.objects[kind, name]
        except KeyError:
            raise PrimrosefordError(ResultCode.NOT_FOUND, "absent") from None

    async def list(self, kind, selector=None):
        self.check()
        self.platform.lists.append((self.host, kind))
        items = tuple(i for (k, _), i in self.platform.objects.items() if k == kind)
        return ObjectList(Version(self.platform.version), items)

    async def create(self, kind, name, spec, labels=None):
        self.check()
        self.run_before_write()
        if (kind, name) in self.platform.objects:
            raise PrimrosefordError(ResultCode.ALREADY_EXISTS, "exists")
        item = self.platform.put(kind, name, spec, labels)
        self.lose_answer()
        return item

    async def update(self, kind, name, spec, version, labels=None):
        self.check()
        self.run_before_write()
        self.check_version(kind, name, version)
        item = self.platform.put(kind, name, spec, labels)
        self.lose_answer()
        return item

    async def delete(self, kind, name, version=None):
        self.check()
        self.run_before_write()
        self.check_version(kind, name, version)
        self.platform.remove(kind, name)
        self.lose_answer()

    def check_version(self, kind, name, version):
        found = self.platform.objects.get((kind, name))
        if found is None:
            raise PrimrosefordError(ResultCode.NOT_FOUND, "absent")
        if version is not None and found.version != version:
            raise PrimrosefordError(ResultCode.VERSION_CONFLICT, "changed")

    def run_before_write(self):
        if self.platform.before_write:
            self.platform.before_write.pop(0)()

    def lose_answer(self):
        if self.platform.lose_answers:
            self.platform.lose_answers -= 1
            raise UNAVAILABLE

    async def watch(self, kind, since, wait_seconds=None):
        self.check()
        if since < self.platform.log_start:
            raise PrimrosefordError(ResultCode.WATCH_EXPIRED, "too old")
        position = since
        while not self.platform.down and self.host not in self.platform.blocked:
            wake, upto = self.platform.wake, self.platform.version
            for version, event_kind, event_type, item in self.platform.events:
                if event_kind == kind and version > position:
                    yield WatchEvent(event_type, item.version, item)
            position = Version(upto)
            yield WatchEvent(EventType.BOOKMARK, position, None)
            try:
                await asyncio.wait_for(wake.wait(), 0.02)
            except TimeoutError:
                continue
        raise UNAVAILABLE
