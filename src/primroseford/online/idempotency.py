"""Durable log of a group's idempotency-key claims, written by the group's owner."""

from __future__ import annotations

import asyncio
import hashlib
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
from primroseford.platform.encoding import encoded_bytes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

KIND = "claims"
MAX_OBJECT_BYTES = 512 * 1024
"""Half of the platform's size limit of a value."""
RETENTION_SECONDS = 25 * 3600.0
"""The guaranteed 24 h, and 1 h for differences between the hosts' wall clocks."""
MAX_OBJECT_AGE_SECONDS = 3600.0
"""Age at which the log rolls over to a new object; an old object can then be deleted as
a whole."""
MAX_OBJECTS = 64
"""Limit of the objects that a new owner has to list, at most 32 MB. Above it, claims
are rejected until the oldest object expires; only outcomes of earlier claims may add
more objects."""
PURPOSE = "claims"
FENCE_ATTEMPTS = 5
RETRY_SECONDS = 1.0


class ClaimState(Enum):
    """Known outcome of a claimed request."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"


@dataclass(frozen=True)
class Claim:
    """A claim as it is stored.

    :param fingerprint: hash of the request
    :param operation: unique id of the claiming attempt
    """

    fingerprint: str
    operation: str
    state: str


@dataclass
class LogObject:
    """A platform object that stores a segment of a group's log.

    :param created: wall-clock time in seconds
    :param names: names of the claims in the object
    """

    name: str
    number: int
    created: float
    names: set[str] = field(default_factory=set)


def claim_name(organisation: str, key: str) -> str:
    """Return the name under which a claim is stored."""
    return hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()[:32]


def check_claim(existing: Claim | None, fingerprint: str) -> None:
    """Raise an error if a key is already claimed.

    :raises PrimrosefordError: IDEMPOTENCY_CONFLICT, REQUEST_IN_PROGRESS or
        DUPLICATE_REQUEST
    """
    if existing is None or existing.state == ClaimState.NOT_RUN.value:
        return
    if existing.fingerprint != fingerprint:
        raise PrimrosefordError(
            ResultCode.IDEMPOTENCY_CONFLICT,
            "the idempotency key was already used for a different request",
            field="Idempotency-Key",
        )
    if existing.state == ClaimState.RAN.value:
        raise PrimrosefordError(
            ResultCode.DUPLICATE_REQUEST,
            "a request with this idempotency key has already run",
            outcome=Outcome.RAN,
        )
    raise PrimrosefordError(
        ResultCode.REQUEST_IN_PROGRESS,
        "a request with this idempotency key is in progress or its outcome is unknown",
        outcome=Outcome.MAY_HAVE_RUN,
    )


def fitting_changes(changes: dict[str, Claim]) -> dict[str, Claim]:
    """Return the first changes that fit into one object; at least one."""
    fitting: dict[str, Claim] = {}
    size = 0
    for name, entry in changes.items():
        size += encoded_bytes({name: asdict(entry)})
        if fitting and size > MAX_OBJECT_BYTES:
            break
        fitting[name] = entry
    return fitting


def create_unavailable_error() -> PrimrosefordError:
    """Return the error for a claim that cannot be stored at present."""
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        "the idempotency key cannot be claimed at present",
        retry_after=RETRY_SECONDS,
    )


class ClaimLog:
    """Claims of a group, stored in a sequence of objects; claims go to the last one.

    Before a new owner serves claims, it updates the last object. The new version fences
    the previous owner, whose compare-and-set writes then fail. The new owner continues
    in the same object.

    :param client: client of the platform's object store
    :param group: number of the group
    :param holds_lease: returns whether this host holds the group's lease now
    :param now: wall-clock time in seconds, since claims outlive every host
    :ivar expired_objects: expired objects that are still to be deleted
    :ivar newest_numbers: number of the newest object that stores a claim, by claim name
    :ivar index: all unexpired claims by name
    :ivar current: the last object; none while the log has to be loaded
    :ivar pending: claims and outcomes that are not yet written
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
        """Claim a key and return once the claim is durable.

        :raises PrimrosefordError: see :func:`check_claim`; PLATFORM_UNAVAILABLE or
            LEASE_LOST if nothing is claimed
        """
        if not self.holds_lease():
            raise PrimrosefordError(
                ResultCode.LEASE_LOST, "this host does not hold the lease of the group"
            )
        if self.current is None:
            # The write fences the previous owner and loads the claims to check against.
            await self._write_soon()
        if self.writer is None:
            # Not during a write, which may store a claim in a newer object than the
            # index shows.
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
        """Record whether a claimed request ran; it is stored with the next write."""
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
        # Shielded, so that a disconnecting caller does not cancel the write of others.
        await asyncio.shield(waiter)

    async def _write_all(self) -> None:
        """Write until no claim waits; claims made during a write share the next one."""
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
        """Reject all claims that are not durable, and have the log reloaded."""
        self.current = None
        for name, entry in self.pending.items():
            if entry.state == ClaimState.CLAIMED.value:
                entry = replace(entry, state=ClaimState.NOT_RUN.value)
                self.index[name] = self.pending[name] = entry
        waiters, self.waiters = waiters + self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_exception(create_unavailable_error())
                # Marks the exception as retrieved, in case the request was cancelled.
                waiter.exception()

    async def _write_once(self) -> None:
        if self.current is None:
            await self._fence_and_load()
        unwritten, self.pending = self.pending, {}
        while unwritten:
            changes = fitting_changes(unwritten)
            try:
                await self._store(changes)
            except PrimrosefordError:
                # The outcome of the write is unknown until the log is reloaded.
                self.pending = unwritten | self.pending
                raise
            for name in changes:
                del unwritten[name]

    async def _store(self, changes: dict[str, Claim]) -> None:
        current = self.current
        assert current is not None
        encoded = {name: asdict(entry) for name, entry in changes.items()}
        size = self.size + encoded_bytes(encoded)
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

        Without the seal, a previous owner could create the next object while the new
        owner continues in the current one.
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
                    # The new version makes writes of a previous owner fail.
                    last = ordered[-1]
                    takeovers = last.spec.get("takeovers", 0) + 1
                    fenced = await self._update(
                        last, last.spec | {"takeovers": takeovers}
                    )
                    self.size = encoded_bytes(last.spec["entries"])
                    # Set after the await: a claim made before the load must find no
                    # current object, so that it waits.
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
            # Keeps an unwritten outcome only if its claim was stored and has not been
            # replaced by the claim of another attempt.
            stored = self.index.get(name)
            if stored is not None and stored.operation == entry.operation:
                self.index[name] = self.pending[name] = entry

    def _drop_expired(self) -> list[LogObject]:
        """Drop objects whose claims have all expired, and these claims.

        All claims of an object are older than the creation time of the next object.

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
                    # The claims are already out of the index; the next write retries
                    # the deletion.
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
        self.size = encoded_bytes(entries)
        self.log_objects.append(self._to_log_object(self.current))

    def _to_log_object(self, item: PlatformObject) -> LogObject:
        # Objects of earlier software versions have no creation time; they are kept
        # for the full retention from now on.
        created = float(item.spec.get("created", self.now()))
        return LogObject(item.name, self._sequence_number(item), created)

    def _labels(self) -> dict[str, str]:
        return {"group": str(self.group)}

    @staticmethod
    def _sequence_number(item: PlatformObject) -> int:
        return int(item.name.rsplit("-", 1)[1])
