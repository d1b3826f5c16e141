"""Claims idempotency keys at the host that owns the organisation's group."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.gen.ttypes import ClaimReply
from primroseford.online.gen.ttypes import ClaimRequest
from primroseford.online.gen.ttypes import SettleReply
from primroseford.online.gen.ttypes import SettleRequest
from primroseford.online.idempotency import ClaimLog
from primroseford.online.idempotency import create_unavailable_error

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from primroseford.clock import Clock
    from primroseford.ids import HostId
    from primroseford.ids import OrganisationId
    from primroseford.platform.client import PlatformClient

CLAIM_REQUEST = 400
SETTLE_REQUEST = 402
CALL_TIMEOUT_SECONDS = 3.0
REFUSAL_OUTCOMES = {
    ResultCode.IDEMPOTENCY_CONFLICT: Outcome.NOT_RUN,
    ResultCode.REQUEST_IN_PROGRESS: Outcome.MAY_HAVE_RUN,
    ResultCode.DUPLICATE_REQUEST: Outcome.RAN,
}


class PeerClaims:
    """Sends claims to the owner of a group, and handles claims for groups owned here.

    :param host: this host
    :param network: ``PeerNetwork``
    :param group_of: returns the group of an organisation
    :param owner_of: returns the host that owns a group, if known
    :param holds_lease: returns whether this host holds the lease of a group now
    """

    def __init__(
        self,
        host: HostId,
        client: PlatformClient,
        network: Any,
        clock: Clock,
        group_of: Callable[[OrganisationId], int],
        owner_of: Callable[[int], HostId | None],
        holds_lease: Callable[[int], bool],
    ) -> None:
        self.host = host
        self.client = client
        self.network = network
        self.clock = clock
        self.group_of = group_of
        self.owner_of = owner_of
        self.holds_lease = holds_lease
        self.logs: dict[int, ClaimLog] = {}
        self.operations: dict[tuple[str, str], str] = {}
        self.background: set[asyncio.Task] = set()
        network.register(CLAIM_REQUEST, ClaimRequest, self.handle_claim, ClaimReply)
        network.register(SETTLE_REQUEST, SettleRequest, self.handle_settle, SettleReply)

    def get_log(self, organisation: OrganisationId) -> ClaimLog:
        """Return this host's claim log for an organisation's group."""
        group = self.group_of(organisation)
        if group not in self.logs:
            self.logs[group] = ClaimLog(
                self.client, group, lambda: self.holds_lease(group)
            )
        return self.logs[group]

    async def handle_claim(self, sender: HostId, message: ClaimRequest) -> ClaimReply:
        """Handle a claim that another host sent."""
        try:
            await self.get_log(message.organisation).claim(
                message.organisation,
                message.key,
                message.fingerprint,
                message.operation,
            )
        except PrimrosefordError as error:
            return ClaimReply(code=int(error.code), message=error.message)
        return ClaimReply(code=0, message="")

    async def handle_settle(
        self, sender: HostId, message: SettleRequest
    ) -> SettleReply:
        """Record the outcome of a request that another host reports."""
        self.get_log(message.organisation).settle(
            message.organisation, message.key, message.operation, message.ran
        )
        return SettleReply()

    async def claim(
        self, organisation: OrganisationId, key: str, fingerprint: str, deadline: float
    ) -> None:
        """Claim an idempotency key before its request is sent to a runner.

        :param deadline: local time in seconds
        :raises PrimrosefordError: IDEMPOTENCY_CONFLICT, REQUEST_IN_PROGRESS,
            DUPLICATE_REQUEST or PLATFORM_UNAVAILABLE
        """
        operation = uuid.uuid4().hex
        message = ClaimRequest(organisation, key, fingerprint, operation)
        try:
            reply = await self._send_claim(message, deadline)
        except BaseException:
            # The claim may have been stored although the call failed. The request is
            # not sent, so its outcome is reported as not run.
            self._report_outcome(organisation, key, operation, ran=False)
            raise
        if reply.code == 0:
            self.operations[organisation, key] = operation
            return
        code = ResultCode(reply.code)
        if code not in REFUSAL_OUTCOMES:
            raise create_unavailable_error()
        raise PrimrosefordError(
            code, reply.message, field="Idempotency-Key", outcome=REFUSAL_OUTCOMES[code]
        )

    async def _send_claim(self, message: ClaimRequest, deadline: float) -> ClaimReply:
        timeout = min(CALL_TIMEOUT_SECONDS, deadline - self.clock())
        owner = self.owner_of(self.group_of(message.organisation))
        if owner is None or timeout <= 0:
            raise create_unavailable_error()
        try:
            async with asyncio.timeout(timeout):
                if owner == self.host:
                    return await self.handle_claim(self.host, message)
                return await self.network.call(owner, CLAIM_REQUEST, message, timeout)
        except (PrimrosefordError, TimeoutError) as error:
            raise create_unavailable_error() from error

    def settle(self, organisation: OrganisationId, key: str, ran: bool) -> None:
        """Report whether a claimed request ran.

        If the report is lost, the claim stays in progress and a resend is rejected, so
        the request does not run twice.
        """
        operation = self.operations.pop((organisation, key), None)
        if operation is not None:
            self._report_outcome(organisation, key, operation, ran)

    def _report_outcome(
        self, organisation: OrganisationId, key: str, operation: str, ran: bool
    ) -> None:
        task = asyncio.create_task(
            self._send_report(SettleRequest(organisation, key, operation, ran))
        )
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _send_report(self, message: SettleRequest) -> None:
        owner = self.owner_of(self.group_of(message.organisation))
        if owner == self.host:
            await self.handle_settle(self.host, message)
        elif owner is not None:
            try:
                await self.network.call(
                    owner, SETTLE_REQUEST, message, CALL_TIMEOUT_SECONDS
                )
            except (PrimrosefordError, TimeoutError):
                return


def create_claims(
    host: HostId,
    client: PlatformClient,
    network: Any,
    clock: Clock,
    group_of: Callable[[OrganisationId], int],
    owner_of: Callable[[int], HostId | None],
    holds_lease: Callable[[int], bool],
) -> PeerClaims:
    """Return the claim service of a host and register its peer messages.

    :param group_of: returns the group of an organisation, the same on all hosts
    :param owner_of: returns the host that owns a group, if known
    :param holds_lease: returns whether this host holds the lease of a group now
    """
    return PeerClaims(host, client, network, clock, group_of, owner_of, holds_lease)
