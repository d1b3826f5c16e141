"""Record of one run: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines of ``record.txt``, each with the seconds since the start.

    :param path: file that is written while the case runs
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, event: str, **fields: object) -> None:
        """Write one line."""
        seconds = time.monotonic() - self.started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{seconds:8.3f} {event} {text}".rstrip() + "\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
