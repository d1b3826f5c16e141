"""Callers' keys: creation, hashing and checks."""

from __future__ import annotations
