"""Socket options for stand-ins."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Make the close of a connection discard unsent data and send a TCP reset.

    Without this option (``SO_LINGER`` with a time of 0), the peer sees an orderly end
    of the connection even if its transport is aborted.
    """
    connection = writer.get_extra_info("socket")
    zero_linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
