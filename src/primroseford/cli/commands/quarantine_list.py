"""``quarantine list``: list what hosts refuse because it has crashed runners."""

from __future__ import annotations

import time

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.gateway.quarantine_store import QUARANTINE_KIND


class QuarantineListCommand(BaseCommand):
    """Lists quarantined prompt parts and requests."""

    name = "quarantine list"
    description = "List quarantined prompt parts and requests"
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """List the quarantines, each with the time until it is tried again."""
        async with self.platform() as client:
            items = (await client.list(QUARANTINE_KIND)).items
        now = time.time()
        body = [
            {"name": item.name, **_content(item.spec, now)}
            for item in sorted(items, key=lambda item: item.name)
        ]
        lines = [
            f"{entry['part']}\ttried again in {entry['trial_in_seconds']} s"
            if entry["part"] is not None
            else f"{entry['name']}\tunreadable"
            for entry in body
        ]
        return CommandResult(body, lines or ["none"])


def _content(spec: object, now: float) -> dict[str, object]:
    """Return the fields of a quarantine; ``None`` where they cannot be read.

    :param now: Unix time in seconds
    """
    fields = spec if isinstance(spec, dict) else {}
    part, trial_at = fields.get("part"), fields.get("trial_at")
    if not isinstance(part, str) or not isinstance(trial_at, int | float):
        return {"part": None, "trial_in_seconds": None}
    return {"part": part, "trial_in_seconds": max(0, round(trial_at - now))}
