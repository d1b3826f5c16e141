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
from primroseford.lease.decisions import create_released_record
from primroseford.lease.decisions import decide_acquire
from primroseford.lease.decisions import is_own_record
from primroseford.lease.decisions import observe_version
from primroseford.lease.decisions import valid_until
from primroseford.lease.state import LEASE_KIND
from primroseford.lease.state import EndReason
from primroseford.lease.state import Lease
from primroseford.lease.state import LeaseTimes
from primroseford.lease.state import decode_record
from primroseford.lease.state import encode_record
from primroseford.platform.limiter import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation
    from primroseford.lease.decisions import WriteRecord
    from primroseford.lease.state import ObservedVersion
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

PURPOSE = "lease"
TICK_SECONDS = 0.1
ATTEMPTS_PER_RENEWAL = 4
"""Renewal attempts per renewal interval while the service is unavailable."""
STOP_TIMEOUT_SECONDS = 3.0
"""Longest time that a shutdown spends on releases; other leases expire."""
LOST_CODES = (ResultCode.VERSION_CONFLICT, ResultCode.NOT_FOUND)
RACE_CODES = (*LOST_CODES, ResultCode.ALREADY_EXISTS)

log = structlog.get_logger()


class LeaseKeeper(Service):
    """Acquires, renews and releases the leases of one host.

    :param client: client of the platform's service
    :param host_id: name of the host
    :param incarnation: incarnation of the host
    :param clock: local clock
    :param times: default times of the leases
    :ivar observed_versions: latest versions of leases that this host does not hold
    :ivar next_renewal_at: local times of the next renewals
    :ivar busy_names: leases that are being acquired or renewed
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
        self.observed_versions: dict[str, ObservedVersion] = {}
        self.next_renewal_at: dict[str, float] = {}
        self.busy_names: set[str] = set()
        self.renewals: set[asyncio.Task[None]] = set()

    async def acquire(
        self,
        name: str,
        *,
        effect_delay: float = 0.0,
        on_loss: Callable[[Lease], None] | None = None,
        times: LeaseTimes | None = None,
    ) -> Lease | None:
        """Try once to acquire a lease; call again to wait for one that is held.

        :param name: name of the lease
        :param effect_delay: longest time in seconds for which a request of the old
            holder may be in flight to a receiver that ignores fencing numbers
        :param on_loss: called once when the lease is taken over or expires
        :param times: times of this lease; those of the keeper by default
        :returns: the lease, or ``None`` while this or another host holds it
        :raises PrimrosefordError: PLATFORM_UNAVAILABLE, or CALLS_LIMITED
        """
        if name in self.held or name in self.busy_names:
            return None
        self.busy_names.add(name)
        try:
            return await self._try_acquire(
                name, effect_delay, on_loss, times or self.times
            )
        except PrimrosefordError as error:
            if error.code in RACE_CODES:
                return None
            raise
        finally:
            self.busy_names.discard(name)

    def observe(self, item: PlatformObject) -> None:
        """Record the version of a lease object, for example from a watch event."""
        if item.name not in self.held:
            known = self.observed_versions.get(item.name)
            self.observed_versions[item.name] = observe_version(
                known, item.version, self.clock()
            )

    async def release(self, lease: Lease) -> None:
        """Release a lease, so that another host can acquire it at once.

        Call it only if no request sent under the lease has an unknown outcome, unless
        its receiver checks fencing numbers. A failure is only logged: the lease then
        expires.
        """
        if lease.end_reason is not None:
            return
        self._end(lease, EndReason.RELEASED)
        try:
            await self._write_release(lease)
        except PrimrosefordError as error:
            log.warning("lease not released", lease=lease.name, code=error.code.name)

    def abandon(self, lease: Lease) -> None:
        """Stop holding a lease without a release; others wait until it expires."""
        if lease.end_reason is None:
            self._end(lease, EndReason.ABANDONED)

    async def renew(self, lease: Lease) -> None:
        """Renew a lease once; if it was lost, end it and call its callback."""
        if not self._check_expiry(lease):
            return
        sent_at = self.clock()
        try:
            stored = await self.client.update(
                LEASE_KIND,
                lease.name,
                encode_record(lease.record),
                lease.version,
                purpose=PURPOSE,
            )
        except PrimrosefordError as error:
            self._schedule_retry(lease)
            if error.code in LOST_CODES:
                await self._adopt_own_version(lease)
            self._check_expiry(lease)
            return
        # The holder may have been paused while it waited for the response, or the
        # lease may have been released meanwhile.
        if not self._check_expiry(lease):
            return
        lease.version = stored.version
        lease.valid_until = valid_until(sent_at, lease.times)
        self.next_renewal_at[lease.name] = sent_at + lease.times.renew

    @Service.task
    async def renew_due(self) -> None:
        """Renew the leases that are due and end those that expired."""
        while not self.should_stop:
            self.start_due_renewals()
            await self.sleep(TICK_SECONDS)

    def start_due_renewals(self) -> None:
        """Start a renewal of each lease that is due and not being renewed."""
        now = self.clock()
        for name, lease in list(self.held.items()):
            if not self._check_expiry(lease) or name in self.busy_names:
                continue
            if now >= self.next_renewal_at[name]:
                self.busy_names.add(name)
                task = asyncio.ensure_future(self._renew_in_background(lease))
                self.renewals.add(task)
                task.add_done_callback(self.renewals.discard)

    async def on_stop(self) -> None:
        """Release all leases."""
        releases = [self.release(item) for item in self.held.values()]
        if releases:
            try:
                await asyncio.wait_for(asyncio.gather(*releases), STOP_TIMEOUT_SECONDS)
            except TimeoutError:
                log.warning("leases not released before the shutdown timeout")
        for task in list(self.renewals):
            task.cancel()

    async def _try_acquire(
        self,
        name: str,
        effect_delay: float,
        on_loss: Callable[[Lease], None] | None,
        times: LeaseTimes,
    ) -> Lease | None:
        lease_object = await self._read(name)
        record = None if lease_object is None else decode_record(lease_object.spec)
        observed = None
        if lease_object is not None:
            self.observe(lease_object)
            observed = self.observed_versions[name]
            # A stale read: a newer version has been observed.
            if observed.version != lease_object.version:
                return None
        decision = decide_acquire(
            self.host_id,
            self.incarnation,
            record,
            observed,
            self.clock(),
            times,
            effect_delay,
        )
        if isinstance(decision, Wait):
            return None
        sent_at = self.clock()
        stored = await self._write(name, decision)
        until = valid_until(sent_at, times)
        lease = Lease(name, decision.record, stored.version, until, times, on_loss)
        if not lease.valid(self.clock()):
            return None
        self._add_held(lease, sent_at)
        return lease

    def _add_held(self, lease: Lease, sent_at: float) -> None:
        self.observed_versions.pop(lease.name, None)
        self.held[lease.name] = lease
        # Spread the renewals of leases acquired together: sixteen renewals at once
        # block the event loop for about 10 ms each second.
        phase = crc32(lease.name.encode()) / 2**32
        self.next_renewal_at[lease.name] = sent_at + phase * lease.times.renew
        log.info("lease acquired", lease=lease.name, fencing=lease.fencing)

    async def _read(self, name: str) -> PlatformObject | None:
        try:
            return await self.client.get(
                LEASE_KIND, name, purpose=PURPOSE, priority=Priority.CLAIM
            )
        except PrimrosefordError as error:
            if error.code is not ResultCode.NOT_FOUND:
                raise
            return None

    async def _write(self, name: str, decision: WriteRecord) -> PlatformObject:
        spec = encode_record(decision.record)
        if decision.version is None:
            return await self.client.create(LEASE_KIND, name, spec, purpose=PURPOSE)
        return await self.client.update(
            LEASE_KIND, name, spec, decision.version, purpose=PURPOSE
        )

    async def _write_release(self, lease: Lease) -> None:
        spec = encode_record(create_released_record(lease.record))
        try:
            await self.client.update(
                LEASE_KIND, lease.name, spec, lease.version, purpose=PURPOSE
            )
        except PrimrosefordError as error:
            if error.code is not ResultCode.VERSION_CONFLICT:
                raise
            # A concurrent renewal may have changed the version.
            lease_object = await self._read(lease.name)
            if lease_object is None or not is_own_record(
                decode_record(lease_object.spec), lease.record
            ):
                return
            await self.client.update(
                LEASE_KIND, lease.name, spec, lease_object.version, purpose=PURPOSE
            )

    async def _adopt_own_version(self, lease: Lease) -> None:
        """Distinguish a takeover from an own renewal with an unknown outcome."""
        try:
            lease_object = await self._read(lease.name)
        except PrimrosefordError:
            return
        if lease.end_reason is not None:
            return
        # The adopted version does not extend the validity, because the time at which
        # that renewal was sent is not known any more.
        if lease_object is None or not is_own_record(
            decode_record(lease_object.spec), lease.record
        ):
            self._end(lease, EndReason.TAKEN)
            return
        lease.version = lease_object.version
        self.next_renewal_at[lease.name] = self.clock()

    async def _renew_in_background(self, lease: Lease) -> None:
        try:
            await self.renew(lease)
        except Exception:
            log.exception("lease not renewed", lease=lease.name)
        finally:
            self.busy_names.discard(lease.name)

    def _schedule_retry(self, lease: Lease) -> None:
        if lease.end_reason is None:
            self.next_renewal_at[lease.name] = (
                self.clock() + lease.times.renew / ATTEMPTS_PER_RENEWAL
            )

    def _check_expiry(self, lease: Lease) -> bool:
        if lease.end_reason is None and not lease.valid(self.clock()):
            self._end(lease, EndReason.EXPIRED)
        return lease.end_reason is None

    def _end(self, lease: Lease, reason: EndReason) -> None:
        lease.end_reason = reason
        if self.held.get(lease.name) is lease:
            del self.held[lease.name]
            del self.next_renewal_at[lease.name]
        log.info("lease ended", lease=lease.name, reason=reason.value)
        involuntary = reason in (EndReason.TAKEN, EndReason.EXPIRED)
        if involuntary and lease.on_loss is not None:
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
    """Return a service that manages the leases of one host.

    :param client: client of the platform's service
    :param host_id: name of the host
    :param incarnation: incarnation of the host, unique for each start
    :param clock: local clock, which must include time in suspend
    :param times: default times of the leases
    """
    return LeaseKeeper(client, host_id, incarnation, clock, times or LeaseTimes())
