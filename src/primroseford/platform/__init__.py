"""Client of the platform's object API."""

from __future__ import annotations
