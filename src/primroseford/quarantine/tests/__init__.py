"""Tests of the quarantine."""

from __future__ import annotations
