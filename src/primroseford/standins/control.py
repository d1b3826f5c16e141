"""Control endpoints of the stand-ins: set faults and read counters."""

from __future__ import annotations

import json
from dataclasses import fields
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    Counts = dict[str, Any]

FAULTS_PATH = "/control/faults"
COUNTS_PATH = "/control/counts"
ACCEPTED_TYPES = {bool: (bool,), int: (int,), float: (int, float), str: (str,)}


def add_control_routes(
    app: web.Application,
    faults: object,
    names: frozenset[str],
    counts: Callable[[], Counts],
) -> None:
    """Add ``POST /control/faults`` and ``GET /control/counts``.

    The POST request sets the faults named in its body, leaves the others unchanged and
    returns the values of all faults.

    :param app: application of a stand-in
    :param faults: data class instance whose fields are the faults
    :param names: fields that may be set
    :param counts: returns the counters as a JSON object
    """

    async def set_faults(request: web.Request) -> web.Response:
        try:
            changes = check_faults(faults, names, json.loads(await request.read()))
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        for name, value in changes.items():
            setattr(faults, name, value)
        return web.json_response({name: getattr(faults, name) for name in names})

    async def get_counts(_: web.Request) -> web.Response:
        return web.json_response(counts())

    app.router.add_post(FAULTS_PATH, set_faults)
    app.router.add_get(COUNTS_PATH, get_counts)


def check_faults(faults: object, names: frozenset[str], body: object) -> Counts:
    """Validate a request body and return the faults in it.

    :raises ValueError: if a name is unknown or a value has the wrong type
    """
    if not isinstance(body, dict):
        raise ValueError("request body is not a JSON object")
    for name, value in body.items():
        if name not in names:
            raise ValueError(f"unknown fault {name!r}; known: {sorted(names)}")
        kind = type(getattr(faults, name))
        if type(value) not in ACCEPTED_TYPES[kind]:
            raise ValueError(f"fault {name!r} is not of type {kind.__name__}")
    return body


def field_names(faults: object) -> frozenset[str]:
    """Return the names of all fields of a data class instance."""
    return frozenset(item.name for item in fields(faults))
