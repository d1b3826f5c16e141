"""Fuzz tests of the decoders of external input.

Each decoder must either decode its input or raise a ``PrimrosefordError``.
``make fuzz`` tries many more inputs.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from primroseford.cli.render import difference_body
from primroseford.cli.render import difference_lines
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.affinity import prefix_cache_key
from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.requests import IncomingRequest
from primroseford.jobs.run import parse_event
from primroseford.online.events import EventSplitter
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.platform.client import PlatformClient
from primroseford.platform.configuration import decode_tables
from primroseford.platform.configuration_check import check_configuration
from primroseford.platform.configuration_check import is_configuration
from primroseford.platform.configuration_check import read_configuration
from primroseford.platform.configuration_difference import diff_configurations
from primroseford.platform.headers import PROMPT_PARTS
from primroseford.platform.job_calls import decode_job_call
from primroseford.platform.job_calls import decode_submission
from primroseford.platform.objects import PlatformObject
from primroseford.platform.prompts import decode_prompt
from primroseford.platform.runner_list import decode_runner
from primroseford.platform.settings import decode_node_settings
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=True)
    | st.text(max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def mutated(valid: dict):
    """Return a strategy for a valid document with some of its values replaced."""
    paths = list(_paths(valid))

    @st.composite
    def build(draw):
        document = json.loads(json.dumps(valid))
        for path in draw(st.lists(st.sampled_from(paths), min_size=1, max_size=3)):
            _replace(document, path, draw(VALUES))
        return document

    return build()


def _paths(value, path=()):
    entries = ()
    if isinstance(value, dict):
        entries = value.items()
    elif isinstance(value, list):
        entries = enumerate(value)
    for key, inner in entries:
        yield (*path, key)
        yield from _paths(inner, (*path, key))


def _replace(document, path, value) -> None:
    for key in path[:-1]:
        try:
            document = document[key]
        except (KeyError, IndexError, TypeError):
            return
    try:
        document[path[-1]] = value
    except (IndexError, TypeError):
        return


SETTINGS = {
    "node_name": "h",
    "zone": "a",
    "ip": "10.0.0.1",
    "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "port_range": [7660, 7670],
    "platform": {"address": "10.0.0.9:1"},
    "bounds": {"grace_s": 8, "status_s": 120, "settle_ms": 1000},
    "limits": {"link_mbps": 15.0},
}


@given(mutated(configuration()))
def test_fuzz_configuration(document):
    """Guards against an operator's document that stops a service of a host."""
    try:
        decode_tables(document)
    except PrimrosefordError:
        return


@given(mutated(SETTINGS) | VALUES)
def test_fuzz_settings(document):
    """Guards against a settings file that causes an unexpected exception."""
    try:
        decode_node_settings(document)
    except PrimrosefordError:
        return


@given(mutated(runner_entry("10.0.0.1:1")) | VALUES)
def test_fuzz_runner_entry(spec):
    """Guards against an invalid entry that prevents the decoding of all runners."""
    decode_runner(PlatformObject("servers", "i-1", 1, spec))


def incoming(target: str, body: bytes, method: str = "POST") -> IncomingRequest:
    """Return a caller's request."""
    headers = CIMultiDict({"Wait-Ms": target[:3]})
    return IncomingRequest("id-1", method, "h", target, headers, None, None, None, body)


ITEM = {"id": "a", "path": "/x", "headers": {"Model": "m"}, "body": "", "tokens": 1}


@given(
    mutated({"items": [ITEM]}).map(lambda d: json.dumps(d).encode())
    | st.binary(max_size=40)
)
def test_fuzz_submission(body):
    """Guards against an invalid job that is not refused with a result code."""
    try:
        decode_submission(incoming("/notes/x", body))
    except PrimrosefordError:
        return


@given(
    st.sampled_from(["/lots/", "/items/", "/"]),
    st.text(max_size=30),
    st.sampled_from(["GET", "DELETE", "POST"]),
)
def test_fuzz_job_call(start, rest, method):
    """Guards against a path or query that causes an internal error."""
    try:
        decode_job_call(incoming(start + rest, b"", method))
    except PrimrosefordError:
        return


