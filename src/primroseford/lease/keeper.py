"""Service that acquires, renews and releases the leases of one host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from zlib import crc32

import structlog
from mode import Service

from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.lease.decisions import Wait
from primroseford.lease.decisions import decide_acquire
from primroseford.lease.decisions import is_own
from primroseford.lease.decisions import note_sighting
from primroseford.lease.decisions import released
from primroseford.lease.decisions import valid_until
from primroseford.lease.state import KIND
from primroseford.lease.state import Lease
from primroseford.lease.state import LeaseTimes
from primroseford.lease.state import LossReason
from primroseford.lease.state import decode_record
from primroseford.lease.state import encode_record
from primroseford.platform.limiter import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation
    from primroseford.lease.decisions import Take
    from primroseford.lease.state import Sighting
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

PURPOSE = "lease"
TICK_SECONDS = 0.1
RETRIES = 4
"""Attempts in the time of one renewal while the service is away."""
STOP_SECONDS = 3.0
"""Longest time that a stop spends on releases; what remains lapses by itself."""
LOST_CODES = (ResultCode.VERSION_CONFLICT, ResultCode.NOT_FOUND)
RACE_CODES = (*LOST_CODES, ResultCode.ALREADY_EXISTS)

log = structlog.get_logger()


class LeaseKeeper(Service):
    """Holds the leases of one host.

    :param client: client of the platform's service
    :param host_id: name of the host
    :param incarnation: incarnation of the host
    :param clock: local clock
    :param times: times of the leases
    """

    def __init__(
        self,
        client: PlatformClient,
        host_id: HostId,
        incarnation: Incarnation,
        clock: Clock,
        times: LeaseTimes,
    ) -> None:
        super().__init__()
        self.client = client
        self.host_id = host_id
        self.incarnation = incarnation
        self.clock = clock
        self.times = times
        self.held: dict[str, Lease] = {}
        self.sightings: dict[str, Sighting] = {}
        self.renew_at: dict[str, float] = {}
        self.in_progress: set[str] = set()
        self.renewals: set[asyncio.Task[None]] = set()

    async def acquire(
        self,
        name: str,
        *,
        wait_out: float = 0.0,
        on_loss: Callable[[Lease], None] | None = None,
        times: LeaseTimes | None = None,
    ) -> Lease | None:
        """Try once to take a lease; call again to wait for one that is held.

        :param name: name of the lease
        :param wait_out: longest time in seconds in which an effect of the old
            holder can still arrive at a receiver that ignores fencing numbers
        :param on_loss: called once when the lease is taken or expires
        :param times: times of this lease; those of the keeper by default
        :returns: the lease; or nothing while it is held here or by another
        :raises PrimrosefordError: PLATFORM_UNAVAILABLE, or CALLS_LIMITED
        """
        if name in self.held or name in self.in_progress:
            return None
        self.in_progress.add(name)
        try:
            return await self._try_acquire(name, wait_out, on_loss, times or self.times)
        except PrimrosefordError as error:
            if error.code in RACE_CODES:
                return None
            raise
        finally:
            self.in_progress.discard(name)

    def observe(self, item: PlatformObject) -> None:
        """Note a lease object seen by a watch, which saves reads of ``acquire``."""
        if item.name not in self.held:
            seen = self.sightings.get(item.name)
            self.sightings[item.name] = note_sighting(seen, item.version, self.clock())

    async def release(self, lease: Lease) -> None:
        """Give a lease up, so that another host can take it at once.

        Call it only when no effect under the lease is in doubt. A failure is not
        reported: the lease then lapses.
        """
        if lease.end_reason is not None:
            return
        self._end(lease, LossReason.RELEASED)
        try:
            await self._write_release(lease)
        except PrimrosefordError as error:
            log.warning("lease not released", lease=lease.name, code=error.code.name)

    def abandon(self, lease: Lease) -> None:
        """Stop to hold a lease without release; the next holder waits it out."""
        if lease.end_reason is None:
            self._end(lease, LossReason.ABANDONED)

    async def renew(self, lease: Lease) -> None:
        """Renew a lease once; a lease that was lost ends with its callback."""
        if not self._check_expiry(lease):
            return
        sent_at = self.clock()
        try:
            stored = await self.client.update(
                KIND,
                lease.name,
                encode_record(lease.record),
                lease.version,
                purpose=PURPOSE,
            )
        except PrimrosefordError as error:
            self._postpone(lease)
            if error.code in LOST_CODES:
                await self._adopt_own_version(lease)
            self._check_expiry(lease)
            return
        # The holder may have been paused while it waited for the answer, or the
        # lease may have been released meanwhile.
        if not self._check_expiry(lease):
            return
        lease.version = stored.version
        lease.valid_until = valid_until(sent_at, lease.times)
        self.renew_at[lease.name] = sent_at + lease.times.renew

    @Service.task
    async def renew_due(self) -> None:
        """Renew each lease in time and notice those that expired."""
        while not self.should_stop:
            self.start_due_renewals()
            await self.sleep(TICK_SECONDS)

    def start_due_renewals(self) -> None:
        """Start a renewal of each lease that is due and has none under way."""
        now = self.clock()
        for name, lease in list(self.held.items()):
            if not self._check_expiry(lease) or name in self.in_progress:
                continue
            if now >= self.renew_at[name]:
                self.in_progress.add(name)
                task = asyncio.ensure_future(self._renew_in_background(lease))
                self.renewals.add(task)
                task.add_done_callback(self.renewals.discard)

    async def on_stop(self) -> None:
        """Release all leases."""
        releases = [self.release(item) for item in self.held.values()]
        if releases:
            try:
                await asyncio.wait_for(asyncio.gather(*releases), STOP_SECONDS)
            except TimeoutError:
                log.warning("leases not released before the stop")
        for task in list(self.renewals):
            task.cancel()

    async def _try_acquire(
        self,
        name: str,
        wait_out: float,
        on_loss: Callable[[Lease], None] | None,
        times: LeaseTimes,
    ) -> Lease | None:
        found = await self._read(name)
        record = None if found is None else decode_record(found.spec)
        sighting = None
        if found is not None:
            self.observe(found)
            sighting = self.sightings[name]
            # A lagging read is older than what a watch has shown.
            if sighting.version != found.version:
                return None
        decision = decide_acquire(
            self.host_id,
            self.incarnation,
            record,
            sighting,
            self.clock(),
            times,
            wait_out,
        )
        if isinstance(decision, Wait):
            return None
        sent_at = self.clock()
        stored = await self._write(name, decision)
        until = valid_until(sent_at, times)
        lease = Lease(name, decision.record, stored.version, until, times, on_loss)
        if not lease.valid(self.clock()):
            return None
        self._hold(lease, sent_at)
        return lease

    def _hold(self, lease: Lease, sent_at: float) -> None:
        self.sightings.pop(lease.name, None)
        self.held[lease.name] = lease
        # Leases taken together would be renewed together for ever; sixteen renewals
        # at once hold up the event loop for about 10 ms each second.
        phase = crc32(lease.name.encode()) / 2**32
        self.renew_at[lease.name] = sent_at + phase * lease.times.renew
        log.info("lease acquired", lease=lease.name, fencing=lease.fencing)

    async def _read(self, name: str) -> PlatformObject | None:
        try:
            return await self.client.get(
                KIND, name, purpose=PURPOSE, priority=Priority.CLAIM
            )
        except PrimrosefordError as error:
            if error.code is not ResultCode.NOT_FOUND:
                raise
            return None

    async def _write(self, name: str, decision: Take) -> PlatformObject:
        spec = encode_record(decision.record)
        if decision.version is None:
            return await self.client.create(KIND, name, spec, purpose=PURPOSE)
        return await self.client.update(
            KIND, name, spec, decision.version, purpose=PURPOSE
        )

    async def _write_release(self, lease: Lease) -> None:
        spec = encode_record(released(lease.record))
        try:
            await self.client.update(
                KIND, lease.name, spec, lease.version, purpose=PURPOSE
            )
        except PrimrosefordError as error:
            if error.code is not ResultCode.VERSION_CONFLICT:
                raise
            # A renewal that was under way may have changed the version.
            found = await self._read(lease.name)
            if found is None or not is_own(decode_record(found.spec), lease.record):
                return
            await self.client.update(
                KIND, lease.name, spec, found.version, purpose=PURPOSE
            )

    async def _adopt_own_version(self, lease: Lease) -> None:
        """Tell a takeover from an own renewal whose outcome had stayed unknown."""
        try:
            found = await self._read(lease.name)
        except PrimrosefordError:
            return
        if lease.end_reason is not None:
            return
        # The adopted version does not extend the validity: when that renewal was
        # sent is no longer known.
        if found is None or not is_own(decode_record(found.spec), lease.record):
            self._end(lease, LossReason.TAKEN)
            return
        lease.version = found.version
        self.renew_at[lease.name] = self.clock()

    async def _renew_in_background(self, lease: Lease) -> None:
        try:
            await self.renew(lease)
        except Exception:
            log.exception("lease not renewed", lease=lease.name)
        finally:
            self.in_progress.discard(lease.name)

    def _postpone(self, lease: Lease) -> None:
        if lease.end_reason is None:
            self.renew_at[lease.name] = self.clock() + lease.times.renew / RETRIES

    def _check_expiry(self, lease: Lease) -> bool:
        if lease.end_reason is None and not lease.valid(self.clock()):
            self._end(lease, LossReason.EXPIRED)
        return lease.end_reason is None

    def _end(self, lease: Lease, reason: LossReason) -> None:
        lease.end_reason = reason
        if self.held.get(lease.name) is lease:
            del self.held[lease.name]
            del self.renew_at[lease.name]
        log.info("lease ended", lease=lease.name, reason=reason.value)
        unasked = reason in (LossReason.TAKEN, LossReason.EXPIRED)
        if unasked and lease.on_loss is not None:
            try:
                lease.on_loss(lease)
            except Exception:
                log.exception("callback of a lost lease failed", lease=lease.name)


def create_lease_keeper(
    client: PlatformClient,
    host_id: HostId,
    incarnation: Incarnation,
    clock: Clock = boottime,
    times: LeaseTimes | None = None,
) -> LeaseKeeper:
    """Return a service that holds the leases of one host.

    :param client: client of the platform's service
    :param host_id: name of the host
    :param incarnation: incarnation of the host, unique for each start
    :param clock: local clock, which must count time spent suspended
    :param times: times of the leases
    """
    return LeaseKeeper(client, host_id, incarnation, clock, times or LeaseTimes())
