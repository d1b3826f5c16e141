"""Durable claims of one group's idempotency keys, held by the group's owner."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

KIND = "claims"
MAX_OBJECT_BYTES = 512 * 1024
"""Half of the platform's limit on a value."""
RETENTION_SECONDS = 25 * 3600.0
"""The promised 24 h and an hour for hosts whose wall clocks differ."""
MAX_OBJECT_AGE_SECONDS = 3600.0
"""Age after which a new object is begun, so that old ones can be deleted whole."""
MAX_OBJECTS = 64
"""Objects that a new owner has to list, at most 32 MB; further claims are refused
until the oldest object's retention ends. Only outcomes of earlier claims may add
more objects."""
PURPOSE = "claims"
FENCE_ATTEMPTS = 5
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


@dataclass
class LogObject:
    """One object of a group's log.

    :param created: wall-clock time in seconds
    :param names: names of the claims in it
    """

    name: str
    number: int
    created: float
    names: set[str] = field(default_factory=set)


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


def create_unavailable_error() -> PrimrosefordError:
    """Return the refusal for a claim that cannot be made durable now."""
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        "the idempotency key cannot be claimed now",
        retry_after=RETRY_SECONDS,
    )


class ClaimLog:
    """The claims of one group: a sequence of objects, of which the last one grows.

    Before it serves, a new owner changes the last object by an update, so that a
    deposed owner's conditional write fails, and then goes on in the same object.

    :param client: platform's service
    :param group: number of the group
    :param holds_lease: whether this host owns the group at this moment
    :param now: wall-clock time in seconds, since claims outlive every host
    """

    def __init__(
        self,
        client: PlatformClient,
        group: int,
        holds_lease: Callable[[], bool],
        now: Callable[[], float] = time.time,
    ) -> None:
        self.client = client
        self.group = group
        self.holds_lease = holds_lease
        self.now = now
        self.log_objects: list[LogObject] = []
        self.expired_objects: list[LogObject] = []
        self.newest_numbers: dict[str, int] = {}
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
        if self.writer is None:
            # A write under way may store a claim in a newer object than noted here.
            self.expired_objects += self._drop_expired()
        if len(self.log_objects) >= MAX_OBJECTS:
            raise create_unavailable_error()
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
                self._reject_pending(waiters)
                continue
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
            await self._delete_expired()
        self.writer = None

    def _reject_pending(self, waiters: list[asyncio.Future[None]]) -> None:
        """Refuse all claims that are not durable; the log is loaded again."""
        self.current = None
        for name, entry in self.pending.items():
            if entry.state == ClaimState.CLAIMED.value:
                entry = replace(entry, state=ClaimState.NOT_RUN.value)
                self.index[name] = self.pending[name] = entry
        waiters, self.waiters = waiters + self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_exception(create_unavailable_error())
                # Marks it as seen, in case the request that waited is gone.
                waiter.exception()

    async def _write_once(self) -> None:
        if self.current is None:
            await self._fence_and_load()
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
        size = self.size + len(json.dumps(encoded))
        age = self.now() - self.log_objects[-1].created
        if size > MAX_OBJECT_BYTES or (
            age > MAX_OBJECT_AGE_SECONDS and current.spec["entries"]
        ):
            await self._roll_over(encoded)
        else:
            entries = current.spec["entries"] | encoded
            self.current = await self._update(
                current, {**current.spec, "entries": entries}
            )
            self.size = size
        self._index_names(self.log_objects[-1], changes)

    async def _roll_over(self, entries: dict) -> None:
        """Seal the current object and continue in a new one.

        Without the seal a deposed owner could create the next object while the new
        owner goes on with the current one.
        """
        current = self.current
        assert current is not None
        self.current = await self._update(current, current.spec | {"sealed": True})
        await self._create(self.log_objects[-1].number + 1, entries)

    async def _fence_and_load(self) -> None:
        for _ in range(FENCE_ATTEMPTS):
            found = await self.client.list(KIND, self._labels(), purpose=PURPOSE)
            ordered = sorted(found.items, key=self._sequence_number)
            self.log_objects = [self._to_log_object(item) for item in ordered]
            try:
                if not ordered or ordered[-1].spec.get("sealed"):
                    number = self.log_objects[-1].number + 1 if ordered else 1
                    await self._create(number, {})
                else:
                    # The new version makes a deposed owner's write fail.
                    last = ordered[-1]
                    takeovers = last.spec.get("takeovers", 0) + 1
                    fenced = await self._update(
                        last, last.spec | {"takeovers": takeovers}
                    )
                    self.size = len(json.dumps(last.spec["entries"]))
                    # Claims that come before the load must not see a current object.
                    self.current = fenced
            except PrimrosefordError as error:
                conflicts = (ResultCode.VERSION_CONFLICT, ResultCode.ALREADY_EXISTS)
                if error.code in conflicts and self.holds_lease():
                    continue
                raise
            self._load(ordered)
            return
        raise create_unavailable_error()

    def _load(self, ordered: list[PlatformObject]) -> None:
        self.index = {
            name: Claim(**entry)
            for item in ordered
            for name, entry in item.spec["entries"].items()
        }
        self.newest_numbers = {}
        for log_object, item in zip(self.log_objects, ordered, strict=False):
            self._index_names(log_object, item.spec["entries"])
        unwritten, self.pending = self.pending, {}
        for name, entry in unwritten.items():
            # Of claims that were refused or settled, only those count that took
            # effect and that no other request has taken over.
            stored = self.index.get(name)
            if stored is not None and stored.operation == entry.operation:
                self.index[name] = self.pending[name] = entry

    def _drop_expired(self) -> list[LogObject]:
        """Drop the claims of objects whose newest claim is past its retention.

        An object's claims are no newer than the creation of the object after it.

        :returns: the dropped objects
        """
        expired_objects: list[LogObject] = []
        limit = self.now() - RETENTION_SECONDS
        while len(self.log_objects) > 1 and self.log_objects[1].created < limit:
            log_object = self.log_objects.pop(0)
            expired_objects.append(log_object)
            for name in log_object.names:
                if self.newest_numbers[name] == log_object.number:
                    del self.newest_numbers[name]
                    if name not in self.pending:
                        self.index.pop(name, None)
        return expired_objects

    def _index_names(self, log_object: LogObject, names: Iterable[str]) -> None:
        for name in names:
            log_object.names.add(name)
            self.newest_numbers[name] = log_object.number

    async def _delete_expired(self) -> None:
        self.expired_objects += self._drop_expired()
        while self.expired_objects:
            log_object = self.expired_objects[0]
            try:
                await self.client.delete(KIND, log_object.name, None, purpose=PURPOSE)
            except PrimrosefordError as error:
                if error.code is not ResultCode.NOT_FOUND:
                    # The claims in it no longer count; the next write tries again.
                    return
            self.expired_objects.pop(0)

    async def _update(self, item: PlatformObject, spec: dict) -> PlatformObject:
        if not self.holds_lease():
            raise PrimrosefordError(ResultCode.LEASE_LOST, "the lease is lost")
        return await self.client.update(
            KIND, item.name, spec, item.version, self._labels(), purpose=PURPOSE
        )

    async def _create(self, number: int, entries: dict) -> None:
        if not self.holds_lease():
            raise PrimrosefordError(ResultCode.LEASE_LOST, "the lease is lost")
        name = f"g{self.group}-{number:08d}"
        spec = {"entries": entries, "created": self.now()}
        self.current = await self.client.create(
            KIND, name, spec, self._labels(), purpose=PURPOSE
        )
        self.size = len(json.dumps(entries))
        self.log_objects.append(self._to_log_object(self.current))

    def _to_log_object(self, item: PlatformObject) -> LogObject:
        # Objects of earlier versions carry no time; they are kept in full.
        created = float(item.spec.get("created", self.now()))
        return LogObject(item.name, self._sequence_number(item), created)

    def _labels(self) -> dict[str, str]:
        return {"group": str(self.group)}

    @staticmethod
    def _sequence_number(item: PlatformObject) -> int:
        return int(item.name.rsplit("-", 1)[1])
