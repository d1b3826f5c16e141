"""Online requests: admission, queueing, relay and outcomes."""

from __future__ import annotations
