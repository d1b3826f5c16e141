"""``key create``: create a key, whose secret is shown once."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.configuration.edits import issue_key


class KeyCreateCommand(BaseCommand):
    """Creates a key for an organisation."""

    name = "key create"
    description = "Create a key; its secret is shown only now"
    arguments = [argument("organisation", "name of the organisation")]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Create the key."""
        async with self.platform() as client:
            key = await issue_key(client, self.argument("organisation"))
        body = {"id": key.key_id, "secret": key.secret}
        lines = [
            f"id: {key.key_id}",
            f"secret: {key.secret}",
            "The secret is not shown again.",
        ]
        return CommandResult(body, lines)
