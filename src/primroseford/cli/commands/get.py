"""``get``: show objects stored on the platform."""

from __future__ import annotations

import json

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.render import object_body


class GetCommand(BaseCommand):
    """Shows one object or all objects of a kind."""

    name = "get"
    description = "Show objects of a kind, for example routes"
    arguments = [
        argument("kind", "routes, pools, organisations, keys or jobs"),
        argument("name", "name of one object", optional=True),
    ]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Read the objects."""
        kind, name = self.argument("kind"), self.argument("name")
        async with self.platform() as client:
            if name:
                item = await client.get(kind, name)
                body = object_body(item)
                return CommandResult(body, json.dumps(body, indent=1).splitlines())
            items = (await client.list(kind)).items
        lines = [f"{item.name}\t{item.version}" for item in items]
        return CommandResult([object_body(item) for item in items], lines or ["none"])
