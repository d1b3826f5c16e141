"""Program that runs one stand-in as a separate process."""

from __future__ import annotations

import argparse
import asyncio
import signal
from dataclasses import fields
from typing import TYPE_CHECKING

from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.service import ServiceStandIn
from primroseford.standins.service import create_service_application
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    from aiohttp import web

KINDS = ("platform", "engine", "service")
SETTING_PARSERS = {
    "float": float,
    "int": int,
    "bool": lambda text: {"true": True, "false": False}[text.lower()],
    "list[str]": lambda text: text.split(","),
}


def create_application(kind: str, settings: EngineSettings) -> web.Application:
    """Return the application of a stand-in.

    :param kind: one of ``KINDS``
    :param settings: settings of the engine; unused for other kinds
    """
    if kind == "platform":
        return create_platform_application(create_platform_stand_in())
    if kind == "engine":
        return create_engine_application(create_engine_stand_in(settings))
    return create_service_application(ServiceStandIn())


def parse_settings(pairs: list[str]) -> EngineSettings:
    """Return engine settings from ``name=value`` pairs.

    :raises ValueError: if a name is unknown or a value is invalid
    """
    types = {item.name: str(item.type) for item in fields(EngineSettings)}
    values = {}
    for pair in pairs:
        name, found, text = pair.partition("=")
        if not found or name not in types:
            raise ValueError(f"unknown setting {pair!r}; known: {sorted(types)}")
        try:
            values[name] = SETTING_PARSERS[types[name]](text)
        except (KeyError, ValueError) as error:
            raise ValueError(f"value of {name} is not a {types[name]}") from error
    return EngineSettings(**values)


async def run(app: web.Application, listen: str) -> None:
    """Serve until SIGTERM or SIGINT; print the URL once the socket listens.

    :param app: application of a stand-in
    :param listen: IP address and port; with port 0 the kernel chooses a free one
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    host, _, port = listen.rpartition(":")
    served = await serve(app, host, int(port))
    print(f"listening on {served.url}", flush=True)
    await stop.wait()
    await served.stop()


def main(arguments: list[str] | None = None) -> int:
    """Run one stand-in.

    :param arguments: command-line arguments without the program name
    :returns: exit status
    """
    parser = argparse.ArgumentParser(
        prog="python -m primroseford.standins",
        description="Run a stand-in for an external system.",
    )
    parser.add_argument("--listen", required=True, help="IP address and port")
    parser.add_argument("--kind", required=True, choices=KINDS)
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="NAME=VALUE",
        help="setting of an engine, for example token_seconds=0.01",
    )
    options = parser.parse_args(arguments)
    host, _, port = options.listen.rpartition(":")
    if not host or not port.isdigit():
        parser.error("--listen must have the form ADDRESS:PORT, e.g. 127.0.0.1:9000")
    try:
        settings = parse_settings(options.set)
    except ValueError as error:
        parser.error(str(error))
    asyncio.run(run(create_application(options.kind, settings), options.listen))
    return 0
