"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from primroseford.online.error_responses import error_body

if TYPE_CHECKING:
    from primroseford.errors import PrimrosefordError

END_MARK = b"data: [DONE]"
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)\r?$", re.MULTILINE)
EVENT_DATA = re.compile(rb"^data:", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_STREAM = "text/event-stream"
STREAM_END = re.compile(rb"\n\r?\n\Z")
EVENT_END_BYTES = 3
"""Longest match of ``STREAM_END``."""
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventSplitter:
    """Returns the complete events of a stream and buffers the last, partial one.

    A stream can be resumed after any complete event, so a partial event is never
    forwarded.

    :param max_event_bytes: size limit of an event
    :param resumed_after: id of the event after which the runner resumes the stream;
        none if the stream is not resumed, or once its first event was checked
    :ivar taken_up_after: the same for the first runner of a response
    :ivar last_block_with_id: last block of complete events that contains an event id
    :ivar data_after_id: whether a later block has data but no event id
    """

    def __init__(
        self,
        max_event_bytes: int = MAX_EVENT_BYTES,
        resumed_after: str | None = None,
    ) -> None:
        self.max_event_bytes = max_event_bytes
        self.resumed_after = self.taken_up_after = resumed_after
        self.pending = b""
        self.last_block_with_id = b""
        self.data_after_id = False
        self.ended = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event.

        :param chunk: next bytes of the stream
        :raises ValueError: if an event is too large, or a resumed stream repeats
            earlier events
        """
        data = self.pending + chunk if self.pending else chunk
        if data.endswith(b"\n\n"):
            complete, self.pending = data, b""
        else:
            end = _end_of_events(data)
            complete, self.pending = data[:end], data[end:]
            if len(self.pending) > self.max_event_bytes:
                # The error's traceback would keep the event until it is collected.
                self.pending = data = complete = b""
                raise ValueError("an event exceeds the size limit")
        if complete and self.resumed_after is not None:
            self._check_resumed_events(complete)
        if complete:
            if complete.startswith(b"id:") or b"\nid:" in complete:
                self.last_block_with_id = complete
                self.data_after_id = False
            elif EVENT_DATA.search(complete):
                self.data_after_id = True
            if complete.rstrip().endswith(END_MARK):
                self.ended = True
        return complete

    def restart(self) -> None:
        """Discard the partial event before the stream is resumed."""
        self.pending = b""
        known = self.last_event_id()
        self.resumed_after = self.taken_up_after if known is None else known

    def _check_resumed_events(self, complete: bytes) -> None:
        """Check the first event with data or an id of a resumed stream.

        Event ids increase within a stream. A runner that does not know the last id
        sends the stream from its start.
        """
        for event in EVENT_END.split(complete):
            found = EVENT_ID.search(event)
            if found is not None:
                number, last = found[1].decode(errors="replace"), self.resumed_after
                if number.isdecimal() and last.isdecimal():
                    repeats_events = int(number) <= int(last)
                else:
                    repeats_events = number == last
            else:
                # The end mark has no id; it may be the only event that is left.
                repeats_events = bool(EVENT_DATA.search(event)) and event != END_MARK
                if not repeats_events:
                    continue
            if repeats_events:
                raise ValueError("events of a resumed stream are sent again")
            self.resumed_after = None
            return

    def last_event_id(self) -> str | None:
        """Return the id of the last complete event that has one.

        It is none, too, if the id is not UTF-8 and so cannot be sent in a header.
        """
        found = EVENT_ID.findall(self.last_block_with_id)
        if not found:
            return None
        try:
            return found[-1].decode()
        except UnicodeDecodeError:
            return None

    def can_resume(self) -> bool:
        """Return whether a resumed stream would repeat no event.

        It would repeat events if data was received after the last event with an id, or
        if data was received without any id that can be sent to a runner.
        """
        if self.data_after_id:
            return False
        if self.last_block_with_id and self.last_event_id() is None:
            return False
        for event in reversed(EVENT_END.split(self.last_block_with_id)):
            if EVENT_ID.search(event):
                return True
            if EVENT_DATA.search(event):
                return False
        return True


def _end_of_events(data: bytes) -> int:
    end = data.rfind(b"\n\n") + 2
    if b"\r" in data:
        end = max(end, data.rfind(b"\r\n\r\n") + 4 if b"\r\n\r\n" in data else 0)
    return end if end > 1 else 0


def ends_after_event(tail: bytes) -> bool:
    """Return whether an event stream ends after an event, or is empty.

    :param tail: last ``EVENT_END_BYTES`` bytes of the stream
    """
    return not tail or STREAM_END.search(tail) is not None


def error_event(error: PrimrosefordError) -> bytes:
    """Return the error event that ends a stream which cannot be completed."""
    return f"event: error\ndata: {json.dumps(error_body(error))}\n\n".encode()


def count_events(events: bytes) -> int:
    """Return the number of events in a block of complete events, at least 1."""
    return max(1, events.count(b"\n\n") + events.count(b"\n\r\n"))
