"""Adapter to the users' platform: its object service, settings, headers and formats."""

from __future__ import annotations