@given(st.text(max_size=60) | st.from_regex(r"([a-f0-9]{1,4}:[0-9]{1,6},?){0,5}"))
def test_fuzz_prompt(header):
    """Guards against a malformed hint that causes a request to be refused."""
    assert isinstance(prefix_cache_key(decode_prompt({PROMPT_PARTS: header})), str)


@pytest.mark.parametrize("message", [Heartbeat, Bundle])
@given(data=st.binary(max_size=80))
def test_fuzz_datagram(message, data):
    """Guards against a datagram that stops a service or exhausts memory."""
    try:
        decode(message, data)
    except PrimrosefordError:
        return


@given(data=st.data())
def test_fuzz_damaged_datagram(data):
    """Guards against the same failures with a slightly damaged datagram."""
    valid = bytearray(encode(Bundle("h", [b"abc" * 20])))
    for _ in range(data.draw(st.integers(1, 4))):
        valid[data.draw(st.integers(0, len(valid) - 1))] = data.draw(
            st.integers(0, 255)
        )
    try:
        decode(Bundle, bytes(valid))
    except PrimrosefordError:
        return


@given(st.lists(st.binary(max_size=30) | st.sampled_from([b"\n\n", b"data: x"])))
def test_fuzz_events(chunks):
    """Guards against lost or repeated bytes and against split events."""
    splitter = EventSplitter(200)
    passed = b""
    try:
        for chunk in chunks:
            passed += splitter.feed(chunk)
    except ValueError:
        assert len(splitter.pending) > 200
        return
    assert passed + splitter.pending == b"".join(chunks)
    assert not passed or passed.endswith((b"\n\n", b"\r\n\r\n"))


@given(st.text(max_size=60))
def test_fuzz_event(text):
    """Guards against an event that causes an exception in the run of an item."""
    parse_event(text)


class FixedTransport:
    """A transport that returns the same response to each call."""

    def __init__(self, body) -> None:
        self.body = body

    async def call(self, call):
        """Return the response."""
        return self.body


LIST_RESPONSE = {
    "items": [{"metadata": {"name": "a", "revision": 3}, "spec": {}, "status": None}],
    "has_more": False,
    "as_of": 7,
}
FIRST = LIST_RESPONSE["items"][0]
WATCH_RESPONSE = {"events": [{"object": FIRST, "deleted": False}], "as_of": 9}


@given(body=mutated(LIST_RESPONSE) | VALUES)
async def test_fuzz_list(body):
    """Guards against an endless list and against malformed objects."""
    try:
        await PlatformClient(FixedTransport(body)).list("kind")
    except PrimrosefordError:
        return


@given(body=mutated(LIST_RESPONSE["items"][0]) | VALUES)
async def test_fuzz_object(body):
    """Guards against the response to another call."""
    try:
        found = await PlatformClient(FixedTransport(body)).get("kind", "a")
    except PrimrosefordError:
        return
    assert found.name == "a"


@given(body=mutated(WATCH_RESPONSE) | VALUES)
async def test_fuzz_watch(body):
    """Guards against the response to a watch call that stops a service of a host."""
    try:
        async for event in PlatformClient(FixedTransport(body)).watch("kind", 1):
            if event.object is None:
                return
    except PrimrosefordError:
        return


async def test_endless_list_is_rejected():
    """Guards against a service that always reports further pages."""
    body = LIST_RESPONSE | {"has_more": True}
    with pytest.raises(PrimrosefordError):
        await PlatformClient(FixedTransport(body)).list("kind")


DOCUMENTS = (
    mutated(configuration())
    | mutated({"metadata": {"name": "main"}, "spec": configuration()})
    | VALUES
)


@given(DOCUMENTS, DOCUMENTS)
def test_fuzz_configuration_check(document, in_force):
    """Guards against a document that the check can't report on."""
    document, in_force = read_configuration(document), read_configuration(in_force)
    is_configuration(document)
    problems = check_configuration(document, "f", in_force)
    # MALFORMED means that the decoder rejects what the check of the fields accepts.
    assert all(p.code is not ResultCode.MALFORMED for p in problems)
    differences = diff_configurations(in_force, document)
    bodies = [difference_body(difference) for difference in differences]
    text = json.dumps(bodies, allow_nan=False) + "".join(map(str, problems))
    text += "".join(line for d in differences for line in difference_lines(d))
    assert text.isprintable()
