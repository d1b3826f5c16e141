"""Plans and writes table changes to the platform and waits until they take effect."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseford.clock import Clock
    from primroseford.configuration.check import CheckResult
    from primroseford.configuration.relay import HostVersion
    from primroseford.ids import HostId
    from primroseford.ids import Version
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

WRITE_ORDER = ("organisations", "pools", "routes")
"""Referenced objects are written before the routes that refer to them and deleted
after them."""

WAIT_POLL_SECONDS = 0.2


class Action(Enum):
    """Kind of write of a step."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclass(frozen=True)
class FieldChange:
    """One field that differs; the value of an absent field is ``None``."""

    path: str
    old: Any
    new: Any


@dataclass(frozen=True)
class Step:
    """One write of a plan.

    :param version: version that was read; the write is conditional on it
    :param changes: fields that the write changes
    """

    action: Action
    kind: str
    name: str
    spec: Mapping[str, Any] | None
    version: Version | None
    changes: tuple[FieldChange, ...]
    labels: Mapping[str, str] | None = None


class StepResult(Enum):
    """Result of a write."""

    DONE = "done"
    LOST_RACE = "lost_race"
    UNKNOWN = "unknown"
    NOT_TRIED = "not_tried"


@dataclass(frozen=True)
class StepOutcome:
    """Result of one step.

    :param version: version of the object after the write
    :param theirs: after a lost race, the fields that the other writer changed
    """

    step: Step
    result: StepResult
    version: Version | None = None
    theirs: tuple[FieldChange, ...] = ()


def diff_specs(old: Any, new: Any, path: str = "") -> tuple[FieldChange, ...]:
    """Return the fields in which two specs differ.

    :param old: spec before
    :param new: spec after
    :param path: path of the two values in the object
    """
    if isinstance(old, dict) and isinstance(new, dict):
        found: list[FieldChange] = []
        for key in sorted(old.keys() | new.keys()):
            inner = f"{path}.{key}" if path else key
            found += diff_specs(old.get(key), new.get(key), inner)
        return tuple(found)
    return () if old == new else (FieldChange(path, old, new),)


async def read_platform(
    client: PlatformClient,
) -> dict[tuple[str, str], PlatformObject]:
    """Return the tables on the platform by kind and name."""
    lists = [await client.list(kind) for kind in WRITE_ORDER]
    return {(i.kind, i.name): i for found in lists for i in found.items}


def plan_changes(
    wanted: CheckResult,
    current: Mapping[tuple[str, str], PlatformObject],
    prune: bool = False,
) -> list[Step]:
    """Return the ordered writes that change the platform's tables to the wanted ones.

    :param wanted: checked tables without problems
    :param current: objects on the platform
    :param prune: delete objects that the tables do not contain
    """
    writes = []
    for (kind, name), spec in wanted.specs.items():
        found = current.get((kind, name))
        changes = diff_specs(found.spec if found else None, spec)
        if found is None:
            writes.append(Step(Action.CREATE, kind, name, spec, None, changes))
        elif changes:
            version = found.version
            step = Step(Action.UPDATE, kind, name, spec, version, changes, found.labels)
            writes.append(step)
    deletions = [
        Step(Action.DELETE, kind, name, None, item.version, diff_specs(item.spec, None))
        for (kind, name), item in current.items()
        if prune and (kind, name) not in wanted.specs
    ]
    writes.sort(key=lambda s: (WRITE_ORDER.index(s.kind), s.name))
    deletions.sort(key=lambda s: (-WRITE_ORDER.index(s.kind), s.name))
    return writes + deletions


async def apply_plan(
    client: PlatformClient,
    steps: list[Step],
    current: Mapping[tuple[str, str], PlatformObject],
) -> list[StepOutcome]:
    """Execute the steps in order and stop after the first failure.

    Later steps may refer to objects that earlier steps write, so they are skipped.

    :param steps: the plan
    :param current: objects that the plan was computed from
    """
    outcomes: list[StepOutcome] = []
    for number, step in enumerate(steps):
        read = current.get((step.kind, step.name))
        outcome = await _write(client, step, read)
        outcomes.append(outcome)
        if outcome.result is not StepResult.DONE:
            rest = steps[number + 1 :]
            return outcomes + [StepOutcome(s, StepResult.NOT_TRIED) for s in rest]
    return outcomes


