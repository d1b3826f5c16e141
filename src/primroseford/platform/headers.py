"""Names of the platform's HTTP headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST_ID = "Request-Id"
API_KEY = "Api-Key"
ORGANISATION = "Tenant"
DEADLINE = "Deadline-Ms"
RUNNER = "Target-Instance"
ANSWERING_RUNNER = "Instance-Id"
NOT_RUN = "Not-Executed"
SIGNATURE = "Server-Signature"
LAST_EVENT = "Last-Event-Id"
WAIT = "Wait-Ms"
PROMPT_PARTS = "Prompt-Prefix"
"""Lists all parts of a prompt, the request's own at the end, not only a prefix."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
SET_BY_SYSTEM = frozenset(
    name.lower() for name in (API_KEY, ORGANISATION, DEADLINE, RUNNER)
)


def end_to_end(headers: Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    """Return the headers that concern more than one connection.

    :param headers: multi-dictionary of the message
    :param dropped: further names to leave out, in lower case
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    left_out = HOP_BY_HOP | dropped | named
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in left_out
    )
