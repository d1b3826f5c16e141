"""``check`` of the platform's configuration."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import pytest
import yaml
from cleo.testers.application_tester import ApplicationTester
from hypothesis import given
from hypothesis import strategies as st

from primroseford.cli.application import create_application
from primroseford.cli.exits import Exit
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration


def run(arguments):
    """Run one command.

    :returns: exit code, output and output of errors
    """
    tester = ApplicationTester(create_application())
    code = tester.execute(arguments, supports_utf8=False)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


@pytest.fixture
def files(tmp_path):
    """Return a function that writes a document to a file and returns its path."""

    def write(name, document):
        path = tmp_path / name
        if name.endswith(".json"):
            path.write_text(json.dumps(document, indent="\t"))
        else:
            path.write_text(yaml.safe_dump(document))
        return path

    return write


@pytest.mark.parametrize("name", ["c.json", "c.yaml"])
@pytest.mark.parametrize(
    "changes, code, output",
    [
        ({}, Exit.OK, "no problems found\n"),
        ({"tenants": [{"name": "a"}]}, Exit.OK, "Warning [1003] "),
        ({"version": -1}, Exit.INVALID, "[1003] "),
    ],
)
def test_exit_codes(files, name, changes, code, output):
    """Guards against warnings that stop a deployment and errors that don't."""
    document = {"metadata": {"name": "main"}, "spec": configuration(**changes)}
    actual_code, actual_output, error = run(f"check {files(name, document)}")
    assert (actual_code, error) == (code, "")
    assert actual_output.startswith(output)


def test_difference_to_the_version_in_force(files):
    """Guards against a difference that fails the check, is missing or shows keys."""
    old = files("old.json", {"metadata": {}, "spec": configuration()})
    new = files("new.yaml", configuration(version=2, keys=("another-key",)))
    code, output, _ = run(f"check {new} --against {old}")
    assert code == Exit.OK
    assert output == (
        "no problems found\n"
        "changed configuration\n"
        "    version: 1 -> 2\n"
        "changed organisation caroni\n"
        '    api_keys: ["key..."] -> ["an..."]\n'
    )
    code, output, _ = run(f"check {new} --against {old} --format json")
    body = json.loads(output)
    assert (code, body["problems"]) == (Exit.OK, [])
    assert [d["part"] for d in body["differences"]] == ["configuration", "organisation"]
    assert KEY not in output


def test_equal_files_are_no_newer_version(files):
    """Guards against sending a configuration that is not newer."""
    path = files("c.json", configuration())
    code, output, _ = run(f"check {path} --against {path}")
    assert code == Exit.INVALID
    assert "version: 1 is not higher than 1" in output
    assert output.endswith("no differences\n")


@pytest.mark.parametrize(
    "paths, against, code, text",
    [
        ("new.json", "absent.json", Exit.INVALID, "absent.json"),
        ("new.json", "table.yaml", Exit.INVALID, "configuration in force"),
        ("table.yaml", "new.json", Exit.USAGE, "--against needs exactly one"),
        ("new.json {0}/new.json", "new.json", Exit.USAGE, "--against needs exactly"),
        ("absent.json", "new.json", Exit.INVALID, "absent.json"),
    ],
)
def test_unusable_files(files, paths, against, code, text):
    """Guards against a comparison with nothing that passes."""
    folder = files("new.json", configuration()).parent
    files("table.yaml", {"kind": "Pool", "name": "p"})
    arguments = f"check {folder}/{paths} --against {folder}/{against}"
    actual_code, output, error = run(arguments.format(folder))
    assert actual_code == code
    assert text in output + error


def test_configuration_is_no_table_to_apply(files):
    """Guards against ``apply`` passing over a file that it can't write."""
    path = files("c.json", configuration())
    code, _, error = run(f"apply {path} --platform http://127.0.0.1:1")
    assert code == Exit.INVALID and "nothing was written" in error


VALID = json.dumps({"spec": configuration()})
SPECIAL = [
    b'{"spec": {"routes": [{"name": "\\ud800<b>\\\\<"}]}}',
    b'{"spec": ' + b"[" * 5_000,
    b'{"spec": ' + b"[" * 5_000 + b"]" * 5_000 + b"}",
    b"spec: &a {version: *a}",
    b'spec: !!int ""',
    b'spec: !!timestamp "x"',
    b"spec: {version: 0x" + b"f" * 9000 + b"}",
    b'{"spec": {"version": ' + b"9" * 9000 + b"}}",
    b"spec: {? [a] : 1}",
    b"spec: {1: 2, a: 3, 2020-01-01: !!set {b}, .nan: .inf}",
    b"kind: \xff",
    b"\x00",
    b"",
    b"spec:\n  tenants: [key-of-caroni\n",
]


def check_content(content):
    """Check a file with the content, in both places of a comparison."""
    with tempfile.TemporaryDirectory() as folder:
        valid, other = Path(folder, "valid.json"), Path(folder, "other.yaml")
        valid.write_text(VALID)
        other.write_bytes(content)
        for arguments in (
            f"{other}",
            f"{other} --against {valid}",
            f"{valid} --against {other} --format json",
        ):
            code, output, error = run(f"check {arguments}")
            assert code in (Exit.OK, Exit.INVALID, Exit.USAGE)
            assert "Traceback" not in output + error and KEY not in output + error
            if arguments.endswith("--format json"):
                json.loads(output)


@pytest.mark.parametrize("content", SPECIAL)
def test_special_files_end_with_a_result(content):
    """Guards against tracebacks for input that parsers treat specially."""
    check_content(content)


@given(
    st.binary(max_size=60)
    | st.text(max_size=60).map(lambda t: t.encode(errors="replace"))
    | st.tuples(st.integers(0, len(VALID)), st.binary(max_size=3)).map(
        lambda cut: VALID.encode()[: cut[0]] + cut[1] + VALID.encode()[cut[0] :]
    )
)
def test_fuzz_check_of_files(content):
    """Guards against tracebacks for damaged files."""
    check_content(content.replace(KEY.encode(), b"k"))
