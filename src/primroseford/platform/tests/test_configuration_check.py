from __future__ import annotations

import copy
import json

import pytest

from primroseford.configuration.check import Severity
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.configuration_check import check_configuration
from primroseford.platform.configuration_check import is_configuration
from primroseford.platform.configuration_check import read_configuration
from primroseford.platform.configuration_difference import diff_configurations
from primroseford.platform.configuration_fields import shorten_key
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration

ABSENT = object()


def changed(*changes, **arguments):
    """Return the example configuration with some values replaced.

    :param changes: pairs of a path and the value to set; ``ABSENT`` removes the field
    """
    document = copy.deepcopy(configuration(**arguments))
    for path, value in changes:
        *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
        target = document
        for part in parents:
            target = target[part]
        if value is ABSENT:
            del target[last]
        elif isinstance(target, list) and last == len(target):
            target.append(value)
        else:
            target[last] = value
    return document


def find(document, in_force=None):
    """Return severity and path of the problems of a document."""
    problems = check_configuration(read_configuration(document), "f", in_force)
    return [(p.severity.value, p.field.removeprefix("f:")) for p in problems]


@pytest.mark.parametrize("document", [configuration(), {"spec": configuration()}])
def test_valid_configuration_has_no_problems(document):
    """Guards against false reports."""
    assert is_configuration(document)
    assert find(document) == []
    assert find(changed(("tenants", ABSENT), ("limits", ABSENT))) == []


SECOND_TENANT = {"name": "b", "api_keys": ["other-key"]}


@pytest.mark.parametrize(
    "path, value",
    [
        ("version", ABSENT),
        ("version", "1"),
        ("version", True),
        ("version", -1),
        ("version", 1.5),
        ("version", 2**60),
        ("routes", ABSENT),
        ("routes", {}),
        ("routes.0", "r"),
        ("routes.0.name", ABSENT),
        ("routes.0.name", ""),
        ("routes.1.name", "r0"),
        ("routes.0.kind", "unknown"),
        ("routes.0.kind", ["batch"]),
        ("routes.0.host", "vans.example:80"),
        ("routes.0.path_prefix", "nudge/"),
        ("routes.0.timeout_ms", 0),
        ("routes.0.timeout_ms", None),
        ("routes.0.timeout_ms", float("nan")),
        ("routes.0.slo_ms", -1),
        ("routes.0.slo_ms", "300"),
        ("routes.0.priority", -1),
        ("routes.0.max_attempts", 1.5),
        ("routes.0.public", "no"),
        ("routes.0.service", ABSENT),
        ("routes.0.service", "absent"),
        ("routes.4.max_count", -1),
        ("services", ABSENT),
        ("services.0", 3),
        ("services.0.health_path", None),
        ("services.0.cold_start_s", -1),
        ("tenants", None),
        ("tenants.0", KEY),
        ("tenants.0.name", ABSENT),
        ("tenants.0.api_keys", KEY),
        ("tenants.0.api_keys.0", ""),
        ("tenants.0.rate_per_s", -1),
        ("tenants.0.burst", 0.5),
        ("limits", []),
        ("limits.max_body_bytes", 0),
        ("limits.max_header_bytes", 0),
        ("limits.idle_timeout_ms", "15 s"),
    ],
)
def test_errors(path, value):
    """Guards against an unusable entry that is sent since the check passes."""
    found = find(changed((path, value)))
    assert ("error", path) in found
    # Where the list of services is missing, no route has a service either.
    if path.split(".")[0] != "services":
        assert found == [("error", path)]


