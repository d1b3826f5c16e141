"""Membership of the fleet and rendezvous hashing over its hosts."""

from __future__ import annotations
