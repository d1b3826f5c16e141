"""Randomized runs of entry hosts as processes, with faults from outside them."""

from __future__ import annotations
