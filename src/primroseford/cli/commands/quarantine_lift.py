"""``quarantine lift``: serve requests again that have crashed runners."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.quarantine_store import QUARANTINE_KIND


class QuarantineLiftCommand(BaseCommand):
    """Lifts the quarantine of a prompt part or a request."""

    name = "quarantine lift"
    description = "Lift a quarantine; the hosts follow within seconds"
    arguments = [argument("part", "id of the prompt part or request, or object name")]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Remove the quarantine's object from the platform's store."""
        part = self.argument("part")
        async with self.platform() as client:
            items = (await client.list(QUARANTINE_KIND)).items
            names = [
                item.name
                for item in items
                if item.name == part
                or (isinstance(item.spec, dict) and item.spec.get("part") == part)
            ]
            if not names:
                raise PrimrosefordError(
                    ResultCode.NOT_FOUND,
                    f"there is no quarantine of {part!r}",
                    hint="see 'quarantine list'",
                )
            for name in names:
                await client.delete(QUARANTINE_KIND, name)
        return CommandResult(
            {"part": part, "names": names}, [f"the quarantine of {part} is lifted"]
        )
