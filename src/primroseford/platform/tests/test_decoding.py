"""Tests of the decoding of the platform's formats."""

from __future__ import annotations

import copy
import os

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.tables import RouteKind
from primroseford.ids import Version
from primroseford.logs import BoundedOutput
from primroseford.platform.configuration import decode_tables
from primroseford.platform.objects import PlatformObject
from primroseford.platform.runner_list import decode_runner
from primroseford.platform.settings import decode_node_settings
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry

SETTINGS = {
    "node_name": "front-a-1",
    "zone": "a",
    "ip": "10.1.0.5",
    "listen": {"front": "10.1.0.5:8405", "ready": "10.1.0.5:8406"},
    "port_range": [7660, 7675],
    "platform": {"address": "10.200.1.7:8408"},
    "bounds": {"grace_s": 8, "status_s": 120, "settle_ms": 1000},
    "limits": {"link_mbps": 15.0},
    "field_of_the_future": 1,
}


@pytest.mark.parametrize(
    ("contracts", "compete"),
    [({}, False), ({"contracts": ["base", "quota"]}, False)]
    + [({"contracts": ["base", "pressure"]}, True), ({"contracts": None}, False)],
)
def test_competing_callers_follow_from_the_settings(contracts, compete):
    """Guards against probes in deployments that have not asked for them."""
    assert decode_node_settings(SETTINGS | contracts).callers_compete is compete


@pytest.mark.parametrize(
    ("bounds", "seconds"), [({}, None), ({"evacuate_ms": 5000}, 5.0)]
)
def test_evacuations_follow_from_the_settings(bounds, seconds):
    """Guards against a deployment without evacuations that calls the store for them."""
    content = SETTINGS | {"bounds": SETTINGS["bounds"] | bounds}
    assert decode_node_settings(content).evacuation_seconds == seconds


@pytest.mark.parametrize(
    ("bounds", "excess", "slack"),
    [({}, 1.0, 0.0), ({"cold_excess": 1.5, "cold_slack": 5}, 1.5, 5.0)],
)
def test_bounds_of_cold_runners_follow_from_the_settings(bounds, excess, slack):
    """Guards against a deployment without these settings that does not start."""
    content = SETTINGS | {"bounds": SETTINGS["bounds"] | bounds}
    settings = decode_node_settings(content)
    assert (settings.cold_excess, settings.cold_slack) == (excess, slack)


@pytest.mark.parametrize(("bounds", "seconds"), [({}, 3.0), ({"cancel_ms": 1500}, 1.5)])
def test_time_of_a_cancellation_follows_from_the_settings(bounds, seconds):
    """Guards against a deployment with a shorter time in which items start later."""
    content = SETTINGS | {"bounds": SETTINGS["bounds"] | bounds}
    assert decode_node_settings(content).cancel_seconds == seconds


def test_settings():
    """Guards against settings that are decoded incorrectly."""
    settings = decode_node_settings(SETTINGS)
    assert settings.host == "front-a-1" and settings.peer_port == 7660
    assert settings.platform == "http://10.200.1.7:8408"
    assert (settings.stop_seconds, settings.job_retention_seconds) == (8.0, 120.0)
    assert (settings.settle_seconds, settings.link_bytes) == (1.0, 1_875_000.0)
    assert settings.readiness == "10.1.0.5:8406"


@pytest.mark.parametrize(
    ("path", "value", "code"),
    [
        ("node_name", None, ResultCode.INVALID_VALUE),
        ("bounds.grace_s", "8", ResultCode.INVALID_VALUE),
        ("bounds.grace_s", True, ResultCode.INVALID_VALUE),
        ("platform", {}, ResultCode.MISSING_FIELD),
        ("listen", [], ResultCode.INVALID_VALUE),
        ("port_range", [], ResultCode.INVALID_VALUE),
    ],
)
def test_invalid_settings_name_the_field(path, value, code):
    """Guards against a host that starts with invalid settings."""
    content = copy.deepcopy(SETTINGS)
    *outer, last = path.split(".")
    target = content[outer[0]] if outer else content
    target[last] = value
    with pytest.raises(PrimrosefordError) as caught:
        decode_node_settings(content)
    assert caught.value.code is code and path in caught.value.field


