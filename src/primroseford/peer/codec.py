"""Encoding and decoding of messages and length-prefixed frames."""

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

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HANDSHAKE_FRAME_BYTES = 1024

Message = TypeVar("Message")

thrift_reader = TCompactProtocolAccelerated(TMemoryBuffer())
"""Reused for all structs, since creating a reader takes as long as decoding a
heartbeat. It keeps no state between structs."""


def encode(message: Any) -> bytes:
    """Encode a generated thrift struct in the compact protocol.

    :param message: instance of a generated class
    """
    transport = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(transport))
    return transport.getvalue()


def decode(message_type: type[Message], data: bytes) -> Message:
    """Decode a thrift struct from the content of a frame.

    :param message_type: generated class
    :param data: bytes in the compact protocol
    :raises PrimrosefordError: PEER_PROTOCOL
    """
    message = message_type()
    thrift_reader.trans = TMemoryBuffer(data)
    # Rejects a declared length beyond the data before memory is allocated for it.
    thrift_reader.string_length_limit = thrift_reader.container_length_limit = len(data)
    # The generated code raises several unrelated exceptions on malformed input.
    try:
        message.read(thrift_reader)
    except Exception as error:
        raise PrimrosefordError(
            ResultCode.PEER_PROTOCOL, f"a {message_type.__name__} could not be decoded"
        ) from error
    return message


def frame(content: bytes) -> bytes:
    """Return a frame: the content with a length prefix.

    :param content: content of the frame
    """
    return LENGTH_PREFIX.pack(len(content)) + content


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Return the content of the next frame.

    :param reader: incoming bytes of the connection
    :param limit: maximum content size in bytes, checked before the content is read
    :raises PrimrosefordError: BODY_TOO_LARGE
    """
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > limit:
        raise PrimrosefordError(
            ResultCode.BODY_TOO_LARGE,
            f"a frame of {length} bytes exceeds the limit of {limit} bytes",
        )
    return await reader.readexactly(length)
