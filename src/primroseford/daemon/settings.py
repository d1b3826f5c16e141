"""Settings of a host: a YAML file that is validated in full before the start."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import yaml
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from primroseford.configuration.tables import ADDRESS_PATTERN
from primroseford.configuration.tables import NAME_PATTERN
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

MAX_SETTINGS_BYTES = 1_000_000

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]


class Section(BaseModel):
    """Base of all sections: immutable; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LimitSettings(Section):
    """Fleet-wide rate limits.

    :param groups: number of groups into which organisations are hashed; the same on
        every host
    :param floor_hosts: lower bound of the number of hosts by which rate and burst are
        divided while a bucket has no owner; the same on every host
    """

    groups: Annotated[int, Field(ge=1, le=4096)] = 16
    floor_hosts: Annotated[int, Field(ge=1, le=4096)] = 9


class BatchSettings(Section):
    """Batch jobs.

    :param retention_days: days for which files, jobs and results are kept
    """

    retention_days: Annotated[float, Field(gt=0, le=365)] = 7.0


class StopSettings(Section):
    """Graceful shutdown.

    :param balancer_lag: seconds until the load balancer has noticed a failed readiness
        check
    :param drain_timeout: seconds after which requests still open are ended with an
        error
    """

    balancer_lag: Annotated[float, Field(ge=0, le=300)] = 5.0
    drain_timeout: Annotated[float, Field(gt=0, le=86_400)] = 600.0


class Settings(Section):
    """The settings of a host.

    :param host: name of the host, unique in the fleet
    :param failure_domain: failure domain of the host
    :param listen: address for callers
    :param operator_listen: address for health, metrics and status
    :param peer_listen: address for other hosts
    :param platform: URL of the platform's service
    :param peer_secret_file: file with the shared secret of all hosts
    :param peers: addresses of peers for a start during an outage of the platform
    :param data_folder: folder on a local disk for a cache of bulk data; validated but
        not used yet
    :param log_level: lowest level that is logged
    """

    host: Name
    failure_domain: Name
    listen: Address
    operator_listen: Address
    peer_listen: Address
    platform: Annotated[str, Field(pattern=r"^https?://")]
    peer_secret_file: Path
    peers: Annotated[tuple[Address, ...], Field(max_length=4096)] = ()
    data_folder: Path | None = None
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
    limits: LimitSettings = LimitSettings()
    batch: BatchSettings = BatchSettings()
    stop: StopSettings = StopSettings()


class SettingsError(PrimrosefordError):
    """Error that lists all problems of a settings file.

    :param problems: one line for each problem, with the field's path
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__(
            ResultCode.INVALID_VALUE,
            "the settings are not valid:\n" + "\n".join(f"  {p}" for p in problems),
            hint="see docs/settings.md for every field",
        )
        self.problems = problems


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :param path: the YAML file
    :raises SettingsError: with all problems
    """
    try:
        content = path.read_bytes()
        if len(content) > MAX_SETTINGS_BYTES:
            raise SettingsError([f"{path}: larger than {MAX_SETTINGS_BYTES} bytes"])
        document = yaml.safe_load(content)
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: not valid YAML: {error}"]) from error
    return check_settings(document)


def check_settings(document: object) -> Settings:
    """Validate a decoded settings document.

    :param document: the decoded YAML document
    :raises SettingsError: with all problems
    """
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        problems = [
            f"{'.'.join(str(part) for part in e['loc']) or '(top)'}: {e['msg']}"
            for e in error.errors()
        ]
        raise SettingsError(problems) from error
