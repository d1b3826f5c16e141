"""Entry hosts: requests of callers on the users' platform."""

from __future__ import annotations
