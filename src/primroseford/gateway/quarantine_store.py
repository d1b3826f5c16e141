"""Decides on quarantines periodically, and keeps them in the platform's store.

Heartbeats tell the other hosts of a quarantine. The store keeps it in case all
hosts restart together, and lets an operator lift it by removing its object.
"""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING
from typing import Any

import structlog
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.members import preferred_host
from primroseford.gateway.periodic import run_periodically
from primroseford.ids import PromptPartId
from primroseford.platform.objects import DECODING_ERRORS
from primroseford.quarantine.state import QuarantineRecord

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

QUARANTINE_KIND = "prompt-quarantines"
PURPOSE = "prompt quarantines"
DECISION_INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 0.5
"""Delay before a failed call to the store is retried."""
POLL_SECONDS = 5.0
"""Interval at which one host looks for quarantines that an operator has removed."""
NAME_LENGTH = 32
"""Hexadecimal digits of a part's hash that name its object: part ids come from callers
and may be no valid names."""

log = structlog.get_logger()


class QuarantineStore(Service):
    """Decides on quarantines and stores them.

    :ivar stored: generation of each part's stored record; ``None`` if it was removed
    :ivar retry_at: local time before which no record is stored after a failure
    """

    def __init__(self, gateway: Gateway, client: PlatformClient) -> None:
        super().__init__()
        self.gateway = gateway
        self.client = client
        self.stored: dict[PromptPartId, int | None] = {}
        self.retry_at = float("-inf")

    @Service.task
    async def load(self) -> None:
        """Read the stored quarantines once, as soon as the store answers."""
        while not self.should_stop:
            try:
                await self._read()
                return
            except PrimrosefordError as error:
                log.warning("quarantines not read yet", code=error.code.name)
                await self.sleep(RETRY_SECONDS)

    @Service.task
    async def judge(self) -> None:
        """Decide periodically, and store what has changed."""
        await run_periodically(self, lambda: DECISION_INTERVAL_SECONDS, self.step)

    @Service.task
    async def poll(self) -> None:
        """Lift quarantines whose objects an operator has removed."""
        await run_periodically(self, lambda: POLL_SECONDS, self.find_removed)

    async def step(self) -> None:
        """Decide on the evidence, and store the records that this host keeps.

        :raises PrimrosefordError: if a call to the platform fails
        """
        gateway = self.gateway
        quarantine = gateway.quarantine
        quarantine.decide()
        if not quarantine.records:
            return
        gateway.metrics.quarantined.set(len(quarantine.active()))
        if gateway.clock() < self.retry_at:
            return
        for part, record in list(quarantine.records.items()):
            wanted = None if record.lifted else record.generation
            if self.stored.get(part) == wanted or not quarantine.is_keeper(part):
                continue
            self.retry_at = gateway.clock() + RETRY_SECONDS
            await self._write(record)
            self.stored[part] = wanted
            self.retry_at = float("-inf")

    async def find_removed(self) -> None:
        """Lift the quarantines that are no longer in the store, on one host.

        :raises PrimrosefordError: if a call to the platform fails
        """
        gateway = self.gateway
        quarantine = gateway.quarantine
        hosts = gateway.members.hosts(gateway.clock())
        if preferred_host(QUARANTINE_KIND, hosts) != gateway.members.own:
            return
        known = {part for part in quarantine.active() if self.stored.get(part)}
        if not quarantine.active():
            return
        listed = await self._read()
        for part in (known - listed) & quarantine.active():
            self.stored[part] = None
            quarantine.lift(part, "an operator removed it from the store")

    async def _read(self) -> set[PromptPartId]:
        """Apply the stored quarantines and return their parts."""
        listed = await self.client.list(QUARANTINE_KIND, purpose=PURPOSE)
        parts = set()
        for item in listed.items:
            record = self._decode(item)
            if record is not None:
                parts.add(record.part)
                self.stored[record.part] = record.generation
                self.gateway.quarantine.apply(record)
        return parts

    def _decode(self, item: PlatformObject) -> QuarantineRecord | None:
        spec = item.spec
        try:
            return QuarantineRecord(
                PromptPartId(str(spec["part"])),
                int(spec["generation"]),
                self.gateway.clock() + float(spec["trial_at"]) - time.time(),
                float(spec["trial_seconds"]),
            )
        except DECODING_ERRORS as error:
            log.warning("quarantine not readable", name=item.name, reason=str(error))
            return None

    def _encode(self, record: QuarantineRecord) -> dict[str, Any]:
        in_seconds = record.trial_at - self.gateway.clock()
        return {
            "part": record.part,
            "generation": record.generation,
            "trial_at": round(time.time() + in_seconds, 3),
            "trial_seconds": record.trial_seconds,
        }

    async def _write(self, record: QuarantineRecord) -> None:
        name = hashlib.sha256(record.part.encode()).hexdigest()[:NAME_LENGTH]
        client = self.client
        if record.lifted:
            try:
                await client.delete(QUARANTINE_KIND, name, purpose=PURPOSE)
            except PrimrosefordError as error:
                if error.code is not ResultCode.NOT_FOUND:
                    raise
            return
        spec = self._encode(record)
        try:
            await client.create(QUARANTINE_KIND, name, spec, purpose=PURPOSE)
        except PrimrosefordError as error:
            if error.code is not ResultCode.ALREADY_EXISTS:
                raise
            found = await client.get(QUARANTINE_KIND, name, purpose=PURPOSE)
            stored = self._decode(found)
            if stored is None or stored.generation < record.generation:
                await client.update(
                    QUARANTINE_KIND, name, spec, found.version, purpose=PURPOSE
                )
