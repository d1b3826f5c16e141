"""Evidence on crashes of runners, merged from the reports of all hosts."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.quarantine.verdict import Crash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import PromptPartId

CRASH_RETENTION_SECONDS = 60.0
"""Time for which a crash counts as evidence."""
MAX_CRASHES = 64
MAX_CRASH_PARTS = 64
"""Parts of one crash that are kept; those of further requests are dropped."""
MAX_SERVED_PARTS = 8192
"""Parts whose last served request is remembered, about 1 MB."""
MAX_REPORTED_CRASHES = 8
MAX_REPORTED_CRASH_PARTS = 40
"""Parts of one crash in a heartbeat: those of ten requests with three shared parts.
With the longest ids, eight crashes take 24 KB."""
MAX_REPORTED_PARTS = 16
CRASH_REPORT_SECONDS = 30.0
"""Time for which a host reports a crash that no quarantine explains, so that hosts
that restart or were partitioned learn of it."""
SERVED_REPORT_SECONDS = 2.0
"""Time for which a host reports a served part, so that a lost datagram does no harm."""


@dataclass
class CrashRecord:
    """What is known of one crash.

    :param at: earliest local time at which a host saw it
    :param known_at: local time at which this host last learnt something new of it
    :param parts: shared parts of the requests that the runner was beginning to answer,
        each with its position in the prompt
    :param own_parts: those of this host's requests
    """

    at: float
    known_at: float
    parts: dict[PromptPartId, int] = field(default_factory=dict)
    own_parts: dict[PromptPartId, int] = field(default_factory=dict)

    def add(self, parts: Mapping[PromptPartId, int], now: float) -> bool:
        """Add parts; return whether there was anything new."""
        changed = False
        for part, position in parts.items():
            if part not in self.parts and len(self.parts) >= MAX_CRASH_PARTS:
                continue
            if self.parts.get(part, -1) < position:
                self.parts[part] = position
                self.known_at, changed = now, True
        return changed


class Evidence:
    """Crashes and served parts. Reports can be merged in any order and repeatedly.

    :ivar crashes: crashes by runner instance; an instance ends only once
    :ivar own_served_at: local time at which a request of this host with a part was last
        served, least recent first
    :ivar served_at: the same for all hosts, for parts that are in crashes
    :ivar peer_served_at: the same for the other hosts
    :ivar reported_served: time that was last reported for a part, and local time until
        which it is reported
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[RunnerKey, CrashRecord] = OrderedDict()
        self.own_served_at: OrderedDict[PromptPartId, float] = OrderedDict()
        self.served_at: dict[PromptPartId, float] = {}
        self.peer_served_at: dict[PromptPartId, float] = {}
        self.reported_served: dict[PromptPartId, tuple[float, float]] = {}

    def add_crash(
        self,
        runner: RunnerKey,
        at: float,
        parts: Mapping[PromptPartId, int],
        now: float,
        own: bool = False,
    ) -> bool:
        """Merge a report of a crash; return whether it says anything new.

        :param at: local time of the crash
        :param own: whether this host saw it
        """
        record = self.crashes.get(runner)
        is_new = record is None
        if record is None:
            record = self.crashes[runner] = CrashRecord(at, now)
        record.at = min(record.at, at)
        if own:
            record.own_parts.update(parts)
        changed = record.add(parts, now)
        for part in parts:
            served = self.own_served_at.get(part)
            if served is not None:
                self._merge(self.served_at, part, served)
        self.expire(now)
        return changed or is_new

    def expire(self, now: float) -> None:
        """Drop the crashes that no longer count, and what is known of their parts."""
        expired = [
            runner
            for runner, record in self.crashes.items()
            if now - record.at > CRASH_RETENTION_SECONDS
        ]
        for runner in expired:
            del self.crashes[runner]
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        suspects = {part for record in self.crashes.values() for part in record.parts}
        for known in (self.served_at, self.peer_served_at, self.reported_served):
            for part in known.keys() - suspects:
                del known[part]

    def add_served(self, parts: Iterable[PromptPartId], now: float) -> None:
        """Record that a request of this host was served."""
        own = self.own_served_at
        for part in parts:
            own[part] = now
            own.move_to_end(part)
            if self.crashes:
                self._merge(self.served_at, part, now)
        while len(own) > MAX_SERVED_PARTS:
            own.popitem(last=False)

    def merge_served(self, part: PromptPartId, at: float) -> None:
        """Merge another host's report that a request with a part was served.

        :param at: local time in seconds
        """
        self._merge(self.served_at, part, at)
        self._merge(self.peer_served_at, part, at)

    def _merge(
        self, known: dict[PromptPartId, float], part: PromptPartId, at: float
    ) -> None:
        if any(part in record.parts for record in self.crashes.values()):
            known[part] = max(at, known.get(part, -math.inf))

    def known_crashes(self, hearing: float, now: float) -> list[Crash]:
        """Return the recent crashes on which all hosts have had time to report.

        :param hearing: seconds without news of a crash
        """
        return [
            Crash(record.at, record.parts)
            for record in self.crashes.values()
            if now - record.known_at >= hearing
        ]

    def reported_crashes(
        self, quarantined: Collection[PromptPartId], now: float
    ) -> list[tuple[RunnerKey, float, dict[PromptPartId, int]]]:
        """Return this host's recent crashes that no quarantine explains.

        :returns: runner instance, local time and parts; newest first
        """
        recent = [
            (
                runner,
                record.at,
                dict(list(record.own_parts.items())[:MAX_REPORTED_CRASH_PARTS]),
            )
            for runner, record in self.crashes.items()
            if record.own_parts
            and now - record.at <= CRASH_REPORT_SECONDS
            and not record.parts.keys() & set(quarantined)
        ]
        return sorted(recent, key=lambda crash: -crash[1])[:MAX_REPORTED_CRASHES]

    def reported_served_parts(
        self, quarantined: Collection[PromptPartId], now: float
    ) -> list[tuple[PromptPartId, float]]:
        """Return parts in unexplained crashes that this host has served.

        A part that is known to have been served after its last crash is cleared already
        and not reported again.

        :returns: part and local time, at most ``MAX_REPORTED_PARTS``
        """
        last_crash: dict[PromptPartId, float] = {}
        for record in self.crashes.values():
            if record.parts.keys() & set(quarantined):
                continue
            for part in record.parts:
                last_crash[part] = max(record.at, last_crash.get(part, -math.inf))
        reported = []
        for part, crashed_at in last_crash.items():
            own = self.own_served_at.get(part)
            peer = self.peer_served_at.get(part, -math.inf)
            if own is None or own < peer or peer > crashed_at:
                continue
            before, until = self.reported_served.get(part, (-math.inf, math.inf))
            is_news = own > before and before <= crashed_at
            if is_news:
                until = now + SERVED_REPORT_SECONDS
                self.reported_served[part] = (own, until)
            if is_news or now < until:
                reported.append((part, self.reported_served[part][0]))
        return reported[:MAX_REPORTED_PARTS]
