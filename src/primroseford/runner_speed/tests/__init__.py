"""Tests of the runners' request limits."""

from __future__ import annotations
