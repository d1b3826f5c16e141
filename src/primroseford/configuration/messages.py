"""Peer messages that distribute the configuration, and their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.configuration import relay
from primroseford.configuration.gen import ttypes
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.configuration.service import ConfigurationService
    from primroseford.ids import HostId

    Handler = Callable[[HostId, ttypes.Message], Awaitable[ttypes.Message | None]]

KIND_PULL = 300
KIND_PUSH = 301
KIND_SLICE = 302
KIND_PROBE = 303
KIND_REPORTS = 304


def create_handlers(service: ConfigurationService) -> dict[int, Handler]:
    """Return the handler of each message kind.

    :param service: the host's configuration service
    """
    state = service.relay_state

    async def pull(sender: HostId, message: ttypes.Message) -> ttypes.Message:
        pull_request = _require(message.pull, "pull")
        answer = relay.answer_pull(state, pull_request, service.clock())
        return ttypes.Message(pull_answer=answer)

    async def push(sender: HostId, message: ttypes.Message) -> None:
        start = state.objects.version
        delta = _require(message.push, "push")
        changes, pull_needed = relay.apply_push(state, delta)
        service.publish(start, changes, relay.decode_delta(delta).jumps)
        if pull_needed:
            service.spawn(service.pull_from(sender))

    async def snapshot_slice(sender: HostId, message: ttypes.Message):
        request = _require(message.slice_request, "slice_request")
        slice_message = relay.answer_slice(state, request, service.clock())
        return ttypes.Message(slice=slice_message)

    return {KIND_PULL: pull, KIND_PUSH: push, KIND_SLICE: snapshot_slice} | (
        _create_reading_handlers(service)
    )


def _create_reading_handlers(service: ConfigurationService) -> dict[int, Handler]:
    state = service.relay_state

    async def probe(sender: HostId, message: ttypes.Message) -> ttypes.Message:
        answer = ttypes.ProbeAnswer(
            state.objects.version, relay.age_ms(state, service.clock())
        )
        return ttypes.Message(probe_answer=answer)

    async def reports(sender: HostId, message: ttypes.Message) -> ttypes.Message:
        host_reports = relay.current_reports(state, service.clock())
        return ttypes.Message(reports=ttypes.Reports(host_reports))

    return {KIND_PROBE: probe, KIND_REPORTS: reports}


def _require(value, field: str):
    if value is None:
        raise PrimrosefordError(
            ResultCode.PEER_PROTOCOL, "the message has no content", field=field
        )
    return value
