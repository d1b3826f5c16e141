"""Mutual challenge-response handshake over the shared secret.

Both sides send a hello message with a nonce. Each side then proves that it has the
secret by an HMAC over both hello messages and its own role, so that neither a replayed
nor a reflected proof is accepted. The session keys are derived from the secret and the
same messages. Each later frame has a tag: an HMAC over its sequence number and content.
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
    """Identity, secret and settings of a host for the handshake.

    :param host_id: name of this host
    :param incarnation: identifies the current start of this host's process
    :param secret: secret shared by all hosts
    :param settings_digest: digest of the settings that must be equal on all hosts
    :param random_bytes: source of nonces
    """

    host_id: HostId
    incarnation: Incarnation
    secret: bytes
    settings_digest: str
    random_bytes: Callable[[int], bytes]


class FrameTagger:
    """Computes the authentication tags of the frames in one direction of a session.

    :param key: session key of the direction
    :ivar sequence: number of frames so far
    """

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.sequence = 0

    def tag(self, content: bytes) -> bytes:
        """Return the tag of the next frame.

        :param content: content of the frame
        """
        self.sequence += 1
        data = self.sequence.to_bytes(8, "big") + content
        return hmac.digest(self.key, data, "sha256")[:TAG_BYTES]


@dataclass(frozen=True)
class Session:
    """An authenticated peer and the frame taggers of both directions."""

    host_id: HostId
    incarnation: Incarnation
    outgoing: FrameTagger
    incoming: FrameTagger


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
    """Return a digest of the settings that must be equal on all hosts.

    :param settings: for example ``{"limits.groups": 16}``
    """
    text = "\n".join(f"{name}={settings[name]}" for name in sorted(settings))
    return hashlib.sha256(text.encode()).hexdigest()


async def initiate(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, credentials: Credentials
) -> Session:
    """Perform the handshake as the host that opened the connection.

    :raises PrimrosefordError: PEER_UNTRUSTED, PEER_PROTOCOL or PEER_SETTINGS_DIFFER
    """
    sent = encode(_create_hello(credentials))
    writer.write(frame(sent))
    received = await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    _raise_refusal(received)
    hello = _decode_hello(received, credentials)
    transcript = frame(sent) + frame(received)
    proof = decode(Proof, await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES))
    _check_proof(credentials, ACCEPTOR, transcript, proof)
    writer.write(frame(encode(Proof(_compute_mac(credentials, INITIATOR, transcript)))))
    _raise_refusal(await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES))
    return _derive_session(credentials, hello, transcript, INITIATOR, ACCEPTOR)


async def accept(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, credentials: Credentials
) -> Session:
    """Perform the handshake as the host that accepted the connection.

    If the peer is rejected, it is sent the result code.

    :raises PrimrosefordError: PEER_UNTRUSTED, PEER_PROTOCOL or PEER_SETTINGS_DIFFER
    """
    try:
        received = await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
        hello = _decode_hello(received, credentials)
        sent = encode(_create_hello(credentials))
        transcript = frame(received) + frame(sent)
        proof = encode(Proof(_compute_mac(credentials, ACCEPTOR, transcript)))
        writer.write(frame(sent) + frame(proof))
        answer = decode(Proof, await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES))
        _check_proof(credentials, INITIATOR, transcript, answer)
    except PrimrosefordError as error:
        writer.write(frame(encode(_create_refusal(error.code, error.message))))
        raise
    writer.write(frame(encode(_create_refusal(ResultCode.OK, ""))))
    return _derive_session(credentials, hello, transcript, ACCEPTOR, INITIATOR)


def _create_hello(credentials: Credentials) -> Hello:
    nonce = credentials.random_bytes(NONCE_BYTES)
    return Hello(
        PROTOCOL_VERSION,
        credentials.host_id,
        credentials.incarnation,
        credentials.settings_digest,
        nonce,
    )


def _decode_hello(content: bytes, credentials: Credentials) -> Hello:
    hello = decode(Hello, content)
    if hello.version != PROTOCOL_VERSION:
        raise PrimrosefordError(
            ResultCode.PEER_PROTOCOL,
            f"protocol version {hello.version} differs from {PROTOCOL_VERSION}",
        )
    for name in (hello.host_id, hello.incarnation):
        if not name or len(name) > MAX_NAME_LENGTH:
            raise PrimrosefordError(
                ResultCode.PEER_PROTOCOL,
                "the peer's name or incarnation is missing or too long",
            )
    if len(hello.nonce or b"") != NONCE_BYTES:
        raise PrimrosefordError(
            ResultCode.PEER_PROTOCOL, "the nonce has the wrong length"
        )
    if hello.settings_digest != credentials.settings_digest:
        raise PrimrosefordError(
            ResultCode.PEER_SETTINGS_DIFFER,
            "a fleet-wide setting differs between the two hosts",
            hint="set limits.groups to the same number on every host",
        )
    return hello


def _compute_mac(credentials: Credentials, role: bytes, transcript: bytes) -> bytes:
    return hmac.digest(credentials.secret, b"proof " + role + transcript, "sha256")


def _check_proof(
    credentials: Credentials, role: bytes, transcript: bytes, proof: Proof
) -> None:
    expected = _compute_mac(credentials, role, transcript)
    if not hmac.compare_digest(expected, proof.mac or b""):
        raise PrimrosefordError(
            ResultCode.PEER_UNTRUSTED, "the peer does not have the shared secret"
        )


def _derive_session(
    credentials: Credentials, hello: Hello, transcript: bytes, role: bytes, other: bytes
) -> Session:
    keys = [
        hmac.digest(credentials.secret, b"session " + side + transcript, "sha256")
        for side in (role, other)
    ]
    return Session(
        HostId(hello.host_id),
        Incarnation(hello.incarnation),
        FrameTagger(keys[0]),
        FrameTagger(keys[1]),
    )


def _create_refusal(code: ResultCode, text: str) -> Envelope:
    return Envelope(
        version=PROTOCOL_VERSION, kind=KIND_REFUSED, code=int(code), text=text
    )


def _raise_refusal(content: bytes) -> None:
    # The content is a hello message or an envelope. A hello has a string in the field
    # of an envelope's kind, so that it decodes as an envelope without a kind.
    try:
        answer = decode(Envelope, content)
    except PrimrosefordError:
        return
    if answer.kind != KIND_REFUSED or not answer.code:
        return
    is_known = answer.code in ResultCode._value2member_map_
    code = ResultCode(answer.code) if is_known else ResultCode.PEER_PROTOCOL
    raise PrimrosefordError(code, f"the peer rejected the handshake: {answer.text}")
