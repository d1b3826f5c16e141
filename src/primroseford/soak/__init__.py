"""Randomised fault-injection runs of entry hosts as separate processes."""

from __future__ import annotations
