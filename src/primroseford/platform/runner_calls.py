"""Requests to runners and what their answers say."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from primroseford.platform.headers import ANSWERING_RUNNER
from primroseford.platform.headers import DEADLINE
from primroseford.platform.headers import LAST_EVENT
from primroseford.platform.headers import NOT_RUN
from primroseford.platform.headers import ORGANISATION
from primroseford.platform.headers import REQUEST_ID
from primroseford.platform.headers import RUNNER
from primroseford.platform.headers import SIGNATURE
from primroseford.platform.headers import end_to_end

if TYPE_CHECKING:
    import aiohttp

MISDIRECTED_STATUS = 421
"""Another runner has the address now; it did not run the request."""
ITEM_INVALID_STATUS = 422
"""A batch item can never be done."""


def runner_headers(
    headers: CIMultiDict[str],
    runner: str,
    organisation: str | None,
    seconds: float,
    last_event: str | None,
) -> CIMultiDict[str]:
    """Return the headers of one attempt.

    :param headers: end-to-end headers of the caller's request or the batch item
    :param runner: the only runner that may run it
    :param organisation: for whom it runs; nothing on public routes
    :param seconds: time left
    :param last_event: event after which a stream goes on, if it is resumed
    """
    sent = CIMultiDict(headers)
    sent[RUNNER] = runner
    sent[DEADLINE] = str(max(1, int(seconds * 1000)))
    if organisation is not None:
        sent[ORGANISATION] = organisation
    if last_event is not None:
        sent[LAST_EVENT] = last_event
    return sent


def item_headers(headers: dict[str, str], host: str, item: str) -> CIMultiDict[str]:
    """Return the headers of a batch item, as of a caller's request.

    :param headers: the item's own headers
    :param host: host name of the item's route
    :param item: id of the item
    """
    kept = end_to_end(CIMultiDict(headers), frozenset())
    kept["Host"] = host
    kept[REQUEST_ID] = item
    return kept


def did_not_run(answer: aiohttp.ClientResponse) -> bool:
    """Return whether an answer promises that the runner did not run the request."""
    return NOT_RUN in answer.headers or answer.status == MISDIRECTED_STATUS


def names_other_runner(answer: aiohttp.ClientResponse, runner: str) -> bool:
    """Return whether a refusal says that another runner has the address now."""
    other = answer.headers.get(ANSWERING_RUNNER)
    return answer.status == MISDIRECTED_STATUS and other not in (None, runner)


def matches_request_id(answer: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether an answer is that to a request.

    An answer without an id counts only if it refuses the request.
    """
    echoed = answer.headers.get(REQUEST_ID)
    if echoed is None:
        return did_not_run(answer)
    return echoed == request_id


def is_signed(answer: aiohttp.ClientResponse) -> bool:
    """Return whether a runner made the answer."""
    return SIGNATURE in answer.headers


def response_headers(answer: aiohttp.ClientResponse) -> CIMultiDict[str]:
    """Return the headers of a runner's answer that the caller gets."""
    return end_to_end(answer.headers, frozenset())
