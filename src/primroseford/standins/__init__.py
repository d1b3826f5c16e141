"""Small stand-ins for the systems outside: platform service, engine, service."""

from __future__ import annotations
