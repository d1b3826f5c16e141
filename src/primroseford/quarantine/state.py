"""Quarantined prompt parts as one host knows them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.quarantine.evidence import Evidence
from primroseford.quarantine.verdict import REQUEST_PREFIX
from primroseford.quarantine.verdict import find_deadly_parts

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseford.clock import Clock
    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import PromptPartId

TRIAL_SECONDS = 30.0
"""Time after which one request with a quarantined part is tried again."""
MAX_TRIAL_SECONDS = 600.0
"""Longest time between two trials; it doubles after each."""
TRIAL_REPEAT_SECONDS = 1.0
"""Time after which a trial that has reached no runner is repeated."""
MIN_HEARING_SECONDS = 0.3
"""Shortest time without news of a crash before it is judged."""
HEARING_INTERVALS = 2.0
"""The same as a multiple of the heartbeat interval: one for the reports of the crash,
one for the reports of served parts."""
RECORD_REPORT_SECONDS = 3.0
"""Time for which every host reports a changed record. Afterwards only a few hosts
report it."""
MAX_RECORDS = 256

log = structlog.get_logger()

ResponsibilityCheck = Callable[["PromptPartId"], bool]


@dataclass(frozen=True)
class QuarantineRecord:
    """Quarantine of one part. Of two records the one that is newer counts.

    :param generation: number of changes; the higher one is newer
    :param trial_at: local time from which one request is tried again, in seconds
    :param trial_seconds: time between the last two trials
    :param lifted: whether the quarantine has ended
    """

    part: PromptPartId
    generation: int
    trial_at: float
    trial_seconds: float
    lifted: bool = False

    def is_newer_than(self, other: QuarantineRecord | None) -> bool:
        """Return whether this record replaces another one."""
        if other is None:
            return True
        return (self.generation, self.lifted) > (other.generation, other.lifted)


def describe_subject(subject: PromptPartId) -> str:
    """Return what a quarantine concerns, as callers are told."""
    if subject.startswith(REQUEST_PREFIX):
        return "this request"
    return f"prompt part {subject!r}"


class Quarantine:
    """Evidence on crashes, and the parts that are quarantined because of it.

    :param clock: local time
    :ivar records: quarantines by part, lifted ones included
    :ivar changed_at: local time of the last change of each record
    :ivar replaced: records that this host's last trials replaced
    :ivar is_responsible: whether this host is the one that may try a part now
    :ivar is_keeper: whether this host is the one that stores the record of a part
    :ivar is_reporter: whether this host is one of those that keep reporting a part
    :ivar heartbeat_interval: returns the interval of the hosts' heartbeats in seconds
    :ivar announce: called when the other hosts should learn of news at once
    :ivar on_quarantine: called with each part whose quarantine begins
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.evidence = Evidence()
        self.records: dict[PromptPartId, QuarantineRecord] = {}
        self.changed_at: dict[PromptPartId, float] = {}
        self.replaced: dict[PromptPartId, QuarantineRecord] = {}
        self.is_responsible: ResponsibilityCheck = lambda _: True
        self.is_keeper: ResponsibilityCheck = lambda _: True
        self.is_reporter: ResponsibilityCheck = lambda _: True
        self.heartbeat_interval: Callable[[], float] = lambda: 0.0
        self.announce: Callable[[], None] = lambda: None
        self.on_quarantine: Callable[[PromptPartId], None] = lambda _: None

    @property
    def has_evidence(self) -> bool:
        """Whether crashes or quarantines are known."""
        return bool(self.evidence.crashes or self.records)

    def active(self) -> set[PromptPartId]:
        """Return the quarantined parts."""
        return {part for part, record in self.records.items() if not record.lifted}

    def active_record(self, parts: Sequence[PromptPartId]) -> QuarantineRecord | None:
        """Return the first quarantine that concerns a request, if there is one."""
        for part in parts if self.records else ():
            record = self.records.get(part)
            if record is not None and not record.lifted:
                return record
        return None

    def blocking_record(self, parts: Sequence[PromptPartId]) -> QuarantineRecord | None:
        """Return the quarantine that a request must be refused for, if there is one.

        A request that may be tried is not refused.
        """
        if not self.records:
            return None
        now = self.clock()
        due = []
        for part in parts:
            record = self.records.get(part)
            if record is None or record.lifted:
                continue
            if now < record.trial_at:
                return record
            due.append(record)
        # The turns of several parts may never fall to one host at the same time.
        first = min(due, key=lambda record: record.part, default=None)
        if first is None or self.is_responsible(first.part):
            return None
        return first

    def check(self, parts: Sequence[PromptPartId]) -> None:
        """Refuse a request with a quarantined part, unless it may be tried.

        :raises PrimrosefordError: PROMPT_QUARANTINED
        """
        record = self.blocking_record(parts)
        if record is not None:
            raise self.refusal(record)

    def refusal(self, record: QuarantineRecord) -> PrimrosefordError:
        """Return the error of a request that is refused because of a quarantine."""
        return PrimrosefordError(
            ResultCode.PROMPT_QUARANTINED,
            f"{describe_subject(record.part)} has crashed several runners; "
            "change it or come back later",
            retry_after=max(1.0, record.trial_at - self.clock()),
        )

    def begin_trial(self, parts: Sequence[PromptPartId]) -> None:
        """Count a request that is about to be sent as the trial of its parts."""
        now = self.clock()
        for part in parts:
            record = self.records.get(part)
            if record is None or record.lifted:
                continue
            seconds = min(2 * record.trial_seconds, MAX_TRIAL_SECONDS)
            log.warning("quarantined prompt part is tried again", part=part)
            self.replaced[part] = record
            self._change(
                replace(
                    record,
                    generation=record.generation + 1,
                    trial_at=now + seconds,
                    trial_seconds=seconds,
                )
            )

    def repeat_trial(self, parts: Sequence[PromptPartId]) -> None:
        """Let a trial that has reached no runner be repeated soon."""
        now = self.clock()
        for part in parts:
            before = self.replaced.pop(part, None)
            record = self.records.get(part)
            if before is None or record is None or record.lifted:
                continue
            if record.generation != before.generation + 1:
                continue
            log.info("trial of quarantined prompt part reached no runner", part=part)
            self._change(
                replace(
                    record,
                    generation=record.generation + 1,
                    trial_at=now + TRIAL_REPEAT_SECONDS,
                    trial_seconds=before.trial_seconds,
                )
            )

    def record_served(self, parts: Sequence[PromptPartId]) -> None:
        """Record that a runner got past the start of its answer to a request."""
        self.evidence.add_served(parts, self.clock())
        for part in parts if self.records else ():
            if part in self.records and not self.records[part].lifted:
                self.lift(part, "a request was served")

    def record_crash(
        self, runner: RunnerKey, at: float, parts: Mapping[PromptPartId, int]
    ) -> None:
        """Record a crash that this host saw.

        :param at: local time of the crash
        :param parts: shared parts of the requests that the runner was beginning to
            answer, each with its position in the prompt
        """
        if self.evidence.add_crash(runner, at, parts, self.clock(), own=True):
            log.warning(
                "runner crashed while it began to answer requests",
                runner=runner.name,
                prompt=list(parts),
            )
            self.announce()

    def lift(self, part: PromptPartId, why: str) -> None:
        """End a quarantine."""
        record = self.records[part]
        log.warning("quarantine of prompt part ended", part=part, why=why)
        self._change(replace(record, generation=record.generation + 1, lifted=True))

    def decide(self) -> None:
        """Quarantine the parts that the evidence shows to be deadly."""
        if not self.evidence.crashes:
            return
        now = self.clock()
        self.evidence.expire(now)
        hearing = max(
            MIN_HEARING_SECONDS, HEARING_INTERVALS * self.heartbeat_interval()
        )
        crashes = self.evidence.known_crashes(hearing, now)
        served = self.evidence.served_at
        for part in find_deadly_parts(crashes, served, self.active()):
            previous = self.records.get(part)
            generation = previous.generation + 1 if previous else 1
            log.error(
                "prompt part quarantined",
                part=part,
                runners=[
                    runner.name
                    for runner, crash in self.evidence.crashes.items()
                    if part in crash.parts
                ],
                served_seconds_ago=round(now - served[part], 1)
                if part in served
                else None,
            )
            self._change(
                QuarantineRecord(part, generation, now + TRIAL_SECONDS, TRIAL_SECONDS)
            )

    def apply(self, record: QuarantineRecord) -> None:
        """Apply a record of another host or of the store, if it is newer."""
        known = self.records.get(record.part)
        if not record.is_newer_than(known):
            return
        log.info(
            "quarantine learnt",
            part=record.part,
            generation=record.generation,
            lifted=record.lifted,
        )
        self._change(record, announce=False)

    def _change(self, record: QuarantineRecord, announce: bool = True) -> None:
        known = self.records.get(record.part)
        was_active = known is not None and not known.lifted
        self.records[record.part] = record
        self.changed_at[record.part] = now = self.clock()
        if record.lifted:
            # Crashes before the end of a quarantine do not count for a new one.
            self.evidence.merge_served(record.part, now)
        elif not was_active:
            self.on_quarantine(record.part)
        while len(self.records) > MAX_RECORDS:
            oldest = min(self.records, key=self.changed_at.__getitem__)
            del self.records[oldest], self.changed_at[oldest]
            self.replaced.pop(oldest, None)
        if announce:
            self.announce()

    def reported_records(self) -> list[QuarantineRecord]:
        """Return the records that this host's heartbeats carry."""
        now = self.clock()
        return [
            record
            for part, record in self.records.items()
            if now - self.changed_at[part] < RECORD_REPORT_SECONDS
            or (not record.lifted and self.is_reporter(part))
        ]
