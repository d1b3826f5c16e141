"""Operator endpoint that shows the version in force on each host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from primroseford.configuration.service import ConfigurationService


def add_configuration_routes(
    app: web.Application, service: ConfigurationService
) -> None:
    """Add ``/versions``: the version in force on each known host, with its age.

    :param app: application on the operator address
    :param service: the host's configuration service
    """

    async def versions(_: web.Request) -> web.Response:
        found = await service.versions_in_force()
        body = {
            host: None
            if report is None
            else {"version": report.version, "age": report.age}
            for host, report in found.items()
        }
        return web.json_response(body)

    app.router.add_get("/versions", versions)
