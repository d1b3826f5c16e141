"""Benchmarks, one module for each measured component."""

from __future__ import annotations
