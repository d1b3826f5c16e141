"""Choice of the route for a request."""

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


class RouteCache:
    """Routes found before, for one version of the routes table."""

    def __init__(self) -> None:
        self.routes: Mapping[RouteName, Route] | None = None
        self.found: dict[tuple[str, str, str | None], Route] = {}
        self.model_prefixes: tuple[str, ...] = ()
        self.models: frozenset[str] = frozenset()

    def needs_model(self, tables: Tables, path: str) -> bool:
        """Return whether a route for the path selects by model.

        :param tables: tables in force
        :param path: path of the request
        """
        self._follow(tables)
        return path.startswith(self.model_prefixes)

    def match(self, tables: Tables, host: str, path: str, model: str | None) -> Route:
        """Return the same route as :func:`match_route`.

        :raises PrimrosefordError: ROUTE_NOT_FOUND or MODEL_NOT_FOUND
        """
        self._follow(tables)
        # Callers choose these strings, so that only short ones are kept.
        key = (host, path, model if model in self.models else None)
        found = self.found.get(key)
        if found is None:
            found = match_route(tables, host, path, model)
            if len(host) + len(path) <= MAX_CACHED_CHARACTERS:
                if len(self.found) >= MAX_CACHED_MATCHES:
                    self.found.clear()
                self.found[key] = found
        return found

    def _follow(self, tables: Tables) -> None:
        if tables.routes is self.routes:
            return
        self.routes = tables.routes
        self.found.clear()
        matches = [route.match for route in tables.routes.values()]
        self.model_prefixes = tuple({m.path_prefix for m in matches if m.models})
        self.models = frozenset(model for m in matches for model in m.models)


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
