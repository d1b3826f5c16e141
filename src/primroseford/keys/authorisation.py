"""What an organisation may do; used by online and batch requests alike."""

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

    :param route: the route that takes the request
    :param organisation: organisation of the caller; nothing without a key
    """
    return route.open or organisation in route.organisations


def authorise_route(
    tables: Tables, route: Route, secret: str | None
) -> Identity | None:
    """Return who may use a route with a key.

    :param tables: tables in force
    :param route: the route that takes the request
    :param secret: the key that came with the request
    :returns: nothing for a route that is open to all
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
    """Refuse work whose key was withdrawn or whose route was closed to its caller.

    :param tables: tables in force now
    :param route_name: route that the work was accepted on
    :param identity: who sent it; nothing if the route was open
    :raises PrimrosefordError: KEY_WITHDRAWN or NOT_AUTHORISED
    """
    if identity is not None:
        check_still_valid(tables, identity)
    route = tables.routes.get(route_name)
    organisation = identity.organisation if identity else None
    if route is None or not may_use_route(route, organisation):
        raise _not_authorised(f"the route {route_name!r} no longer admits the caller")


def check_owner(identity: Identity, owner: OrganisationId, what: str) -> None:
    """Refuse access to another organisation's file, job or result.

    The code is NOT_FOUND, so that nobody learns which names other organisations use.

    :param identity: who asks
    :param owner: organisation that the object belongs to
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
