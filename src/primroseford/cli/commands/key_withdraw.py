"""``key withdraw``: revoke a key on all hosts."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.configuration.edits import withdraw_key


class KeyWithdrawCommand(BaseCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraw a key; its open streams and queued requests are ended"
    arguments = [argument("id", "id of the key")]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Withdraw the key."""
        key_id = self.argument("id")
        async with self.platform() as client:
            version = await withdraw_key(client, key_id)
        body = {"id": key_id, "version": version}
        return CommandResult(
            body, [f"key {key_id} is withdrawn since version {version}"]
        )
