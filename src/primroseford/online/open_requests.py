"""Registry of requests in progress, which other components can end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.authorisation import check_route_still_allowed
from primroseford.keys.authorisation import may_use_route

if TYPE_CHECKING:
    from aiohttp import web

    from primroseford.configuration.tables import Tables
    from primroseford.ids import RouteName
    from primroseford.keys.secrets import Identity
    from primroseford.keys.watch import KeyWatch
    from primroseford.keys.watch import Registration
    from primroseford.online.exchange import Attempt


class OpenRequest:
    """A request in progress.

    :param task: task that serves the request
    :ivar attempt: latest attempt on a runner
    :ivar may_have_run: whether an earlier or hedged attempt may have run
    :ivar response: response to the caller, once it is streamed
    :ivar relays_events: whether an engine's stream is relayed, which an error event may
        end
    :ivar end_error: error with which the request was ended
    """

    def __init__(self, task: asyncio.Task) -> None:
        self.task = task
        self.registration: Registration | None = None
        self.attempt: Attempt | None = None
        self.may_have_run = False
        self.response: web.StreamResponse | None = None
        self.relays_events = False
        self.end_error: PrimrosefordError | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, code: ResultCode, message: str) -> None:
        """End the request with an error; only the first call counts."""
        self.end_with(PrimrosefordError(code, message))

    def end_with(self, error: PrimrosefordError) -> None:
        """End the request with an error; only the first call counts."""
        if self.end_error is None:
            self.end_error = error
            self.task.cancel()

    def end_at_deadline(self) -> None:
        """End the request because its deadline has passed."""
        sent = self.may_have_run or (self.attempt is not None and self.attempt.sent)
        code = ResultCode.RUNNER_TIMEOUT if sent else ResultCode.DEADLINE_UNREACHABLE
        self.end(code, "the request was not finished before its deadline")

    def correct_outcome(self, error: PrimrosefordError) -> PrimrosefordError:
        """Return the error after correcting its outcome to cover all attempts."""
        sent = self.attempt is not None and self.attempt.sent
        if error.outcome is Outcome.NOT_RUN and (sent or self.may_have_run):
            error.outcome = Outcome.MAY_HAVE_RUN
        return error


class OpenRequests:
    """All requests in progress on this host.

    :param keys: watches the keys of requests and reports withdrawals
    """

    def __init__(self, keys: KeyWatch) -> None:
        self.keys = keys
        self.entries: set[OpenRequest] = set()
        self.empty = asyncio.Event()
        self.empty.set()

    def register(self) -> OpenRequest:
        """Register the request that the current task serves and return its entry."""
        task = asyncio.current_task()
        assert task is not None
        entry = OpenRequest(task)
        self.entries.add(entry)
        self.empty.clear()
        return entry

    def deregister(self, entry: OpenRequest) -> None:
        """Remove a request that has its response."""
        if entry.timer is not None:
            entry.timer.cancel()
        if entry.registration is not None:
            self.keys.deregister(entry.registration)
        self.entries.discard(entry)
        if not self.entries:
            self.empty.set()

    def watch(self, entry: OpenRequest, identity: Identity, route: RouteName) -> None:
        """End a request once its key or its route no longer admits the caller.

        :param identity: identity of the caller
        :param route: name of the matched route
        """

        def end() -> None:
            try:
                check_route_still_allowed(self.keys.tables, route, identity)
            except PrimrosefordError as error:
                entry.end_with(error)

        def admitted(tables: Tables) -> bool:
            record = tables.routes.get(route)
            return record is not None and may_use_route(record, identity.organisation)

        entry.registration = self.keys.register(identity, end, admitted)

    def end_isolated(self) -> int:
        """End the requests with a key, since it may have been withdrawn meanwhile.

        :returns: how many were ended
        """
        keyed_entries = [
            entry for entry in self.entries if entry.registration is not None
        ]
        for entry in keyed_entries:
            entry.end(
                ResultCode.HOST_ISOLATED,
                "the host is isolated and cannot check whether the key is still valid",
            )
        return len(keyed_entries)

    def end_all(self, code: ResultCode, message: str) -> int:
        """End every request.

        :returns: how many were ended
        """
        for entry in list(self.entries):
            entry.end(code, message)
        return len(self.entries)
