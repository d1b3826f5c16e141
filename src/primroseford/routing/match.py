"""Choice of the route for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Tables


def matches(route: Route, host: str, path: str, model: str | None) -> bool:
    """Return whether a route takes a request.

    :param host: host name from the request, without a port
    :param path: path of the request
    :param model: model named in the body, if any
    """
    match = route.match
    if match.host and match.host != host:
        return False
    if not path.startswith(match.path_prefix):
        return False
    return not match.models or model in match.models


def match_route(tables: Tables, host: str, path: str, model: str | None) -> Route:
    """Return the matching route with the highest priority.

    Among equal priorities the longest path prefix is used, then the first name.

    :param tables: tables in force
    :param host: host name from the request, without a port
    :param path: path of the request
    :param model: model named in the body, if any
    :raises PrimrosefordError: ROUTE_NOT_FOUND or MODEL_NOT_FOUND
    """
    found = [r for r in tables.routes.values() if matches(r, host, path, model)]
    if found:
        return min(
            found, key=lambda r: (-r.priority, -len(r.match.path_prefix), r.name)
        )
    if model and any(
        path.startswith(r.match.path_prefix) for r in tables.routes.values()
    ):
        raise PrimrosefordError(
            ResultCode.MODEL_NOT_FOUND,
            f"no route serves model {model!r}",
            field="model",
        )
    raise PrimrosefordError(
        ResultCode.ROUTE_NOT_FOUND, f"no route takes the path {path!r}", field="path"
    )
