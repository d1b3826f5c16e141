"""Authorisation of organisations, for online and batch requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.secrets import authenticate
from primroseford.keys.secrets import check_still_valid

if TYPE_CHECKING:
    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Tables
    from primroseford.ids import OrganisationId
    from primroseford.keys.secrets import Identity


def may_use_route(route: Route, organisation: OrganisationId | None) -> bool:
    """Return whether an organisation may use a route.

    :param route: route that matches the request
    :param organisation: organisation of the caller; none without a key
    """
    return route.open or organisation in route.organisations


def authorise_route(
    tables: Tables, route: Route, secret: str | None
) -> Identity | None:
    """Authenticate a caller and check that it may use a route.

    :param tables: tables in force
    :param route: route that matches the request
    :param secret: key in the request, if there is one
    :returns: identity of the caller; none for a route that is open to all
    :raises PrimrosefordError: KEY_MISSING, KEY_UNKNOWN, KEY_WITHDRAWN or
        NOT_AUTHORISED
    """
    if route.open:
        return None
    identity = authenticate(tables, secret)
    if not may_use_route(route, identity.organisation):
        raise _not_authorised(f"the organisation may not use the route {route.name!r}")
    return identity


def check_route_still_allowed(
    tables: Tables, route_name: str, identity: Identity | None
) -> None:
    """Raise an error if an accepted request's key or route permission was withdrawn.

    :param tables: tables in force now
    :param route_name: route on which the request was accepted
    :param identity: identity of the sender; none if the route was open
    :raises PrimrosefordError: KEY_WITHDRAWN or NOT_AUTHORISED
    """
    if identity is not None:
        check_still_valid(tables, identity)
    route = tables.routes.get(route_name)
    organisation = identity.organisation if identity else None
    if route is None or not may_use_route(route, organisation):
        raise _not_authorised(
            f"the organisation may no longer use the route {route_name!r}"
        )


def check_owner(identity: Identity, owner: OrganisationId, what: str) -> None:
    """Raise an error on access to another organisation's file, job or result.

    The code is NOT_FOUND, so that callers cannot find out which names other
    organisations use.

    :param identity: identity of the caller
    :param owner: organisation that owns the object
    :param what: description for the error, for example ``"job j-1"``
    :raises PrimrosefordError: NOT_FOUND
    """
    if identity.organisation != owner:
        raise PrimrosefordError(ResultCode.NOT_FOUND, f"there is no {what}")


def _not_authorised(message: str) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.NOT_AUTHORISED,
        message,
        hint="ask the operator to add the organisation to the route",
    )
