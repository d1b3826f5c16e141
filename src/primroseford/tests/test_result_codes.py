from __future__ import annotations

import re
from pathlib import Path

from primroseford.errors import HTTP_STATUS
from primroseford.errors import ResultCode

PAGE = Path(__file__).parents[3] / "docs" / "result-codes.md"
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\d+) \| [^|]+ \| [^|]+ \| [^|]+ \|$", re.M)


def test_page_documents_every_code():
    """Guards against a result code or HTTP status that the page does not document."""
    documented = {
        (int(number), name, int(status))
        for number, name, status in ROW.findall(PAGE.read_text())
    }
    expected = {(int(c), c.name, HTTP_STATUS.get(c, 500)) for c in ResultCode}
    assert documented == expected
