#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python programs, which only need to compile. They
# use the libraries that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:review" PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import importlib
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
for name in ("deployment", "hosts", "record", "runner", "store"):
    importlib.import_module(f"common.{name}")
print("stand-ins are ready")
END
