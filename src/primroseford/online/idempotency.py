"""Durable claims of one group's idempotency keys, held by the group's owner."""

from __future__ import annotations

import asyncio
import hashlib
import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

KIND = "claims"
MAX_OBJECT_BYTES = 512 * 1024
"""Half of the platform's limit on a value."""
SEAL_ATTEMPTS = 5
RETRY_SECONDS = 1.0


class ClaimState(Enum):
    """What is known of a claimed request."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"


@dataclass(frozen=True)
class Claim:
    """A claim as it is stored.

    :param fingerprint: hash of the request
    :param operation: id of the attempt that holds the claim
    """

    fingerprint: str
    operation: str
    state: str


def claim_name(organisation: str, key: str) -> str:
    """Return the name under which a claim is stored."""
    return hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()[:32]


def check_claim(existing: Claim | None, fingerprint: str) -> None:
    """Refuse a request whose key is claimed already.

    :raises PrimrosefordError: IDEMPOTENCY_CONFLICT, REQUEST_IN_PROGRESS or
        DUPLICATE_REQUEST
    """
    if existing is None or existing.state == ClaimState.NOT_RUN.value:
        return
    if existing.fingerprint != fingerprint:
        raise PrimrosefordError(
            ResultCode.IDEMPOTENCY_CONFLICT,
            "the idempotency key was used for another request",
            field="Idempotency-Key",
        )
    if existing.state == ClaimState.RAN.value:
        raise PrimrosefordError(
            ResultCode.DUPLICATE_REQUEST,
            "a request with this idempotency key ran already",
            outcome=Outcome.RAN,
        )
    raise PrimrosefordError(
        ResultCode.REQUEST_IN_PROGRESS,
        "a request with this idempotency key is in progress or was lost",
        outcome=Outcome.MAY_HAVE_RUN,
    )


def unavailable() -> PrimrosefordError:
    """Return the refusal for a claim that cannot be made durable now."""
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        "the idempotency key cannot be claimed now",
        retry_after=RETRY_SECONDS,
    )


class ClaimLog:
    """The claims of one group: a sequence of objects, of which the last one grows.

    Before it serves, the owner seals the last object by an update, so that a deposed
    owner's conditional write fails.

    :param client: platform's service
    :param group: number of the group
    :param holds_lease: whether this host owns the group at this moment
    """

    def __init__(
        self, client: PlatformClient, group: int, holds_lease: Callable[[], bool]
    ) -> None:
        self.client = client
        self.group = group
        self.holds_lease = holds_lease
        self.index: dict[str, Claim] = {}
        self.current: PlatformObject | None = None
        self.size = 0
        self.pending: dict[str, Claim] = {}
        self.waiters: list[asyncio.Future[None]] = []
        self.writer: asyncio.Task | None = None

    async def claim(
        self, organisation: str, key: str, fingerprint: str, operation: str
    ) -> None:
        """Claim a key; returns once the claim is durable.

        :raises PrimrosefordError: see :func:`check_claim`; PLATFORM_UNAVAILABLE or
            LEASE_LOST if nothing is claimed
        """
        if not self.holds_lease():
            raise PrimrosefordError(
                ResultCode.LEASE_LOST, "this host does not own the group"
            )
        if self.current is None:
            # The writer seals and loads first; a check needs the loaded claims.
            await self._write_soon()
        name = claim_name(organisation, key)
        check_claim(self.index.get(name), fingerprint)
        entry = Claim(fingerprint, operation, ClaimState.CLAIMED.value)
        self.index[name] = self.pending[name] = entry
        try:
            await self._write_soon()
        except PrimrosefordError:
            self.settle(organisation, key, operation, ran=False)
            raise

    def settle(self, organisation: str, key: str, operation: str, ran: bool) -> None:
        """Record whether a claimed request ran, with the next write."""
        name = claim_name(organisation, key)
        entry = self.index.get(name)
        if entry is not None and entry.operation == operation:
            state = ClaimState.RAN if ran else ClaimState.NOT_RUN
            self.index[name] = self.pending[name] = replace(entry, state=state.value)

    async def _write_soon(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        if self.writer is None:
            self.writer = asyncio.create_task(self._write_all())
        # Shielded: one caller that leaves must not undo the write of the others.
        await asyncio.shield(waiter)

    async def _write_all(self) -> None:
        """Write until nobody waits; claims that come meanwhile share the next write."""
        while self.waiters:
            waiters, self.waiters = self.waiters, []
            try:
                await self._write_once()
            except PrimrosefordError:
                self._refuse(waiters)
                continue
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
        self.writer = None

    def _refuse(self, waiters: list[asyncio.Future[None]]) -> None:
        """Refuse all claims that are not durable; the log is loaded again."""
        self.current = None
        for name, entry in self.pending.items():
            if entry.state == ClaimState.CLAIMED.value:
                entry = replace(entry, state=ClaimState.NOT_RUN.value)
                self.index[name] = self.pending[name] = entry
        waiters, self.waiters = waiters + self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_exception(unavailable())
                # Marks it as seen, in case the request that waited is gone.
                waiter.exception()

    async def _write_once(self) -> None:
        if self.current is None:
            await self._seal_and_load()
        changes, self.pending = self.pending, {}
        if not changes:
            return
        try:
            await self._store(changes)
        except PrimrosefordError:
            # Whether the write took effect is unknown; the next load shows it.
            self.pending = changes | self.pending
            raise

    async def _store(self, changes: dict[str, Claim]) -> None:
        current = self.current
        assert current is not None
        encoded = {name: asdict(entry) for name, entry in changes.items()}
        self.size += len(json.dumps(encoded))
        if self.size > MAX_OBJECT_BYTES:
            await self._create(self._sequence(current) + 1, encoded)
            return
        entries = current.spec["entries"] | encoded
        if not self.holds_lease():
            raise PrimrosefordError(ResultCode.LEASE_LOST, "the lease is lost")
        self.current = await self.client.update(
            KIND, current.name, {"entries": entries}, current.version, self._labels()
        )

    async def _seal_and_load(self) -> None:
        for _ in range(SEAL_ATTEMPTS):
            found = await self.client.list(KIND, self._labels())
            ordered = sorted(found.items, key=self._sequence)
            try:
                if ordered:
                    last = ordered[-1]
                    spec = last.spec | {"sealed": True}
                    await self.client.update(
                        KIND, last.name, spec, last.version, self._labels()
                    )
                number = self._sequence(ordered[-1]) + 1 if ordered else 1
                await self._create(number, {})
            except PrimrosefordError as error:
                conflicts = (ResultCode.VERSION_CONFLICT, ResultCode.ALREADY_EXISTS)
                if error.code in conflicts and self.holds_lease():
                    continue
                raise
            self._load(ordered)
            return
        raise unavailable()

    def _load(self, ordered: list[PlatformObject]) -> None:
        self.index = {
            name: Claim(**entry)
            for item in ordered
            for name, entry in item.spec["entries"].items()
        }
        settled, self.pending = self.pending, {}
        for name, entry in settled.items():
            # Of claims that were refused or settled, only those count that took
            # effect and that no other request has taken over.
            stored = self.index.get(name)
            if stored is not None and stored.operation == entry.operation:
                self.index[name] = self.pending[name] = entry

    async def _create(self, number: int, entries: dict) -> None:
        if not self.holds_lease():
            raise PrimrosefordError(ResultCode.LEASE_LOST, "the lease is lost")
        self.current = await self.client.create(
            KIND, f"g{self.group}-{number:08d}", {"entries": entries}, self._labels()
        )
        self.size = len(json.dumps(entries))

    def _labels(self) -> dict[str, str]:
        return {"group": str(self.group)}

    @staticmethod
    def _sequence(item: PlatformObject) -> int:
        return int(item.name.rsplit("-", 1)[1])
