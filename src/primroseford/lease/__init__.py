"""Leases with fencing numbers, stored in the platform's service."""

from __future__ import annotations
