"""Online requests: admission, queueing, forwarding and outcomes."""

from __future__ import annotations
