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
REQUEST_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
COLD_LEFT = "Cold-Ms"
REPORTED_LOAD = "Server-Load"
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"
"""Id of the request that brought the first event of the stream to be resumed."""
WAIT = "Wait-Ms"
PROMPT_PARTS = "Prompt-Prefix"
"""Despite its name, the header lists all parts of a prompt, not only the prefix; parts
that belong to the request alone are at the end."""

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


RESUMPTION = frozenset(name.lower() for name in (LAST_EVENT, RESUMES))
"""Headers that a host sends for a batch item itself, when the item's text goes on."""


def end_to_end(headers: Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    """Return the end-to-end headers of a message, without the hop-by-hop ones.

    :param headers: headers of the message (a multi-dictionary)
    :param dropped: further names to drop, in lower case
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    excluded = HOP_BY_HOP | dropped | named
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in excluded
    )
