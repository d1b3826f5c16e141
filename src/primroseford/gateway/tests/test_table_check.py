"""Checks of the decoded tables, compared with what the gateway does with them."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from primroseford.errors import ResultCode
from primroseford.gateway.quota import Quotas
from primroseford.gateway.table_check import SHARED_BURST
from primroseford.gateway.table_check import check_organisation
from primroseford.gateway.table_check import check_route
from primroseford.gateway.table_check import find_hidden_routes
from primroseford.gateway.tables import Organisation
from primroseford.gateway.tables import Route
from primroseford.gateway.tables import RouteKind
from primroseford.gateway.tables import Tables
from primroseford.gateway.tables import choose_pool

ROUTE = Route("r", "h", "/a/", RouteKind.STREAMING, (("p", 1.0),), 5.0, 0.3)
BATCH = replace(ROUTE, kind=RouteKind.BATCH, due=18.0, abandon_after=60.0)
ORGANISATION = Organisation("o", rate=10.0, burst=10.0)


@pytest.mark.parametrize(
    "route, field, is_error",
    [
        (ROUTE, None, None),
        (BATCH, None, None),
        (replace(ROUTE, path_prefix="a/"), "path_prefix", True),
        (replace(ROUTE, path_prefix="/a"), "path_prefix", False),
        (replace(ROUTE, path_prefix=""), "path_prefix", False),
        (replace(ROUTE, host="h:80"), "host", True),
        (replace(ROUTE, host="[::1]"), None, None),
        (replace(ROUTE, pools=(("q", 1.0),)), "pools", True),
        (replace(ROUTE, pools=(("p", 0.0),)), "pools", False),
        (replace(ROUTE, pools=(("p", 0.0), ("p", 0.0))), "pools", True),
        (replace(ROUTE, pools=(("p", 1.0), ("p", 0.0))), None, None),
        (replace(ROUTE, timeout=0.2), "timeout", False),
        (replace(ROUTE, timeout=0.3), None, None),
        (replace(ROUTE, max_attempts=2), "max_attempts", False),
        (replace(ROUTE, max_attempts=2, resumable=True), None, None),
        (
            replace(ROUTE, max_attempts=2, kind=RouteKind.NON_IDEMPOTENT),
            "max_attempts",
            False,
        ),
        (replace(ROUTE, max_attempts=2, kind=RouteKind.IDEMPOTENT), None, None),
        (replace(BATCH, max_attempts=2), None, None),
        (replace(BATCH, abandon_after=18.0), None, None),
        (replace(BATCH, abandon_after=17.9), "due", False),
        (replace(BATCH, kind=RouteKind.STREAMING, abandon_after=0.0), None, None),
    ],
)
def test_routes(route, field, is_error):
    """Guards against a route without effect that is not found, and false reports."""
    found = [(f.field, f.is_error) for f in check_route(route, {"p"})]
    assert found == ([] if field is None else [(field, is_error)])


@pytest.mark.parametrize(
    "rate, burst, is_error",
    [
        (10.0, 0.0, True),
        (10.0, 0.99, True),
        (10.0, 1.0, False),
        (10.0, 1.99, False),
        (10.0, 2.0, None),
        (0.0, 0.0, None),
    ],
)
def test_bursts(rate, burst, is_error):
    """Guards against a burst that admits no request and is not found."""
    organisation = replace(ORGANISATION, rate=rate, burst=burst)
    found = [(f.field, f.is_error) for f in check_organisation(organisation, "k", {})]
    assert found == ([] if is_error is None else [("burst", is_error)])


@pytest.mark.parametrize("admitting_hosts", [0, 1, 2, 60])
@pytest.mark.parametrize("burst", [0.0, 0.99, 1.0, 1.49, 1.99, 2.0, 3.0])
def test_bursts_match_the_decision_of_the_gateway(burst, admitting_hosts):
    """Guards against thresholds that differ from the decision they describe."""
    organisation = replace(ORGANISATION, burst=burst)
    quotas = Quotas(started=0.0)
    bucket = quotas.refill(organisation, 100.0)
    bucket.last_admitted_at = dict.fromkeys(range(admitting_hosts), 100.0)
    admitted = quotas.try_admit(organisation, 100.0) == 0.0
    if burst < 1:
        assert not admitted
    if burst >= SHARED_BURST:
        assert admitted
    if 1 <= burst < SHARED_BURST and admitting_hosts in (0, 60):
        assert admitted == (admitting_hosts == 0)


def test_keys():
    """Guards against an organisation that can't send or whose key counts elsewhere."""
    (missing,) = check_organisation(ORGANISATION, [], {})
    assert (missing.field, missing.is_error) == ("keys", False)
    (shared,) = check_organisation(ORGANISATION, ["k", "l"], {"k": "other"})
    assert (shared.code, shared.is_error) == (ResultCode.DUPLICATE_NAME, True)
    assert "'other'" in shared.message


def test_hidden_routes_never_match():
    """Guards against a check that disagrees with the match of requests."""
    routes = (
        ROUTE,
        replace(ROUTE, name="longer", path_prefix="/a/b/"),
        replace(ROUTE, name="hidden"),
        replace(ROUTE, name="other", host="g"),
    )
    assert find_hidden_routes(routes) == {2: 0}
    tables = Tables(1, routes, {}, {}, None)
    matched = [tables.match(r.host, r.path_prefix).name for r in routes]
    assert matched == ["r", "longer", "r", "other"]


def test_weights_of_zero_cannot_be_chosen():
    """Guards against a report of weights with which the gateway can choose."""
    with pytest.raises(ValueError):
        choose_pool(replace(ROUTE, pools=(("p", 0.0), ("q", 0.0))), Random(1))
    assert choose_pool(replace(ROUTE, pools=(("p", 0.0),)), Random(1)) == "p"
