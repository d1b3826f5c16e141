"""The host process: settings, wiring, health and shutdown."""

from __future__ import annotations
