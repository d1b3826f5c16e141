"""Questions to other hosts about a stream and about the versions of its pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import PoolVersions
from primroseford.gateway.stream_origins import StreamKey
from primroseford.gateway.stream_origins import choose_asked
from primroseford.gateway.version_history import VersionEvidence
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import PoolName
from primroseford.ids import SoftwareVersion
from primroseford.ids import Version

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseford.gateway.members import Peer
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.stream_origins import StreamOrigin

ASK_REPEAT_SECONDS = 0.025
"""Interval at which a question is repeated to the hosts that have not answered. Answers
take a few ms."""
ASK_SECONDS = 0.15
"""Time after which hosts that have not answered count as unable to: half of the
objective for the first event of a stream."""
HOSTS_CACHE_SECONDS = 0.25
"""Time for which the live hosts by failure domain are cached."""
MAX_VERSIONS_IN_MESSAGE = 16
"""Versions of a pool in one answer: any more than one prove nothing."""
MAX_TEXT_LENGTH = 256
UNNAMED = StreamKey(b"")
"""Key of a stream whose caller does not name the request that began it."""


@dataclass
class Question:
    """A question to other hosts about one stream.

    :param pool: pool whose versions are asked for; ``None`` for none
    :param asked: number of hosts that were asked
    :param pending: hosts that have not answered
    :param origin: the most certain origin of the answers so far
    :ivar evidence: what the hosts that have answered know of the pool's versions
    :ivar answered: set when no further answer can change the result
    """

    pool: PoolName | None
    asked: int
    pending: set[HostId]
    origin: StreamOrigin | None
    evidence: dict[HostId, VersionEvidence] = field(default_factory=dict)
    answered: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def answers(self) -> int:
        """Number of hosts that have answered."""
        return self.asked - len(self.pending)


class StreamQuestions:
    """Open questions of this host.

    :param send: sends messages to another host
    :ivar open: open questions by the key of their stream, or by that of their pool if
        the caller does not name a stream
    """

    def __init__(
        self, gateway: Gateway, send: Callable[[HostId, Bundle], None]
    ) -> None:
        self.gateway = gateway
        self.send = send
        self.open: dict[StreamKey, Question] = {}
        self.live: dict[FailureDomainId, list[HostId]] = {}
        self.live_until = float("-inf")

    def live_hosts(self) -> dict[FailureDomainId, list[HostId]]:
        """Return the live other hosts by failure domain."""
        now = self.gateway.clock()
        if now >= self.live_until:
            self.live = group_by_domain(self.gateway.members.live(now))
            self.live_until = now + HOSTS_CACHE_SECONDS
        return self.live

    async def ask(
        self, key: StreamKey, pool: PoolName | None, known: StreamOrigin | None
    ) -> Question:
        """Ask other hosts, live ones and those that may be, and return their answers.

        :param key: key of the stream, or ``UNNAMED``
        :param pool: pool whose versions are asked for; ``None`` for none
        :param known: origin that this host knows, but not for certain
        """
        name = key or _pool_key(pool)
        question = self.open.get(name)
        if question is None:
            question = self._create_question(name, pool, known)
            if not question.pending:
                return question
            self.open[name] = question
            self._send_question(key, question)
        until = self.gateway.clock() + ASK_SECONDS
        try:
            while not await _wait(question.answered, ASK_REPEAT_SECONDS):
                if question.origin is not None or self.gateway.clock() >= until:
                    break
                self._send_question(key, question)
        finally:
            self.open.pop(name, None)
        return question

    def _create_question(
        self, name: StreamKey, pool: PoolName | None, known: StreamOrigin | None
    ) -> Question:
        away = group_by_domain(self.gateway.members.away(self.gateway.clock()))
        hosts = {*choose_asked(name, self.live_hosts()), *choose_asked(name, away)}
        return Question(pool, len(hosts), hosts, known)

    def _send_question(self, key: StreamKey, question: Question) -> None:
        bundle = Bundle(self.gateway.members.own, [])
        bundle.stream_asks = [key] if key else []
        bundle.version_asks = [question.pool] if question.pool else []
        for host in question.pending:
            self.send(host, bundle)

    def note_answer(
        self,
        host: HostId,
        key: StreamKey,
        origin: StreamOrigin | None,
        evidence: Mapping[PoolName, VersionEvidence],
    ) -> None:
        """Apply another host's answer.

        :param key: key of the stream; ``UNNAMED`` if only the versions were asked for
        :param origin: origin of the stream; ``None`` if the host does not know it
        :param evidence: what it knows of the versions of pools
        """
        names = [key] if key else [_pool_key(pool) for pool in evidence]
        for name in names:
            question = self.open.get(name)
            if question is None or host not in question.pending:
                continue
            question.pending.discard(host)
            if question.pool in evidence:
                question.evidence[host] = evidence[question.pool]
            if origin is not None and origin.replaces(question.origin):
                question.origin = origin
            if _is_certain(question) or not question.pending:
                question.answered.set()


def encode_versions(pool: PoolName, evidence: VersionEvidence) -> PoolVersions:
    """Return the message about the versions of a pool."""
    versions = sorted(evidence.versions)[:MAX_VERSIONS_IN_MESSAGE]
    return PoolVersions(pool, versions, evidence.followed_to, evidence.is_whole)


def decode_versions(
    messages: Sequence[PoolVersions],
) -> dict[PoolName, VersionEvidence]:
    """Return what another host knows of the versions of pools."""
    return {
        PoolName(message.pool): VersionEvidence(
            frozenset(SoftwareVersion(version) for version in message.versions or ()),
            Version(message.followed_to or 0),
            bool(message.whole),
        )
        for message in messages
        if _is_valid(message)
    }


def _is_valid(message: PoolVersions) -> bool:
    texts = [message.pool or "", *(message.versions or ())]
    return all(0 < len(text) <= MAX_TEXT_LENGTH for text in texts)


def group_by_domain(peers: Iterable[Peer]) -> dict[FailureDomainId, list[HostId]]:
    """Return hosts by failure domain; it is unknown without a heartbeat."""
    hosts: dict[FailureDomainId, list[HostId]] = {}
    for peer in peers:
        domain = peer.heartbeat.failure_domain if peer.heartbeat is not None else ""
        hosts.setdefault(FailureDomainId(domain), []).append(peer.host)
    return hosts


def _pool_key(pool: PoolName | None) -> StreamKey:
    return StreamKey(f"pool {pool}".encode())


def _is_certain(question: Question) -> bool:
    return question.origin is not None and question.origin.begun


async def _wait(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event; return whether it was set in time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
