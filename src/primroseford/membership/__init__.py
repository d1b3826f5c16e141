"""Live hosts and the placement of duties on them."""

from __future__ import annotations
