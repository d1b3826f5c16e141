"""``python -m primroseford.standins``: runs one stand-in until a signal."""

from __future__ import annotations

import sys

from primroseford.standins.program import main

sys.exit(main())
