"""Runs the demo; exits 0 only if every check passed."""

from __future__ import annotations

import asyncio
import sys

from primroseford.demo.session import run_demo

sys.exit(asyncio.run(run_demo()))
