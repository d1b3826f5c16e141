"""``make demo``: the main job on loopback with stand-ins."""

from __future__ import annotations
