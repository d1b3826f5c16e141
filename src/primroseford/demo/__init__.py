"""``make demo``: online and batch serving on loopback, with stand-ins."""

from __future__ import annotations
