"""Tells other hosts of the streams that this host begins, and asks them for others.

A record is sent just before the first event goes out. Until then another attempt, at
another version, may replace the one in progress; after that nothing changes the origin.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import StreamRecord
from primroseford.gateway.stream_origins import RETENTION_SECONDS
from primroseford.gateway.stream_origins import StreamKey
from primroseford.gateway.stream_origins import StreamOrigin
from primroseford.gateway.stream_origins import StreamOrigins
from primroseford.gateway.stream_origins import choose_asked
from primroseford.gateway.stream_origins import choose_holders
from primroseford.gateway.stream_origins import stream_key
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import PoolName
from primroseford.ids import SoftwareVersion

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.gateway.members import Peer
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.stream_origins import OriginRecord
    from primroseford.gateway.tables import Route
    from primroseford.ids import RequestId

ASK_REPEAT_SECONDS = 0.025
"""Interval at which a question is repeated to the hosts that have not answered. Answers
take a few ms."""
ASK_SECONDS = 0.15
"""Time after which hosts that have not answered count as unable to: half of the
objective for the first event of a stream."""
REFRESH_SECONDS = 0.1
"""Time for which a caller waits for the platform's list of runners. The platform
responds within some ms."""
REFUSED_RETRY_SECONDS = 0.5
"""Retry-After of a stream that cannot be taken up here: another host may know it."""
HOSTS_CACHE_SECONDS = 0.25
"""Time for which the live hosts by failure domain are cached."""
MAX_QUESTIONS_IN_MESSAGE = 64
MAX_KEY_BYTES = 64
MAX_TEXT_LENGTH = 256

log = structlog.get_logger()


class OriginSource(Enum):
    """How a host learnt the origin of a stream."""

    OWN = "own"
    PEER = "peer"
    ONLY_VERSION = "only_version"


@dataclass(frozen=True)
class Lookup:
    """What a host has found out about a stream.

    :param origin: origin of the stream; ``None`` if no host that answers knows it
    :param asked: number of other hosts that were asked
    :param answered: number of those that answered
    """

    origin: StreamOrigin | None
    source: OriginSource
    asked: int = 0
    answered: int = 0


@dataclass
class Question:
    """A question to other hosts about one stream.

    :param asked: number of hosts that were asked
    :param pending: hosts that have not answered
    :ivar answered: set when no further answer can change the result
    :ivar origin: the latest origin of the answers so far
    """

    asked: int
    pending: set[HostId]
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    origin: StreamOrigin | None = None


class StreamRecords:
    """Origins of streams, shared with the other hosts.

    :ivar origins: origins that this host knows
    :ivar questions: open questions by stream
    :ivar send: sends messages to another host; set by the heartbeat service
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.origins = StreamOrigins(gateway.clock)
        self.questions: dict[StreamKey, Question] = {}
        self.send: Callable[[HostId, Bundle], None] = lambda host, bundle: None
        self.hosts: dict[FailureDomainId, list[HostId]] = {}
        self.hosts_until = float("-inf")

    def begin(
        self, request_id: RequestId, origin: StreamOrigin, deadline: float
    ) -> None:
        """Remember the origin of a stream, here and at other hosts; waits for nothing.

        :param request_id: id of the request that begins the stream
        :param deadline: local time in seconds until which its caller waits
        """
        if not request_id:
            return
        key = stream_key(request_id)
        seconds = deadline - self.gateway.clock() + RETENTION_SECONDS
        self.origins.record(key, origin, seconds, is_own=True)
        record = _encode(key, origin, seconds)
        bundle = Bundle(self.gateway.members.own, [], stream_records=[record])
        for host in choose_holders(key, self._live_hosts()):
            self.send(host, bundle)

    async def find(
        self, began_as: RequestId, route: Route, request_id: RequestId
    ) -> StreamOrigin:
        """Return the origin of a stream that its caller takes up here.

        :param began_as: id of the request that began it; empty if it is not named
        :param request_id: id of the request that takes it up, for the log
        :raises PrimrosefordError: STREAM_VERSION_UNKNOWN
        """
        started = self.gateway.clock()
        found = await self._look_up(began_as)
        if found.origin is None:
            found = replace(
                found,
                origin=await self._only_version(route),
                source=OriginSource.ONLY_VERSION,
            )
        elif not self._has_runner(found.origin):
            # Runners that have joined since this host was last in touch.
            await self._refresh_runner_list()
        waited = round((self.gateway.clock() - started) * 1000)
        self._log_lookup(found, began_as, request_id, route, waited)
        if found.origin is None:
            raise PrimrosefordError(
                ResultCode.STREAM_VERSION_UNKNOWN,
                "no host that answers knows the software version that began the "
                f"stream; asked for {waited} ms",
                retry_after=self.gateway.allocator.add_jitter(REFUSED_RETRY_SECONDS),
            )
        return found.origin

    def _log_lookup(
        self,
        found: Lookup,
        began_as: RequestId,
        request_id: RequestId,
        route: Route,
        waited_ms: int,
    ) -> None:
        gateway = self.gateway
        origin = found.origin
        history = gateway.allocator.versions
        log.info(
            "stream not taken up" if origin is None else "stream taken up",
            request_id=request_id,
            began_as=began_as,
            pool=origin.pool if origin else None,
            version=origin.version if origin else None,
            attempt=origin.attempt if origin else None,
            source=found.source.value,
            asked=found.asked,
            answered=found.answered,
            other_hosts=len(gateway.members.peers),
            pool_versions=history.seen(route.pools[0][0]) if route.pools else None,
            followed_ms=_age_ms(gateway.clock() - history.followed_since()),
            list_revision=gateway.runner_list_version,
            list_age_ms=_age_ms(gateway.clock() - gateway.runner_list_confirmed_at),
            waited_ms=waited_ms,
        )

    async def _look_up(self, request_id: RequestId) -> Lookup:
        if not request_id:
            return Lookup(None, OriginSource.OWN)
        key = stream_key(request_id)
        known = self.origins.find(key)
        if known is not None and known.origin.begun:
            source = OriginSource.OWN if known.is_own else OriginSource.PEER
            return Lookup(known.origin, source)
        return await self._ask(key, known)

    def _has_runner(self, origin: StreamOrigin) -> bool:
        runners = self.gateway.allocator.pool_runners(origin.pool)
        return any(runner.entry.has_version(origin.version) for runner in runners)

    async def _only_version(self, route: Route) -> StreamOrigin | None:
        """Return the origin if the streams of a route can have only one.

        The list of a host that was cut off or stood still may lack the versions that
        have joined since, so that the platform is asked first.
        """
        if len(route.pools) != 1:
            return None
        ((pool, _),) = route.pools
        only_version = self.gateway.allocator.versions.only_version
        if only_version(pool) is None or not await self._refresh_runner_list():
            return None
        version = only_version(pool)
        return None if version is None else StreamOrigin(pool, version, 0)

    async def _refresh_runner_list(self) -> bool:
        """Return whether the list of runners now has all earlier changes."""
        try:
            async with asyncio.timeout(REFRESH_SECONDS):
                await self.gateway.refresh_runner_list()
        except TimeoutError:
            log.warning("runner list not refreshed", reason="no response in time")
            return False
        except PrimrosefordError as error:
            log.warning("runner list not refreshed", reason=error.message)
            return False
        return True

    async def _ask(self, key: StreamKey, known: OriginRecord | None) -> Lookup:
        """Ask other hosts; return the latest origin that they or this host know."""
        origin = known.origin if known is not None else None
        question = self.questions.get(key)
        if question is None:
            hosts = choose_asked(key, self._live_hosts() or self._silent_hosts())
            if not hosts:
                return Lookup(origin, OriginSource.PEER)
            question = Question(len(hosts), set(hosts), origin=origin)
            self.questions[key] = question
            self._send_question(key, question)
        until = self.gateway.clock() + ASK_SECONDS
        try:
            while not await _wait(question.answered, ASK_REPEAT_SECONDS):
                if question.origin is not None or self.gateway.clock() >= until:
                    break
                self._send_question(key, question)
        finally:
            self.questions.pop(key, None)
        answered = question.asked - len(question.pending)
        return Lookup(question.origin, OriginSource.PEER, question.asked, answered)

    def _send_question(self, key: StreamKey, question: Question) -> None:
        bundle = Bundle(self.gateway.members.own, [], stream_asks=[key])
        for host in question.pending:
            self.send(host, bundle)

    def _live_hosts(self) -> dict[FailureDomainId, list[HostId]]:
        """Return the live other hosts by failure domain."""
        now = self.gateway.clock()
        if now >= self.hosts_until:
            self.hosts = _by_domain(self.gateway.members.live(now))
            self.hosts_until = now + HOSTS_CACHE_SECONDS
        return self.hosts

    def _silent_hosts(self) -> dict[FailureDomainId, list[HostId]]:
        """Return the silent other hosts by failure domain.

        After a cut or a pause of this host they may answer before their heartbeats
        come.
        """
        return _by_domain(self.gateway.members.silent(self.gateway.clock()))

    def receive(self, bundle: Bundle) -> None:
        """Handle the messages of another host about streams."""
        host = HostId(bundle.relay or "")
        for record in bundle.stream_records:
            self._remember(record)
        for record in bundle.stream_answers:
            origin = self._remember(record)
            self._note_answer(StreamKey(record.stream or b""), host, origin)
        answers = [
            self._answer(StreamKey(key))
            for key in bundle.stream_asks[:MAX_QUESTIONS_IN_MESSAGE]
        ]
        if answers:
            own = self.gateway.members.own
            self.send(host, Bundle(own, [], stream_answers=answers))

    def _remember(self, record: StreamRecord) -> StreamOrigin | None:
        """Apply another host's record; return its origin, None if it has none."""
        key, pool, version = record.stream, record.pool, record.version
        if not (key and pool and version) or len(key) > MAX_KEY_BYTES:
            return None
        if max(len(pool), len(version)) > MAX_TEXT_LENGTH:
            return None
        origin = StreamOrigin(
            PoolName(pool),
            SoftwareVersion(version),
            record.attempt or 0,
            bool(record.begun),
        )
        seconds = (record.ttl_ms or 0) / 1000
        self.origins.record(StreamKey(key), origin, seconds, is_own=False)
        return origin

    def _note_answer(
        self, key: StreamKey, host: HostId, origin: StreamOrigin | None
    ) -> None:
        question = self.questions.get(key)
        if question is None or host not in question.pending:
            return
        question.pending.discard(host)
        if origin is not None and origin.replaces(question.origin):
            question.origin = origin
        is_final = origin is not None and origin.begun
        if is_final or not question.pending:
            question.answered.set()

    def _answer(self, key: StreamKey) -> StreamRecord:
        known = self.origins.find(key)
        if known is None:
            return StreamRecord(key, "", "", 0, 0, False)
        return _encode(key, known.origin, RETENTION_SECONDS)


def _age_ms(seconds: float) -> int | None:
    """Return an age in ms; ``None`` for an infinite one."""
    return None if math.isinf(seconds) else round(seconds * 1000)


def _by_domain(peers: Iterable[Peer]) -> dict[FailureDomainId, list[HostId]]:
    hosts: dict[FailureDomainId, list[HostId]] = {}
    for peer in peers:
        domain = FailureDomainId(peer.heartbeat.failure_domain)
        hosts.setdefault(domain, []).append(peer.host)
    return hosts


async def _wait(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event; return whether it was set in time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _encode(key: StreamKey, origin: StreamOrigin, seconds: float) -> StreamRecord:
    ttl_ms = max(0, round(seconds * 1000))
    return StreamRecord(
        key, origin.pool, origin.version, origin.attempt, ttl_ms, origin.begun
    )
