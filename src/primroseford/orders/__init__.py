"""Orders to model engines."""

from __future__ import annotations
