"""Commands, one class a file."""

from __future__ import annotations