@pytest.mark.parametrize(
    "changes, path",
    [
        ([("routes.0.host", "Vans.example")], "routes.0.host"),
        ([("routes.0.path_prefix", "/nudge")], "routes.0.path_prefix"),
        ([("routes.0.slo_ms", 5001)], "routes.0.timeout_ms"),
        ([("routes.0.max_attempts", 2)], "routes.0.max_attempts"),
        ([("routes.3.max_attempts", 2)], "routes.3.max_attempts"),
        ([("routes.4.due_ms", 60_001)], "routes.4.due_ms"),
        (
            [("routes.0.backends", [{"service": "models", "weight": 0}])],
            "routes.0.backends",
        ),
        ([("tenants.0.api_keys", [])], "tenants.0.api_keys"),
        ([("tenants.0.api_keys", ABSENT)], "tenants.0.api_keys"),
        ([("tenants.0.burst", 1)], "tenants.0.burst"),
        ([("services.0.cold_start_s", 3)], "services.0.cold_per_s"),
        ([("services.0.cold_per_s", 8.3)], "services.0.cold_start_s"),
        ([("limits.header_timeout_ms", 15_001)], "limits.idle_timeout_ms"),
    ],
)
def test_warnings(changes, path):
    """Guards against a contradiction that is not found, or that counts as an error."""
    assert find(changed(*changes)) == [("warning", path)]


@pytest.mark.parametrize(
    "changes",
    [
        [("services.0.cold_start_s", 3), ("services.0.cold_per_s", 8.3)],
        [("services.0.cold_start_s", 0), ("services.0.cold_per_s", 0)],
        [("limits.header_timeout_ms", 15_000)],
        [("tenants.0.rate_per_s", 0), ("tenants.0.burst", 0)],
        [("tenants.1", SECOND_TENANT)],
        [("routes.0.priority", None), ("routes.4.max_wait_s", 18)],
    ],
)
def test_consistent_limits_are_accepted(changes):
    """Guards against false reports at the edges of the allowed ranges."""
    assert find(changed(*changes)) == []


BACKENDS = [{"service": "models", "weight": 1}, {"service": "b", "weight": -1}, 3]


@pytest.mark.parametrize(
    "changes, expected",
    [
        (
            [("routes.0.backends", BACKENDS)],
            ["routes.0.backends.2", "routes.0.backends.1.weight"],
        ),
        ([("routes.0.backends", 3)], ["routes.0.backends"]),
        ([("routes.0.backends", [{"weight": 1}])], ["routes.0.backends.0.service"]),
        (
            [("routes.0.backends", [{"service": "models", "weight": 0}] * 2)],
            ["routes.0.backends"],
        ),
        ([("routes.1.path_prefix", "/nudge/")], ["routes.1"]),
        (
            [("tenants.1", SECOND_TENANT | {"api_keys": [KEY]})],
            ["tenants.1.api_keys"],
        ),
        (
            [("tenants.1", SECOND_TENANT | {"name": "caroni"})],
            ["tenants.1.name"],
        ),
        (
            [("services.1", {"name": "models"})],
            ["services.1.name"],
        ),
    ],
)
def test_errors_between_entries(changes, expected):
    """Guards against references and duplicates that are not found."""
    assert find(changed(*changes)) == [("error", path) for path in expected]


@pytest.mark.parametrize(
    "version, in_force, expected",
    [
        (2, configuration(version=1), []),
        (2, {"metadata": {}, "spec": configuration(version=1)}, []),
        (2, configuration(version=2), [("error", "version")]),
        (1, configuration(version=2), [("error", "version")]),
        (1, {"version": "unreadable", "routes": []}, []),
        (1, {"metadata": {}, "spec": 3}, []),
    ],
)
def test_version_must_be_higher(version, in_force, expected):
    """Guards against a configuration that hosts would ignore as out of date."""
    assert find(configuration(version=version), in_force) == expected


def test_messages_have_value_and_allowed_range():
    """Guards against a message that doesn't tell how to correct the value."""
    document = {"metadata": {}, "spec": changed(("routes.0.slo_ms", -7))}
    (problem,) = check_configuration(document, "f.json")
    assert str(problem) == (
        "[1003] f.json:spec.routes.0.slo_ms: -7 is not allowed "
        "Hint: use a number from 0 to 9007199254740991"
    )
    assert problem.severity is Severity.ERROR


