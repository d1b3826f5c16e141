"""A caller's request, apart from how the platform spells it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from primroseford.gateway.affinity import PromptPart
    from primroseford.ids import RequestId


@dataclass
class IncomingRequest:
    """A request as it came.

    :param host: host name without a port, in lower case
    :param target: path and query as sent
    :param headers: what a runner may see: without credentials, hop-by-hop headers, and
        headers that this system sets
    :param allowed: seconds that the caller waits; nothing if it did not say
    :param last_event: last event that the caller has of a stream that it resumes
    :param prompt: parts of its prompt, if it is one for an engine
    """

    request_id: RequestId
    method: str
    host: str
    target: str
    headers: CIMultiDict[str]
    key: str | None
    allowed: float | None
    last_event: str | None
    body: bytes = b""
    prompt: tuple[PromptPart, ...] = ()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]
