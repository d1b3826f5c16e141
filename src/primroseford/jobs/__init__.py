"""Batch jobs on the users' platform."""

from __future__ import annotations
