"""Messages between hosts."""

from __future__ import annotations
