from __future__ import annotations

import pytest

from primroseford.daemon.settings import SettingsError
from primroseford.daemon.settings import check_settings
from primroseford.daemon.settings import load_settings

VALID_SETTINGS = {
    "host": "host-1",
    "failure_domain": "domain-a",
    "listen": "127.0.0.1:8080",
    "operator_listen": "127.0.0.1:8081",
    "peer_listen": "127.0.0.1:8082",
    "platform": "http://127.0.0.1:9000",
    "peer_secret_file": "/run/peer-secret",
}


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"listen": "localhost:80"}, "listen"),
        ({"surprise": 1}, "surprise"),
        ({"limits": {"groups": -1}}, "limits.groups"),
        ({"stop": {"balancer_lag": -0.5}}, "stop.balancer_lag"),
        ({"platform": "ftp://example"}, "platform"),
        ({"host": "Host One"}, "host"),
        ({"log_level": "loud"}, "log_level"),
    ],
)
def test_invalid_field_is_reported_with_its_path(change, path):
    """Guards against an invalid setting that is accepted or reported without path."""
    with pytest.raises(SettingsError) as error_info:
        check_settings(VALID_SETTINGS | change)
    assert [p.split(":")[0] for p in error_info.value.problems] == [path]


def test_all_problems_are_reported_at_once():
    """Guards against a validation that stops at the first problem."""
    with pytest.raises(SettingsError) as error_info:
        check_settings({"host": "host-1", "listen": "x", "surprise": 1})
    assert len(error_info.value.problems) == 7


@pytest.mark.parametrize(
    "content", [b"a: [", b"\xff\xfe", b"- 1", b"", b"x" * 1_000_001]
)
def test_malformed_file_is_rejected(tmp_path, content):
    """Guards against an unhandled exception on a file that contains no settings."""
    path = tmp_path / "settings.yaml"
    path.write_bytes(content)
    with pytest.raises(SettingsError):
        load_settings(path)


def test_missing_file_is_reported(tmp_path):
    """Guards against a traceback instead of an error message."""
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(tmp_path / "absent.yaml")
