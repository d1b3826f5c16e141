"""Benchmarks, one module for each measured part."""

from __future__ import annotations
