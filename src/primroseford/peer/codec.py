"""Encoding of messages and length-prefixed frames."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    import asyncio

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HANDSHAKE_FRAME_BYTES = 1024

Message = TypeVar("Message")

reader = TCompactProtocolAccelerated(TMemoryBuffer())
"""Reads one struct after the other: it keeps nothing of the last one, and its creation
takes as long as the reading of a heartbeat."""


def encode(message: Any) -> bytes:
    """Return a generated thrift struct in the compact protocol.

    :param message: instance of a generated class
    """
    transport = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(transport))
    return transport.getvalue()


def decode(message_type: type[Message], data: bytes) -> Message:
    """Return the struct in a frame's content.

    :param message_type: generated class
    :param data: bytes in the compact protocol
    :raises PrimrosefordError: PEER_PROTOCOL
    """
    message = message_type()
    reader.trans = TMemoryBuffer(data)
    # A declared length beyond the data is refused before memory is reserved.
    reader.string_length_limit = reader.container_length_limit = len(data)
    # The generated reader raises several unrelated types on malformed input.
    try:
        message.read(reader)
    except Exception as error:
        raise PrimrosefordError(
            ResultCode.PEER_PROTOCOL, f"a {message_type.__name__} could not be decoded"
        ) from error
    return message


def frame(content: bytes) -> bytes:
    """Return content with its length in front.

    :param content: what the frame carries
    """
    return LENGTH.pack(len(content)) + content


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Return the content of the next frame.

    :param reader: the connection
    :param limit: largest content in bytes, checked before the content is read
    :raises PrimrosefordError: BODY_TOO_LARGE
    """
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > limit:
        raise PrimrosefordError(
            ResultCode.BODY_TOO_LARGE, f"a frame of {length} bytes exceeds {limit}"
        )
    return await reader.readexactly(length)
