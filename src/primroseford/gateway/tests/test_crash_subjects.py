"""Ids of requests under which a runner may crash."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict

from primroseford.gateway.crash_subjects import CrashSubjects
from primroseford.gateway.requests import IncomingRequest
from primroseford.gateway.tables import Organisation


def request_id(
    name: str = "id-1",
    target: str = "/ping/a",
    organisation: str = "caroni",
    body: bytes = b"body",
) -> str:
    """Return the id of a request's content."""
    incoming = IncomingRequest(
        name, "POST", "vans", target, CIMultiDict(), None, None, None, body
    )
    return CrashSubjects(incoming, Organisation(organisation, 1.0, 1.0)).request


@pytest.mark.parametrize(
    ("changes", "same"),
    [
        ({}, True),
        ({"name": "id-2"}, True),
        ({"target": "/ping/b"}, False),
        ({"target": "/ping/a?x=1"}, False),
        ({"organisation": "other"}, False),
        ({"body": b"other"}, False),
        ({"target": "/ping/", "organisation": "acaroni"}, False),
    ],
)
def test_other_request_is_taken_for_the_same(changes, same):
    """Guards against a verdict on one request that meets another one."""
    assert (request_id(**changes) == request_id()) is same
