"""Checks of the demo and their report."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True)
class Check:
    """One thing that must hold.

    :param text: what must hold
    :param held: whether it did
    :param detail: the figures behind it
    """

    text: str
    held: bool
    detail: str


@dataclass
class Checks:
    """All checks of a run."""

    entries: list[Check] = field(default_factory=list)

    def add(self, text: str, held: bool, detail: str) -> None:
        """Add one check and print it."""
        check = Check(text, held, detail)
        self.entries.append(check)
        print(f"  [{'ok' if held else 'FAILED'}] {text}: {detail}", flush=True)

    def all_held(self) -> bool:
        """Return whether there are checks and every one held."""
        return bool(self.entries) and all(check.held for check in self.entries)
