"""Complete events in a stream of server-sent events."""

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
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventSplitter:
    """Lets only complete events through, as bytes.

    A stream can be resumed after any event, so a partial one is never passed on.

    :param max_event_bytes: longest event
    :param resumed_after: id behind which this run goes on; nothing for a whole run, and
        once its first event has come
    :ivar last_with_id: the last block of whole events in which one has an id
    :ivar after_id: whether blocks with data and without any id came after it
    """

    def __init__(
        self,
        max_event_bytes: int = MAX_EVENT_BYTES,
        resumed_after: str | None = None,
    ) -> None:
        self.max_event_bytes = max_event_bytes
        self.resumed_after = resumed_after
        self.pending = b""
        self.last_with_id = b""
        self.after_id = False
        self.ended = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event.

        :param chunk: bytes as they came
        :raises ValueError: if one event is too large, or a resumed run begins with
            events that were sent before
        """
        data = self.pending + chunk if self.pending else chunk
        if data.endswith(b"\n\n"):
            complete, self.pending = data, b""
        else:
            end = _end_of_events(data)
            complete, self.pending = data[:end], data[end:]
            if len(self.pending) > self.max_event_bytes:
                raise ValueError("an event is too large")
        if complete and self.resumed_after is not None:
            self._check_resumed(complete)
        if complete:
            if complete.startswith(b"id:") or b"\nid:" in complete:
                self.last_with_id = complete
                self.after_id = False
            elif EVENT_DATA.search(complete):
                self.after_id = True
            if complete.rstrip().endswith(END_MARK):
                self.ended = True
        return complete

    def restart(self) -> None:
        """Forget the partial event before the stream is resumed."""
        self.pending = b""
        self.resumed_after = self.last_event_id()

    def _check_resumed(self, complete: bytes) -> None:
        """Check the first event with data, or with an id, of a resumed run.

        Ids of a stream increase; a run that does not know the last one begins anew.
        """
        for event in EVENT_END.split(complete):
            found = EVENT_ID.search(event)
            if found is not None:
                number, last = found[1].decode(), self.resumed_after
                if number.isdecimal() and last.isdecimal():
                    begins_anew = int(number) <= int(last)
                else:
                    begins_anew = number == last
            else:
                # The mark of the end has no id; nothing but it may be left.
                begins_anew = bool(EVENT_DATA.search(event)) and event != END_MARK
                if not begins_anew:
                    continue
            if begins_anew:
                raise ValueError("events are sent again")
            self.resumed_after = None
            return

    def last_event_id(self) -> str | None:
        """Return the id of the last complete event that had one."""
        found = EVENT_ID.findall(self.last_with_id)
        return found[-1].decode() if found else None

    def can_resume(self) -> bool:
        """Return whether a run after the last id sends nothing a second time.

        That is so unless data came after it, or without any id.
        """
        if self.after_id:
            return False
        for event in reversed(EVENT_END.split(self.last_with_id)):
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


def error_event(error: PrimrosefordError) -> bytes:
    """Return the event that ends a stream which cannot be completed."""
    return f"event: error\ndata: {json.dumps(error_body(error))}\n\n".encode()