async def _write(
    client: PlatformClient, step: Step, read: PlatformObject | None
) -> StepOutcome:
    try:
        return StepOutcome(step, StepResult.DONE, await _send(client, step))
    except PrimrosefordError as error:
        if error.code is ResultCode.PLATFORM_UNAVAILABLE:
            return await _resolve_unknown_outcome(client, step, read)
        if error.code is ResultCode.NOT_FOUND and step.action is Action.DELETE:
            return StepOutcome(step, StepResult.DONE)
        raced = (
            ResultCode.VERSION_CONFLICT,
            ResultCode.ALREADY_EXISTS,
            ResultCode.NOT_FOUND,
        )
        if error.code not in raced:
            raise
        return await _lost_race(client, step, read)


async def _send(client: PlatformClient, step: Step) -> Version | None:
    if step.action is Action.CREATE:
        created = await client.create(step.kind, step.name, dict(step.spec or {}))
        return created.version
    assert step.version is not None
    if step.action is Action.DELETE:
        await client.delete(step.kind, step.name, step.version)
        return None
    labels = dict(step.labels or {})
    updated = await client.update(
        step.kind, step.name, dict(step.spec or {}), step.version, labels
    )
    return updated.version


async def _resolve_unknown_outcome(
    client: PlatformClient, step: Step, read: PlatformObject | None
) -> StepOutcome:
    # The client has already read the object back to look for the operation id. The
    # outcome is still unknown for a delete, whose object has no operation id, or
    # because the read failed as well.
    try:
        found = await _get(client, step)
    except PrimrosefordError:
        return StepOutcome(step, StepResult.UNKNOWN)
    if step.action is Action.DELETE:
        if found is None:
            return StepOutcome(step, StepResult.DONE)
    elif found is not None and found.spec == step.spec:
        return StepOutcome(step, StepResult.DONE, found.version)
    if (found.version if found else None) == step.version:
        return await _retry(client, step, read)
    return _conflict_outcome(step, read, found)


async def _retry(
    client: PlatformClient, step: Step, read: PlatformObject | None
) -> StepOutcome:
    try:
        return StepOutcome(step, StepResult.DONE, await _send(client, step))
    except PrimrosefordError as error:
        if error.code is ResultCode.PLATFORM_UNAVAILABLE:
            return StepOutcome(step, StepResult.UNKNOWN)
        # The first write may have taken effect after the object was read back.
        found = await _get(client, step)
        wanted = None if step.spec is None else dict(step.spec)
        if (found.spec if found else None) == wanted:
            done = found.version if found else None
            return StepOutcome(step, StepResult.DONE, done)
        return _conflict_outcome(step, read, found)


async def _lost_race(
    client: PlatformClient, step: Step, read: PlatformObject | None
) -> StepOutcome:
    found = await _get(client, step)
    if (found.version if found else None) == step.version:
        # The version has not changed, so no other writer was faster: the first attempt
        # was lost before it took effect.
        return await _retry(client, step, read)
    if found is not None and found.spec == step.spec:
        # An HTTP client may have resent the write after the connection broke, so that
        # the second attempt conflicts with the first. The object has the planned spec.
        return StepOutcome(step, StepResult.DONE, found.version)
    return _conflict_outcome(step, read, found)


def _conflict_outcome(
    step: Step, read: PlatformObject | None, found: PlatformObject | None
) -> StepOutcome:
    theirs = diff_specs(read.spec if read else None, found.spec if found else None)
    version = found.version if found else None
    return StepOutcome(step, StepResult.LOST_RACE, version, theirs)


async def _get(client: PlatformClient, step: Step) -> PlatformObject | None:
    try:
        return await client.get(step.kind, step.name)
    except PrimrosefordError as error:
        if error.code is ResultCode.NOT_FOUND:
            return None
        raise


async def wait_until_in_force(
    version: Version,
    versions: Callable[[], Awaitable[Mapping[HostId, HostVersion | None]]],
    clock: Clock,
    pause: Callable[[float], Awaitable[None]],
    timeout: float,
) -> list[HostId]:
    """Wait until a version is in force on all hosts.

    :param version: version of the last write
    :param versions: returns the version in force on each host
    :param timeout: longest wait in seconds
    :returns: hosts that have not confirmed before the timeout; empty on success
    :raises PrimrosefordError: if the last attempt to read the versions failed
    """
    end = clock() + timeout
    while True:
        try:
            found = await versions()
        except PrimrosefordError:
            # The queried host may still be starting.
            if clock() >= end:
                raise
        else:
            pending = [h for h, v in found.items() if v is None or v.version < version]
            if not pending or clock() >= end:
                return sorted(pending)
        await pause(WAIT_POLL_SECONDS)
