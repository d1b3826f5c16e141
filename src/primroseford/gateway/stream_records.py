"""Tells other hosts of the streams that this host begins, and asks them for others.

A record is sent just before the first event goes out. Until then another attempt, at
another version, may replace the one in progress; after that nothing changes the origin.
"""

from __future__ import annotations

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
from primroseford.gateway.stream_origins import INFERRED_ATTEMPT
from primroseford.gateway.stream_origins import RETENTION_SECONDS
from primroseford.gateway.stream_origins import StreamKey
from primroseford.gateway.stream_origins import StreamOrigin
from primroseford.gateway.stream_origins import StreamOrigins
from primroseford.gateway.stream_origins import choose_holders
from primroseford.gateway.stream_origins import stream_key
from primroseford.gateway.stream_questions import MAX_TEXT_LENGTH
from primroseford.gateway.stream_questions import UNNAMED
from primroseford.gateway.stream_questions import StreamQuestions
from primroseford.gateway.stream_questions import decode_versions
from primroseford.gateway.stream_questions import encode_versions
from primroseford.gateway.version_proof import Proof
from primroseford.gateway.version_proof import Unproven
from primroseford.gateway.version_proof import find_only_version
from primroseford.gateway.version_proof import refresh_runner_list
from primroseford.ids import HostId
from primroseford.ids import PoolName
from primroseford.ids import SoftwareVersion

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.gateway.version_history import VersionEvidence
    from primroseford.ids import RequestId

