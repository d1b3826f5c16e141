"""The host process: settings, assembly, operators' interface and shutdown."""

from __future__ import annotations
