"""How fast the runners of a pool work, from their responses and their own reports."""

from __future__ import annotations
