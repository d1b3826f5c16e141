"""``python -m primroseford.standins``: runs one stand-in until SIGTERM or SIGINT."""

from __future__ import annotations

import sys

from primroseford.standins.program import main

sys.exit(main())
