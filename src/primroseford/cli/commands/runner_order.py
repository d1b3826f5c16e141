"""``runner order``: give an order to a runner's engine."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.fleet import give_order

EXITS = {"accepted": Exit.OK, "unknown": Exit.UNCONFIRMED}


class RunnerOrderCommand(BaseCommand):
    """Gives an order, through the host that is asked."""

    name = "runner order"
    description = "Give an order to a runner's engine, for example load_model"
    arguments = [
        argument("runner", "name of the runner"),
        argument("order", "what to do, for example load_model"),
        argument("model", "model, adapter, version or role"),
    ]
    options = common_options()

    async def work(self) -> Answer:
        """Give the order and wait for its fate."""
        names = ("runner", "order", "model")
        wanted = {name: self.argument(name) for name in names}
        body = await give_order(self.setting("host"), wanted)
        line = f"{wanted['order']} on {wanted['runner']}: {body['status']}"
        message = f" ({body['message']})" if body["message"] else ""
        return Answer(body, [line + message], EXITS.get(body["status"], Exit.FAILED))
