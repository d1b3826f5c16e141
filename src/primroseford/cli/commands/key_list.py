"""``key list``: list the ids of all keys."""

from __future__ import annotations

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options


class KeyListCommand(BaseCommand):
    """Lists keys without their hashes."""

    name = "key list"
    description = "List keys"
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """List the keys."""
        async with self.platform() as client:
            items = (await client.list("keys")).items
        body = [
            {
                "id": item.name,
                "organisation": item.spec.get("organisation"),
                "withdrawn": bool(item.spec.get("withdrawn", False)),
            }
            for item in items
        ]
        lines = [
            f"{k['id']}\t{k['organisation']}\t"
            + ("withdrawn" if k["withdrawn"] else "valid")
            for k in body
        ]
        return CommandResult(body, lines or ["none"])
