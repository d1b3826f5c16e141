"""Text and JSON output of plans and objects."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from primroseford.configuration.apply import StepResult

if TYPE_CHECKING:
    from primroseford.configuration.apply import FieldChange
    from primroseford.configuration.apply import Step
    from primroseford.configuration.apply import StepOutcome
    from primroseford.platform.configuration_difference import Difference
    from primroseford.platform.objects import PlatformObject

RESULT_TEXTS = {
    StepResult.DONE: "done",
    StepResult.LOST_RACE: "not written, another operator's edit came first:",
    StepResult.UNKNOWN: "outcome not known, the platform does not answer",
    StepResult.NOT_TRIED: "not tried after an earlier failure",
}


def change_lines(changes: tuple[FieldChange, ...]) -> list[str]:
    """Return one line for each changed field."""
    return [
        f"    {c.path or '(object)'}: {json.dumps(c.old)} -> {json.dumps(c.new)}"
        for c in changes
    ]


def step_lines(step: Step) -> list[str]:
    """Return the text output of a planned write."""
    title = f"{step.action.value} {step.kind}/{step.name}"
    return [title, *change_lines(step.changes)]


def step_body(step: Step) -> dict[str, Any]:
    """Return the JSON output of a planned write."""
    return {
        "action": step.action.value,
        "kind": step.kind,
        "name": step.name,
        "changes": _change_bodies(step.changes),
    }


def difference_lines(difference: Difference) -> list[str]:
    """Return the text output of a difference between two configurations."""
    title = f"{difference.kind.value} {difference.part} {difference.name}".rstrip()
    return [title, *change_lines(difference.changes)]


def difference_body(difference: Difference) -> dict[str, Any]:
    """Return the JSON output of a difference between two configurations."""
    return {
        "kind": difference.kind.value,
        "part": difference.part,
        "name": difference.name,
        "changes": _change_bodies(difference.changes),
    }


def outcome_lines(outcome: StepOutcome) -> list[str]:
    """Return the text output of an executed write."""
    step = outcome.step
    text = RESULT_TEXTS[outcome.result]
    title = f"{step.action.value} {step.kind}/{step.name}: {text}"
    return [title, *change_lines(outcome.theirs)]


def outcome_body(outcome: StepOutcome) -> dict[str, Any]:
    """Return the JSON output of an executed write."""
    return step_body(outcome.step) | {
        "result": outcome.result.value,
        "version": outcome.version,
        "theirs": _change_bodies(outcome.theirs),
    }


def object_body(item: PlatformObject) -> dict[str, Any]:
    """Return the JSON output of an object."""
    return {"name": item.name, "version": item.version, "spec": item.spec}


def _change_bodies(changes: tuple[FieldChange, ...]) -> list[dict[str, Any]]:
    return [{"path": c.path, "old": c.old, "new": c.new} for c in changes]
