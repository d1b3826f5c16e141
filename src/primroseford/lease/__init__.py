"""Leases with fencing numbers in the platform's service."""

from __future__ import annotations
