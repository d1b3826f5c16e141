"""The command-line tool."""

from __future__ import annotations
