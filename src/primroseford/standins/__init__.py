"""Stand-ins for external systems: platform service, engine and plain service."""

from __future__ import annotations