def test_tables():
    """Guards against fields of routes that are lost in decoding."""
    content = configuration(7)
    content["routes"][0]["backends"] = [
        {"service": "models", "weight": 90},
        {"service": "others", "weight": 10},
    ]
    tables = decode_tables(content)
    nudge, pick, ping, once, notes = tables.routes
    assert tables.version == 7
    assert nudge.pools == (("models", 90.0), ("others", 10.0))
    assert [r.repeatable for r in tables.routes] == [False, True, True, False, True]
    assert notes.kind is RouteKind.BATCH
    assert (notes.due, notes.abandon_after, notes.max_waiting_tokens) == (
        18.0,
        60.0,
        10_000,
    )
    assert tables.pools["models"].is_engine
    assert tables.organisations["caroni"].rate == 1000.0


@pytest.mark.parametrize(
    ("path", "found"),
    [("/a/b/c", "long"), ("/a/x", "short"), ("/a", None), ("/ab/c", None)],
)
def test_longest_prefix_wins(path, found):
    """Guards against requests that are matched to the wrong route."""
    content = configuration()
    content["routes"] = [
        content["routes"][2] | {"name": "short", "path_prefix": "/a/"},
        content["routes"][2] | {"name": "long", "path_prefix": "/a/b/"},
    ]
    route = decode_tables(content).match("vans.example", path)
    assert (route.name if route else None) == found


@pytest.mark.parametrize(
    "spec", [None, [], {}, {"version": 1}, {"version": 1, "routes": 1, "services": []}]
)
def test_unreadable_configuration(spec):
    """Guards against a crash on an invalid configuration of an operator."""
    with pytest.raises(PrimrosefordError) as caught:
        decode_tables(spec)
    assert caught.value.code is ResultCode.MALFORMED


@pytest.mark.parametrize(
    "changes",
    [
        {"address": None},
        {"address": "no port"},
        {"address": "1.2.3.4:x"},
        {"slots": "8"},
        {"slots": 0},
        {"slots": True},
        {"service": 5},
        {"service": ""},
        {"state": "resting"},
        {"born": 1.5},
        {"zone": []},
        {"version": None},
        {"version": ""},
        {"version": 1},
        {"version": ["v1"]},
        {"version": "x" * 257},
    ],
)
def test_invalid_runner_entries_are_ignored(changes):
    """Guards against requests to invalid entries that another writer created."""
    item = PlatformObject("servers", "i", Version(1), runner_entry("1.2.3.4:5"))
    assert decode_runner(item).address == "1.2.3.4:5"
    spec = runner_entry("1.2.3.4:5") | changes
    invalid = PlatformObject("servers", "i", Version(1), spec)
    assert decode_runner(invalid) is None


@pytest.mark.parametrize("spec", [None, "text", [], 5, {}])
def test_malformed_runner_entries_are_ignored(spec):
    """Guards against a crash on a malformed entry."""
    assert decode_runner(PlatformObject("servers", "i", Version(1), spec)) is None


def test_log_lines_are_dropped_when_the_reader_stops():
    """Guards against a host that blocks because the reader of its log has stopped."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    for number in range(10_000):
        output.write(f"event='x' number={number} {'-' * 100}\n")
    output.write("event='request refused' id=1\n")
    assert output.dropped_lines > 0
    received = b""
    while len(output.pending) or output.dropped_lines:
        received += os.read(reader, 1 << 20)
        output.flush()
    received += os.read(reader, 1 << 20)
    lines = received.decode().splitlines()
    assert "event='request refused' id=1" in lines
    assert lines[-1].startswith("event='log lines left out' count=")
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("version", [float("inf"), float("nan"), None, "x", [1]])
def test_configuration_with_an_invalid_version(version):
    """Guards against a document that stops the service that watches the configuration.

    ``make fuzz`` found the failure with infinity.
    """
    with pytest.raises(PrimrosefordError):
        decode_tables(configuration() | {"version": version})
