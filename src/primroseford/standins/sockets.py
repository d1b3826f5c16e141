"""Sockets of stand-ins."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let the close of a connection discard what is not sent and reset its peer.

    Else even an aborted connection ends as an orderly one for its peer.
    """
    connection = writer.get_extra_info("socket")
    zero_linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
