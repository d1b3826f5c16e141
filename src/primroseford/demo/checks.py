"""Results of the demo's checks."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True)
class Check:
    """Result of one check.

    :param title: the expected behaviour
    :param passed: whether it was observed
    :param details: the observed figures
    """

    title: str
    passed: bool
    details: str


@dataclass
class Checks:
    """Results of all checks of a run."""

    entries: list[Check] = field(default_factory=list)

    def add(self, title: str, passed: bool, details: str) -> None:
        """Record and print the result of one check."""
        check = Check(title, passed, details)
        self.entries.append(check)
        print(f"  [{'ok' if passed else 'FAILED'}] {title}: {details}", flush=True)

    def all_passed(self) -> bool:
        """Return whether there is at least one check and all passed."""
        return bool(self.entries) and all(check.passed for check in self.entries)
