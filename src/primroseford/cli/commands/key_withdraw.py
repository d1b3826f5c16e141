"""``key withdraw``: make a key invalid on all hosts."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.configuration.edits import withdraw_key


class KeyWithdrawCommand(BaseCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraw a key; streams and queued requests that use it end"
    arguments = [argument("id", "id of the key")]
    options = common_options()

    async def work(self) -> Answer:
        """Withdraw the key."""
        key_id = self.argument("id")
        async with self.platform() as client:
            version = await withdraw_key(client, key_id)
        body = {"id": key_id, "version": version}
        return Answer(body, [f"key {key_id} is withdrawn since version {version}"])
