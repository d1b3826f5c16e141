"""Gateway hosts, which serve callers' requests on the users' platform."""

from __future__ import annotations
