"""A caller's request, decoded from the headers that the platform defines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.ids import RequestId

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from primroseford.gateway.affinity import PromptPart
    from primroseford.ids import PromptPartId


@dataclass
class IncomingRequest:
    """A request as received.

    :param host: host name without a port, in lower case
    :param target: path and query as sent
    :param headers: headers to forward to a runner, without credentials, hop-by-hop
        headers and headers that this system sets
    :param key: API key, if the request has one
    :param timeout: timeout in seconds that the caller set; ``None`` if it set none
    :param last_event: id of the last event received of a stream that is to be resumed
    :param prompt: parts of the prompt, if the request is for an engine
    :param began_as: id of the request that brought the first event of that stream;
        empty if the caller does not name it
    """

    request_id: RequestId
    method: str
    host: str
    target: str
    headers: CIMultiDict[str]
    key: str | None
    timeout: float | None
    last_event: str | None
    body: bytes = b""
    prompt: tuple[PromptPart, ...] = ()
    began_as: RequestId = RequestId("")

    @property
    def shared_parts(self) -> list[PromptPartId]:
        """Ids of the prompt parts that other requests may share."""
        return [part.id for part in self.prompt[:-1]]

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]
