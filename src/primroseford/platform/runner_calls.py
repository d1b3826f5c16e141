"""Headers of requests to runners, and interpretation of the responses."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from primroseford.gateway.notices import ReportedLoad
from primroseford.gateway.notices import RunnerNotice
from primroseford.platform.headers import ANSWERING_RUNNER
from primroseford.platform.headers import COLD_LEFT
from primroseford.platform.headers import DEADLINE
from primroseford.platform.headers import LAST_EVENT
from primroseford.platform.headers import LEAVING
from primroseford.platform.headers import NOT_RUN
from primroseford.platform.headers import ORGANISATION
from primroseford.platform.headers import REPORTED_LOAD
from primroseford.platform.headers import REQUEST_ID
from primroseford.platform.headers import REQUEST_LIMIT
from primroseford.platform.headers import RESUMPTION
from primroseford.platform.headers import RUNNER
from primroseford.platform.headers import SET_BY_SYSTEM
from primroseford.platform.headers import SIGNATURE
from primroseford.platform.headers import end_to_end
from primroseford.platform.objects import DECODING_ERRORS

if TYPE_CHECKING:
    import aiohttp

REPORT_PATH = "/report"
"""Path at which an engine reports on itself."""
REPORT_STATUS = 200
MISDIRECTED_STATUS = 421
"""Status of a runner that now has the target's address and did not run the request."""
ITEM_INVALID_STATUS = 422
"""Status for a batch item that can never succeed."""
MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,9}")
RATE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?|\.[0-9]{1,9}")
MAX_REPORTED_REQUESTS = 100_000
"""Largest number of requests that a report is believed."""
MAX_LOGGED_VALUE_LENGTH = 40
LOAD_PATTERN = re.compile(
    r"\s*([0-9]{1,5})[\s,;/]+([0-9]{1,5})[\s,;/]+([0-9]{1,5})"
    r"(?:[\s,;/]+([0-9]{1,5}))?\s*"
)
MAX_LOAD_LENGTH = 40
"""Longest value that is parsed: four figures of five digits and their separators."""
MIN_SLOWNESS, MAX_SLOWNESS = 20, 1000
"""Slowness that a runner may report, in hundredths. Beyond five times faster or ten
times slower than usual the figure says nothing that a placement could rely on."""
LEAVING_VALUE = "1"


def runner_headers(
    headers: CIMultiDict[str],
    runner: str,
    organisation: str | None,
    seconds: float,
    last_event: str | None,
) -> CIMultiDict[str]:
    """Return the headers of one attempt.

    :param headers: end-to-end headers of the caller's request or the batch item
    :param runner: the only runner that may run the request
    :param organisation: organisation of the caller; none on public routes
    :param seconds: time left until the deadline
    :param last_event: id of the event after which a stream is resumed, if it is
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
    """Return the headers of a batch item, like those of a caller's request.

    :param headers: the item's own headers
    :param host: host name of the item's route
    :param item: id of the item
    """
    kept = end_to_end(CIMultiDict(headers), SET_BY_SYSTEM | RESUMPTION)
    kept["Host"] = host
    kept[REQUEST_ID] = item
    return kept


def did_not_run(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response guarantees that the runner did not run the request."""
    return NOT_RUN in response.headers or response.status == MISDIRECTED_STATUS


def names_other_runner(response: aiohttp.ClientResponse, runner: str) -> bool:
    """Return whether a refusal shows that another runner now has the address."""
    other = response.headers.get(ANSWERING_RUNNER)
    return response.status == MISDIRECTED_STATUS and other not in (None, runner)


def matches_request_id(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether a response belongs to a request.

    A response without an id counts only if it refuses the request.
    """
    echoed = response.headers.get(REQUEST_ID)
    if echoed is None:
        return did_not_run(response)
    return echoed == request_id


def decode_notice(response: aiohttp.ClientResponse) -> RunnerNotice:
    """Return what a runner says about itself in the head of a response."""
    headers = response.headers
    leaving = any(
        value.strip() == LEAVING_VALUE for value in headers.getall(LEAVING, [])
    )
    values = headers.getall(REQUEST_LIMIT, [])
    if not values:
        return RunnerNotice(leaving=leaving)
    text = values[0].strip()
    if len(values) == 1 and RATE_PATTERN.fullmatch(text) and float(text) > 0:
        return RunnerNotice(request_limit=float(text), leaving=leaving)
    invalid = ", ".join(values)[:MAX_LOGGED_VALUE_LENGTH]
    return RunnerNotice(invalid_limit=invalid, leaving=leaving)


def decode_cold_seconds(response: aiohttp.ClientResponse) -> float | None:
    """Return for how long a runner stays cold, from its health response.

    :returns: time in seconds; ``None`` if the response does not state it
    """
    text = response.headers.get(COLD_LEFT, "").strip()
    return int(text) / 1000 if MILLISECONDS_PATTERN.fullmatch(text) else None


def decode_load(response: aiohttp.ClientResponse) -> ReportedLoad | None:
    """Return the load that a runner reports in the head of a response.

    :returns: ``None`` if there is no valid report; a load without slowness if only
        that figure is missing or out of bounds
    """
    values = response.headers.getall(REPORTED_LOAD, ())
    if len(values) != 1 or len(values[0]) > MAX_LOAD_LENGTH:
        return None
    match = LOAD_PATTERN.fullmatch(values[0])
    if match is None:
        return None
    running, waiting, slots, slowness = match.groups()
    if not int(slots):
        return None
    known = None if slowness is None else int(slowness)
    if known is not None and not MIN_SLOWNESS <= known <= MAX_SLOWNESS:
        known = None
    return ReportedLoad(int(running), int(waiting), int(slots), known)


def decode_start(body: bytes) -> int | None:
    """Return the start of a runner from its report.

    :param body: body of the response
    :returns: Unix time in milliseconds; ``None`` if the report does not tell it
    """
    try:
        born = json.loads(body)["born"]
    except DECODING_ERRORS:
        return None
    return born if type(born) is int and born > 0 else None


def decode_report_load(body: bytes, slots: int) -> ReportedLoad | None:
    """Return the load of a runner from its report; ``None`` if it does not tell it.

    :param body: body of the response
    :param slots: requests that the runner processes concurrently
    """
    try:
        report = json.loads(body)
        running, waiting = report["in_flight"], report["queue_depth"]
    except DECODING_ERRORS:
        return None
    for count in (running, waiting):
        if type(count) is not int or not 0 <= count <= MAX_REPORTED_REQUESTS:
            return None
    return ReportedLoad(running, waiting, slots)


def is_signed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the response was created by a runner."""
    return SIGNATURE in response.headers


def response_headers(response: aiohttp.ClientResponse) -> CIMultiDict[str]:
    """Return the headers of a runner's response that are forwarded to the caller."""
    return end_to_end(response.headers, frozenset())