REFUSED_RETRY_SECONDS = 0.5
"""Retry-After of a stream that cannot be taken up here: another host may know it."""
MAX_QUESTIONS_IN_MESSAGE = 64
MAX_KEY_BYTES = 64

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
    :param evidence: what these know of the versions that the stream's pool has had
    :param proof: what shows that it has had one only; ``None`` if it was not needed
    """

    origin: StreamOrigin | None
    source: OriginSource
    asked: int = 0
    answered: int = 0
    evidence: Mapping[HostId, VersionEvidence] = field(default_factory=dict)
    proof: Proof | Unproven | None = None


def is_about_streams(bundle: Bundle) -> bool:
    """Return whether a bundle has messages about streams or the versions of pools."""
    return bool(
        bundle.stream_records
        or bundle.stream_asks
        or bundle.stream_answers
        or bundle.version_asks
        or bundle.version_answers
    )


class StreamRecords:
    """Origins of streams, shared with the other hosts.

    :ivar origins: origins that this host knows
    :ivar questions: open questions to other hosts
    :ivar send: sends messages to another host; set by the heartbeat service
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.origins = StreamOrigins(gateway.clock)
        self.send: Callable[[HostId, Bundle], None] = lambda host, bundle: None
        self.questions = StreamQuestions(gateway, lambda *message: self.send(*message))

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
        for host in choose_holders(key, self.questions.live_hosts()):
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
        pool = route.pools[0][0] if len(route.pools) == 1 else None
        found = await self._look_up(began_as, pool)
        if found.origin is None:
            found = await self._infer(found, pool)
        elif not self._has_runner(found.origin):
            # Runners that have joined since this host was last in touch.
            await refresh_runner_list(self.gateway)
        waited = round((self.gateway.clock() - started) * 1000)
        self._log_lookup(found, began_as, request_id, pool, waited)
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
        pool: PoolName | None,
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
            proof=_describe_proof(found.proof),
            pool_versions=sorted(history.seen(pool)) if pool else None,
            followed_ms=_age_ms(gateway.clock() - history.followed_since()),
            list_revision=gateway.runner_list_version,
            list_age_ms=_age_ms(gateway.clock() - gateway.runner_list_confirmed_at),
            waited_ms=waited_ms,
        )

    async def _look_up(self, request_id: RequestId, pool: PoolName | None) -> Lookup:
        key = stream_key(request_id) if request_id else UNNAMED
        known = self.origins.find(key)
        if known is not None and known.origin.begun:
            source = OriginSource.OWN if known.is_own else OriginSource.PEER
            return Lookup(known.origin, source)
        if not key and pool is None:
            return Lookup(None, OriginSource.OWN)
        question = await self.questions.ask(key, pool, known.origin if known else None)
        return Lookup(
            question.origin,
            OriginSource.PEER,
            question.asked,
            question.answers,
            question.evidence,
        )

    async def _infer(self, found: Lookup, pool: PoolName | None) -> Lookup:
        """Add the origin of a stream that no host knows, if it can have only one."""
        if pool is None:
            return replace(found, proof=Unproven.SEVERAL_POOLS)
        proof = await find_only_version(self.gateway, pool, found.evidence)
        if isinstance(proof, Unproven):
            return replace(found, proof=proof)
        origin = StreamOrigin(pool, proof.version, INFERRED_ATTEMPT, begun=False)
        source = OriginSource.ONLY_VERSION
        return replace(found, origin=origin, source=source, proof=proof)

    def _has_runner(self, origin: StreamOrigin) -> bool:
        runners = self.gateway.allocator.pool_runners(origin.pool)
        return any(runner.entry.has_version(origin.version) for runner in runners)

    def receive(self, bundle: Bundle) -> None:
        """Handle the messages of another host about streams."""
        host = HostId(bundle.relay or "")
        for record in bundle.stream_records:
            self._remember(record)
        evidence = decode_versions(bundle.version_answers)
        for record in bundle.stream_answers:
            origin = self._remember(record)
            key = StreamKey(record.stream or b"")
            self.questions.note_answer(host, key, origin, evidence)
        if evidence and not bundle.stream_answers:
            self.questions.note_answer(host, UNNAMED, None, evidence)
        if bundle.stream_asks or bundle.version_asks:
            self.send(host, self._answer(bundle))

    def _answer(self, question: Bundle) -> Bundle:
        history = self.gateway.allocator.versions
        answer = Bundle(self.gateway.members.own, [])
        answer.stream_answers = [
            self._answer_about_stream(StreamKey(key))
            for key in question.stream_asks[:MAX_QUESTIONS_IN_MESSAGE]
        ]
        answer.version_answers = [
            encode_versions(PoolName(pool), history.evidence(PoolName(pool)))
            for pool in question.version_asks[:MAX_QUESTIONS_IN_MESSAGE]
        ]
        return answer

    def _remember(self, record: StreamRecord) -> StreamOrigin | None:
        """Apply another host's record; return its origin, None if it has none."""
        key, pool, version = record.stream, record.pool, record.version
        if not (key and pool and version) or len(key) > MAX_KEY_BYTES:
            return None
        if max(len(pool), len(version)) > MAX_TEXT_LENGTH:
            return None
        attempt = record.attempt or INFERRED_ATTEMPT
        # Hosts of earlier releases tell of what they infer like of what they know.
        begun = bool(record.begun) and attempt != INFERRED_ATTEMPT
        origin = StreamOrigin(PoolName(pool), SoftwareVersion(version), attempt, begun)
        seconds = (record.ttl_ms or 0) / 1000
        self.origins.record(StreamKey(key), origin, seconds, is_own=False)
        return origin

    def _answer_about_stream(self, key: StreamKey) -> StreamRecord:
        known = self.origins.find(key)
        if known is None:
            return StreamRecord(key, "", "", 0, 0, False)
        return _encode(key, known.origin, RETENTION_SECONDS)


def _age_ms(seconds: float) -> int | None:
    """Return an age in ms; ``None`` for an infinite one."""
    return None if math.isinf(seconds) else round(seconds * 1000)


def _describe_proof(proof: Proof | Unproven | None) -> str | None:
    """Return the witness of a proof, or why there is none, for the log."""
    return proof.value if isinstance(proof, Unproven) else proof and proof.witness


def _encode(key: StreamKey, origin: StreamOrigin, seconds: float) -> StreamRecord:
    ttl_ms = max(0, round(seconds * 1000))
    return StreamRecord(
        key, origin.pool, origin.version, origin.attempt, ttl_ms, origin.begun
    )
