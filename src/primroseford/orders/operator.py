"""HTTP endpoint for orders on the operator address of a host."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Annotated

from aiohttp import web
from pydantic import Field
from pydantic import ValidationError

from primroseford.configuration.tables import Name
from primroseford.configuration.tables import Record
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import RunnerName
from primroseford.online.error_responses import error_response
from primroseford.orders.state import Order
from primroseford.orders.state import OrderTarget

if TYPE_CHECKING:
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.configuration.tables import Tables
    from primroseford.orders.service import OrderService

MAX_BODY_BYTES = 4096


class OrderRequest(Record):
    """An operator's order.

    :param runner: name of the runner
    :param order: kind of order, for example ``load_model``
    :param model: model, adapter, version or role that the order is about
    """

    runner: Name
    order: Annotated[str, Field(pattern=r"^[a-z][a-z_]{0,62}$")]
    model: Name


def read_order(content: bytes) -> OrderRequest:
    """Return the validated order in a request body.

    :raises PrimrosefordError: MALFORMED, BODY_TOO_LARGE or INVALID_VALUE
    """
    if len(content) > MAX_BODY_BYTES:
        raise PrimrosefordError(
            ResultCode.BODY_TOO_LARGE, f"an order has at most {MAX_BODY_BYTES} bytes"
        )
    try:
        return OrderRequest.model_validate(json.loads(content))
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE, first["msg"], field=field
        ) from error
    except (ValueError, RecursionError) as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, "the order is not valid JSON", field="body"
        ) from error


def find_runner(tables: Tables, name: str) -> OrderTarget:
    """Return the runner that an order is for.

    :raises PrimrosefordError: NOT_FOUND
    """
    for pool in tables.pools.values():
        for runner in pool.runners:
            if runner.name == name:
                return OrderTarget(
                    RunnerName(name), runner.address, pool.checks_fencing
                )
    raise PrimrosefordError(
        ResultCode.NOT_FOUND, f"no pool has the runner {name!r}", field="runner"
    )


def add_order_routes(
    app: web.Application, store: ConfigurationStore, orders: OrderService
) -> None:
    """Serve ``POST /orders``, which responds when the result of the order is known.

    :param app: application on the operator address
    :param store: configuration tables in force
    :param orders: service that sends the orders
    """

    async def post_order(request: web.Request) -> web.Response:
        try:
            order_request = read_order(await request.content.read(MAX_BODY_BYTES + 1))
            runner = find_runner(store.current(), order_request.runner)
        except PrimrosefordError as error:
            return error_response(error)
        result = await orders.submit(
            runner, Order(order_request.order, order_request.model)
        )
        body = {
            "status": result.status.value,
            "outcome": result.outcome.value,
            "code": int(result.code),
            "message": result.message,
        }
        return web.json_response(body)

    app.router.add_post("/orders", post_order)
