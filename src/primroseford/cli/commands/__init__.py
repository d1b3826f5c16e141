"""Commands, one class per file."""

from __future__ import annotations
