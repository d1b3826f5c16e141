"""Decodes the operator's configuration object into the gateway's tables."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.tables import CallerLimits
from primroseford.gateway.tables import Organisation
from primroseford.gateway.tables import Pool
from primroseford.gateway.tables import Route
from primroseford.gateway.tables import RouteKind
from primroseford.gateway.tables import Tables
from primroseford.ids import OrganisationId
from primroseford.ids import PoolName
from primroseford.ids import RouteName
from primroseford.ids import Version
from primroseford.platform.objects import DECODING_ERRORS
from primroseford.request_limits.cold_runners import MAX_COLD_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
MAX_COLD_RATE = 1e6
"""Largest rate of a cold runner in requests per second."""

JsonObject = dict[str, Any]


def decode_tables(spec: Any) -> Tables:
    """Decode the tables from the configuration object.

    :param spec: content of ``config/main``
    :raises PrimrosefordError: MALFORMED
    """
    try:
        return _decode_spec(spec)
    except DECODING_ERRORS as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"the configuration is not readable: {error!r}"
        ) from error


def _decode_spec(spec: JsonObject) -> Tables:
    pools = {service["name"]: _decode_pool(service) for service in spec["services"]}
    keys: dict[str, OrganisationId] | None = None
    organisations = {}
    if "tenants" in spec:
        keys = {}
        for tenant in spec["tenants"]:
            organisation = decode_organisation(tenant)
            organisations[organisation.name] = organisation
            for key in tenant.get("api_keys", ()):
                keys[key] = organisation.name
    return Tables(
        Version(int(spec["version"])),
        tuple(decode_route(route) for route in spec["routes"]),
        pools,
        organisations,
        keys,
        _decode_limits(spec.get("limits", {})),
    )


def decode_route(route: JsonObject) -> Route:
    """Decode a route.

    :raises Exception: one of ``DECODING_ERRORS`` if the route is malformed
    """
    # A route has either weighted ``backends`` or a single ``service``.
    split = route.get("backends") or [{"service": route["service"], "weight": 1}]
    pools = tuple((PoolName(p["service"]), float(p["weight"])) for p in split)
    timeout = float(route.get("timeout_ms", 60_000)) / 1000
    return Route(
        name=RouteName(route["name"]),
        host=route["host"].lower(),
        path_prefix=route["path_prefix"],
        kind=RouteKind(route["kind"]),
        pools=pools,
        timeout=timeout,
        objective=float(route.get("slo_ms", timeout * 1000)) / 1000,
        priority=int(route.get("priority") or 0),
        max_attempts=max(1, int(route.get("max_attempts") or 1)),
        public=bool(route.get("public")),
        resumable=bool(route.get("resumable")),
        due=float(route.get("due_ms") or 0) / 1000,
        abandon_after=float(route.get("max_wait_s") or 0),
        # On batch routes ``max_count`` counts tokens, not requests.
        max_waiting_tokens=int(route.get("max_count") or 0),
    )


def _decode_pool(service: Mapping[str, Any]) -> Pool:
    return Pool(
        PoolName(service["name"]),
        bool(service.get("engine")),
        service.get("health_path", "/health"),
        _decode_bounded(service.get("cold_start_s"), MAX_COLD_SECONDS),
        _decode_bounded(service.get("cold_per_s"), MAX_COLD_RATE),
    )


def _decode_bounded(value: Any, largest: float) -> float:
    """Return an optional number; 0 if it is absent.

    :raises ValueError: if it is not a number from 0 to the largest one
    """
    number = float(value or 0)
    if not 0 <= number <= largest:
        raise ValueError("a number of a service is out of range")
    return number


def decode_organisation(tenant: JsonObject) -> Organisation:
    """Decode an organisation.

    :raises Exception: one of ``DECODING_ERRORS`` if the organisation is malformed
    """
    priority = tenant.get("priority")
    return Organisation(
        OrganisationId(tenant["name"]),
        float(tenant.get("rate_per_s") or 0),
        float(tenant.get("burst") or 0),
        None if priority is None else int(priority),
    )


def _decode_limits(limits: JsonObject) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(limits.get("max_body_bytes") or default.max_body_bytes),
        int(limits.get("max_header_bytes") or default.max_header_bytes),
        float(limits.get("header_timeout_ms") or 0) / 1000,
        float(limits.get("idle_timeout_ms") or 0) / 1000,
    )
