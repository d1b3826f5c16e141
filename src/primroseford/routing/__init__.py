"""Selection of the route, pool and runner of a request."""

from __future__ import annotations
