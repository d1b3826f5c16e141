"""Tables of routes, pools, organisations and keys, and their distribution."""

from __future__ import annotations
