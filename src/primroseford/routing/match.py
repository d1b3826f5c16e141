"""Matches requests to routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Tables
    from primroseford.ids import RouteName

MAX_CACHED_MATCHES = 1024
MAX_CACHED_CHARACTERS = 512


def matches(route: Route, host: str, path: str, model: str | None) -> bool:
    """Return whether a route matches a request.

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


class RouteCache:
    """Cache of matched routes for one version of the routes table.

    :ivar routes: routes table for which the cache is valid
    """

    def __init__(self) -> None:
        self.routes: Mapping[RouteName, Route] | None = None
        self.cached: dict[tuple[str, str, str | None], Route] = {}
        self.model_prefixes: tuple[str, ...] = ()
        self.models: frozenset[str] = frozenset()

    def needs_model(self, tables: Tables, path: str) -> bool:
        """Return whether a route for the path may match by model.

        :param tables: tables in force
        :param path: path of the request
        """
        self._refresh(tables)
        return path.startswith(self.model_prefixes)

    def match(self, tables: Tables, host: str, path: str, model: str | None) -> Route:
        """Return the route of :func:`match_route`, from the cache if possible.

        :raises PrimrosefordError: ROUTE_NOT_FOUND or MODEL_NOT_FOUND
        """
        self._refresh(tables)
        # Callers control these strings, so unknown models share one key and long
        # strings are not cached.
        key = (host, path, model if model in self.models else None)
        route = self.cached.get(key)
        if route is None:
            route = match_route(tables, host, path, model)
            if len(host) + len(path) <= MAX_CACHED_CHARACTERS:
                if len(self.cached) >= MAX_CACHED_MATCHES:
                    self.cached.clear()
                self.cached[key] = route
        return route

    def _refresh(self, tables: Tables) -> None:
        if tables.routes is self.routes:
            return
        self.routes = tables.routes
        self.cached.clear()
        matches = [route.match for route in tables.routes.values()]
        self.model_prefixes = tuple({m.path_prefix for m in matches if m.models})
        self.models = frozenset(model for m in matches for model in m.models)


def match_route(tables: Tables, host: str, path: str, model: str | None) -> Route:
    """Return the matching route with the highest priority.

    Ties are broken by the longest path prefix, then by the first name.

    :param tables: tables in force
    :param host: host name from the request, without a port
    :param path: path of the request
    :param model: model named in the body, if any
    :raises PrimrosefordError: ROUTE_NOT_FOUND or MODEL_NOT_FOUND
    """
    candidates = [r for r in tables.routes.values() if matches(r, host, path, model)]
    if candidates:
        return min(
            candidates, key=lambda r: (-r.priority, -len(r.match.path_prefix), r.name)
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
        ResultCode.ROUTE_NOT_FOUND, f"no route matches the path {path!r}", field="path"
    )
