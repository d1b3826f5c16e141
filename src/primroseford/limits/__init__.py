"""Fleet-wide token buckets of organisations."""

from __future__ import annotations
