"""Tests of the pace of runners that have started or recovered."""

from __future__ import annotations