@pytest.mark.parametrize(
    "document, expected",
    [
        ({"metadata": {"name": "main"}}, "f:spec"),
        ({"spec": []}, "f:spec"),
        ({"spec": configuration(), "routes": 1}, None),
    ],
)
def test_objects_without_a_spec(document, expected):
    """Guards against an incomplete object that counts as valid."""
    problems = check_configuration(document, "f")
    assert [p.field for p in problems] == ([expected] if expected else [])


@pytest.mark.parametrize(
    "document, expected",
    [
        ({"kind": "Route", "spec": {}}, False),
        ({"kind": ["config"], "spec": {}}, False),
        ({"kind": "config", "spec": {}}, True),
        ({"name": "p"}, False),
        (["spec"], False),
        (None, False),
    ],
)
def test_other_documents_are_no_configuration(document, expected):
    """Guards against tables that are no longer checked as such."""
    assert is_configuration(document) is expected


def nested(depth):
    """Return lists within each other."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


def repeated():
    """Return a list with many references to few lists."""
    value = [0] * 10
    for _ in range(12):
        value = [value] * 10
    return value


@pytest.mark.parametrize("value", [nested(40), repeated()])
def test_excessive_documents_are_rejected(value):
    """Guards against documents that exhaust the stack or the memory."""
    with pytest.raises(PrimrosefordError) as caught:
        read_configuration({"spec": value})
    assert caught.value.code is ResultCode.MALFORMED


def test_difference_names_entries_and_fields():
    """Guards against a change that operators do not see before they send it."""
    route = configuration()["routes"][2] | {"name": "added"}
    new = changed(
        ("routes.0.timeout_ms", 4000),
        ("routes.2", route),
        ("services.0.engine.slots", 9),
        ("limits.max_body_bytes", 5),
        ("tenants.0.burst", 3),
        ("tenants.1", SECOND_TENANT),
        version=2,
    )
    found = [
        (d.kind.value, d.part, d.name, [(c.path, c.old, c.new) for c in d.changes])
        for d in diff_configurations({"spec": configuration()}, new)
    ]
    limits = ("limits.max_body_bytes", 4_194_304, 5)
    assert found == [
        ("changed", "configuration", "", [limits, ("version", 1, 2)]),
        ("added", "route", "added", []),
        ("changed", "route", "r0", [("timeout_ms", 5000, 4000)]),
        ("removed", "route", "r2", []),
        ("changed", "service", "models", [("engine.slots", 8, 9)]),
        ("added", "organisation", "b", []),
        ("changed", "organisation", "caroni", [("burst", 1000, 3)]),
    ]
    assert diff_configurations(new, new) == []


@pytest.mark.parametrize(
    "path, value, expected",
    [
        ("tenants.0.api_keys", ["new-key-1"], (["key..."], ["ne..."])),
        ("tenants.0.api_keys", [KEY, KEY], None),
        ("tenants.0.api_keys", {"new-key-1": 1}, (["key..."], [])),
        ("tenants.0.api_key", "new-key-1", (None, "...")),
        ("tenants.0.keys", ["new-key-1"], (None, "...")),
        ("tenants.0.rate_per_s", "new-key-1", (1000, "...")),
    ],
)
def test_difference_shows_no_whole_key(path, value, expected):
    """Guards against keys in the terminal or in a build's log."""
    differences = diff_configurations(configuration(), changed((path, value)))
    changes = [(c.old, c.new) for d in differences for c in d.changes]
    assert changes == ([] if expected is None else [expected])


@pytest.mark.parametrize("path", ["tenants.0", "tenants.0.burst", "tenants.0.api_keys"])
def test_problems_show_no_whole_key(path):
    """Guards against a key in an unexpected field that a message repeats."""
    problems = check_configuration(changed((path, KEY)), "f")
    assert problems and KEY not in json.dumps([str(p) for p in problems])


@pytest.mark.parametrize("key", ["", "k", "key", "key-1", KEY, "k" * 64, None, 3])
def test_shortened_keys(key):
    """Guards against a short key that is shown whole."""
    text = shorten_key(key).removesuffix("...")
    assert len(text) <= 4 and (not text or len(text) * 4 <= len(key))
