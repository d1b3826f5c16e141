"""Batch jobs: files, chunks, scheduling, results."""

from __future__ import annotations
