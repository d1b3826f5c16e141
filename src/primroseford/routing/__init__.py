"""Choice of route, pool and runner."""

from __future__ import annotations
