"""``runner order``: send an order to a runner's engine."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.fleet import send_order

EXIT_BY_STATUS = {"accepted": Exit.OK, "unknown": Exit.UNCONFIRMED}


class RunnerOrderCommand(BaseCommand):
    """Sends an order through the host given with ``--host``."""

    name = "runner order"
    description = "Send an order to a runner's engine, for example load_model"
    arguments = [
        argument("runner", "name of the runner"),
        argument("order", "name of the order, for example load_model"),
        argument("model", "model, adapter, version or role that the order concerns"),
    ]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Send the order and wait for its outcome."""
        names = ("runner", "order", "model")
        order = {name: self.argument(name) for name in names}
        body = await send_order(self.required_option("host"), order)
        line = f"{order['order']} on {order['runner']}: {body['status']}"
        message = f" ({body['message']})" if body["message"] else ""
        return CommandResult(
            body, [line + message], EXIT_BY_STATUS.get(body["status"], Exit.FAILED)
        )
