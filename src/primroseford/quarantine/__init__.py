"""Quarantine of prompt parts that crash runners."""

from __future__ import annotations
