"""Mutual challenge-response handshake over the shared secret.

Both sides send a nonce, then prove the secret with an HMAC over both greetings
and their own role, so that neither a replayed nor a reflected proof is accepted.
The session keys derive from the same greetings; each later frame carries a tag
over its sequence number.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.peer.codec import MAX_HANDSHAKE_FRAME_BYTES
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.peer.codec import frame
from primroseford.peer.codec import read_frame
from primroseford.peer.gen.messages.ttypes import Envelope
from primroseford.peer.gen.messages.ttypes import Hello
from primroseford.peer.gen.messages.ttypes import Proof

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from pathlib import Path

PROTOCOL_VERSION = 1
NONCE_BYTES = 32
TAG_BYTES = 16
MIN_SECRET_BYTES = 16
MAX_NAME_LENGTH = 253
HANDSHAKE_TIMEOUT_SECONDS = 5.0
KIND_REFUSED = 1
INITIATOR = b"initiator"
ACCEPTOR = b"acceptor"


@dataclass(frozen=True)
class Credentials:
    """What a host presents and expects in a handshake.

    :param host_id: own name
    :param incarnation: own start of the process
    :param secret: the shared secret
    :param settings_digest: digest of the settings that all hosts must share
    :param random_bytes: source of nonces
    """

    host_id: HostId
    incarnation: Incarnation
    secret: bytes
    settings_digest: str
    random_bytes: Callable[[int], bytes]


class Sealer:
    """Computes the tags of one direction of a session.

    :param key: session key of the direction
    """

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.sequence = 0

    def tag(self, content: bytes) -> bytes:
        """Return the tag of the next frame.

        :param content: content of the frame
        """
        self.sequence += 1
        text = self.sequence.to_bytes(8, "big") + content
        return hmac.digest(self.key, text, "sha256")[:TAG_BYTES]


@dataclass(frozen=True)
class Session:
    """A proven peer and the tags of both directions."""

    host_id: HostId
    incarnation: Incarnation
    outgoing: Sealer
    incoming: Sealer


def read_secret(path: Path) -> bytes:
    """Return the shared secret in a file, without surrounding whitespace.

    :param path: the file
    :raises PrimrosefordError: INVALID_VALUE if it is missing or too short
    """
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            f"the peer secret could not be read: {error.strerror}",
            field="peer_secret_file",
        ) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            f"the peer secret is shorter than {MIN_SECRET_BYTES} bytes",
            field="peer_secret_file",
        )
    return secret


def digest_settings(settings: dict[str, int]) -> str:
    """Return a digest of the settings that all hosts must share.

    :param settings: for example ``{"limits.groups": 16}``
    """
    text = "\n".join(f"{name}={settings[name]}" for name in sorted(settings))
    return hashlib.sha256(text.encode()).hexdigest()


async def initiate(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own: Credentials
) -> Session:
    """Prove this host to a listening peer and check the peer's proof.

    :raises PrimrosefordError: PEER_UNTRUSTED, PEER_PROTOCOL or PEER_SETTINGS_DIFFER
    """
    sent = encode(_hello(own))
    writer.write(frame(sent))
    received = await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    _raise_refusal(received)
    hello = _checked_hello(received, own)
    transcript = frame(sent) + frame(received)
    proof = decode(Proof, await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES))
    _check_proof(own, ACCEPTOR, transcript, proof)
    writer.write(frame(encode(Proof(_mac(own, INITIATOR, transcript)))))
    _raise_refusal(await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES))
    return _session(own, hello, transcript, INITIATOR, ACCEPTOR)


async def accept(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own: Credentials
) -> Session:
    """Check the proof of a connecting peer and prove this host to it.

    A refused peer is told the result code.

    :raises PrimrosefordError: PEER_UNTRUSTED, PEER_PROTOCOL or PEER_SETTINGS_DIFFER
    """
    try:
        received = await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
        hello = _checked_hello(received, own)
        sent = encode(_hello(own))
        transcript = frame(received) + frame(sent)
        proof = encode(Proof(_mac(own, ACCEPTOR, transcript)))
        writer.write(frame(sent) + frame(proof))
        answer = decode(Proof, await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES))
        _check_proof(own, INITIATOR, transcript, answer)
    except PrimrosefordError as error:
        writer.write(frame(encode(_refusal(error.code, error.message))))
        raise
    writer.write(frame(encode(_refusal(ResultCode.OK, ""))))
    return _session(own, hello, transcript, ACCEPTOR, INITIATOR)


def _hello(own: Credentials) -> Hello:
    nonce = own.random_bytes(NONCE_BYTES)
    return Hello(
        PROTOCOL_VERSION, own.host_id, own.incarnation, own.settings_digest, nonce
    )


def _checked_hello(content: bytes, own: Credentials) -> Hello:
    hello = decode(Hello, content)
    if hello.version != PROTOCOL_VERSION:
        raise PrimrosefordError(
            ResultCode.PEER_PROTOCOL,
            f"protocol version {hello.version} differs from {PROTOCOL_VERSION}",
        )
    for name in (hello.host_id, hello.incarnation):
        if not name or len(name) > MAX_NAME_LENGTH:
            raise PrimrosefordError(
                ResultCode.PEER_PROTOCOL, "the peer's name or incarnation is missing"
            )
    if len(hello.nonce or b"") != NONCE_BYTES:
        raise PrimrosefordError(ResultCode.PEER_PROTOCOL, "the nonce is not valid")
    if hello.settings_digest != own.settings_digest:
        raise PrimrosefordError(
            ResultCode.PEER_SETTINGS_DIFFER,
            "a fleet-wide setting differs between the two hosts",
            hint="set limits.groups to the same number on every host",
        )
    return hello


def _mac(own: Credentials, role: bytes, transcript: bytes) -> bytes:
    return hmac.digest(own.secret, b"proof " + role + transcript, "sha256")


def _check_proof(
    own: Credentials, role: bytes, transcript: bytes, proof: Proof
) -> None:
    expected = _mac(own, role, transcript)
    if not hmac.compare_digest(expected, proof.mac or b""):
        raise PrimrosefordError(
            ResultCode.PEER_UNTRUSTED, "the peer does not have the shared secret"
        )


def _session(
    own: Credentials, hello: Hello, transcript: bytes, role: bytes, other: bytes
) -> Session:
    keys = [
        hmac.digest(own.secret, b"session " + side + transcript, "sha256")
        for side in (role, other)
    ]
    return Session(
        HostId(hello.host_id),
        Incarnation(hello.incarnation),
        Sealer(keys[0]),
        Sealer(keys[1]),
    )


def _refusal(code: ResultCode, text: str) -> Envelope:
    return Envelope(
        version=PROTOCOL_VERSION, kind=KIND_REFUSED, code=int(code), text=text
    )


def _raise_refusal(content: bytes) -> None:
    # A greeting has a string where an envelope has its kind, so that a greeting
    # decodes without a kind.
    try:
        answer = decode(Envelope, content)
    except PrimrosefordError:
        return
    if answer.kind != KIND_REFUSED or not answer.code:
        return
    known = answer.code in ResultCode._value2member_map_
    code = ResultCode(answer.code) if known else ResultCode.PEER_PROTOCOL
    raise PrimrosefordError(code, f"the peer refused: {answer.text}")
