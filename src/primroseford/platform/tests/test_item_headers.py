"""Headers of a batch item that must not reach a runner."""

from __future__ import annotations

import pytest

from primroseford.platform.runner_calls import item_headers


@pytest.mark.parametrize("name", ["Last-Event-Id", "last-event-id", "Resumes"])
def test_item_names_an_event_of_its_own(name):
    """Guards against a text that lacks its first events and is listed as complete."""
    headers = item_headers({"Model": "m", name: "2"}, "vans.example", "it0")
    assert name not in headers and headers["Model"] == "m"


@pytest.mark.parametrize("name", ["Api-Key", "api-key", "Tenant", "Target-Instance"])
def test_item_names_a_key_or_an_organisation(name):
    """Guards against a key that reaches a runner, and a forged organisation."""
    headers = item_headers({"Model": "m", name: "x"}, "vans.example", "it0")
    assert name not in headers and headers["Model"] == "m"
    assert (headers["Host"], headers["Request-Id"]) == ("vans.example", "it0")
