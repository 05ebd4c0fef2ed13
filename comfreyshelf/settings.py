"""Settings of a single process: an INI file that is validated when it is read."""

import configparser
import re
from pathlib import Path
from typing import TypeVar, get_type_hints

import msgspec

from comfreyshelf.errors import SettingsError

S = TypeVar("S", bound=msgspec.Struct)

_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings of an entry process, section ``[entry]``; addresses are ``ip:port``.

    For `shutdown_notice_s` a stopping entry still answers requests but fails its health check, so
    that the load balancer removes it first. It has to be longer than the interval of these checks.
    `accept_lost_history` lets an entry start from a log whose records expired without a snapshot.
    The `tls_` options name PEM files; set all three, or none for plain TCP.
    """

    name: str
    zone: str
    http_address: str
    pipe_address: str
    log_url: str
    renew_interval_s: float = 1.0
    claim_after_s: float = 3.0
    status_wait_s: float = 2.5
    shutdown_grace_s: float = 30.0
    shutdown_notice_s: float = 2.0
    http_threads: int = 96
    log_retention_s: float = 3600.0
    accept_lost_history: bool = False
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


class TargetSettings(msgspec.Struct, frozen=True):
    """Settings of a target process, section ``[target]``; `entries` are pipe addresses.

    `runner_urls` has `SERVICE=URL` for each back end over HTTP. Metrics are served at `/metrics` of
    `metrics_address` if that is set. The `worker_` options configure the stand-in worker. The
    `tls_` options name PEM files as for an entry.
    """

    name: str
    zone: str
    rack: str
    entries: tuple[str, ...]
    accelerators: int = 8
    cores: int = 64
    memory_gb: int = 256
    services: tuple[str, ...] = ()
    status_interval_s: float = 2.0
    usage_interval_s: float = 10.0
    shutdown_grace_s: float = 30.0
    metrics_address: str = ""
    runner_urls: tuple[str, ...] = ()
    worker_folder: str = ""
    worker_fault: str = ""
    worker_usage_lag_s: float = 5.0
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


class RunnerStandinSettings(msgspec.Struct, frozen=True):
    """Settings of the back end stand-in, section ``[runner]``."""

    address: str
    delay_s: float = 0.0


class StandinSettings(msgspec.Struct, frozen=True):
    """Settings of the log stand-in, section ``[standin]``."""

    address: str
    retention_s: float = 3600.0
    append_delay_s: float = 0.0


def load_settings(path: Path, section: str, settings_type: type[S]) -> S:
    """Read one section of an INI file; raises SettingsError if it is missing or invalid."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as exc:
        raise SettingsError(
            f"cannot read {path}: {exc}", "give a readable INI file in UTF-8"
        ) from exc
    if section not in parser:
        raise SettingsError(f"{path} has no section [{section}]", f"add [{section}]")
    return check_settings(dict(parser[section]), settings_type, section)


def check_settings(values: dict[str, str], settings_type: type[S], section: str) -> S:
    """Convert the strings of one section to `settings_type`; raises SettingsError."""
    hints = get_type_hints(settings_type)
    for option in values:
        if option not in hints:
            raise SettingsError(
                f"[{section}] has an unknown option '{option}'",
                f"use one of: {', '.join(hints)}",
            )
    raw: dict[str, object] = {}
    for option, value in values.items():
        is_list = hints[option] == tuple[str, ...]
        raw[option] = [part.strip() for part in value.split(",")] if is_list else value
    try:
        settings = msgspec.convert(raw, settings_type, strict=False)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"[{section}] {exc}", "correct this option") from exc
    _check_addresses(settings, section)
    _check_not_negative(settings, section)
    return settings


def _check_addresses(settings: msgspec.Struct, section: str) -> None:
    for option in ("http_address", "pipe_address", "address", "metrics_address"):
        value = getattr(settings, option, None)
        if option == "metrics_address" and not value:
            continue
        if value is not None and not _ADDRESS.match(value):
            raise SettingsError(
                f"[{section}] {option} = {value} is not an address",
                "give an IPv4 address and a port, for example 127.0.0.1:8080",
            )


def _check_not_negative(settings: msgspec.Struct, section: str) -> None:
    for option in settings.__struct_fields__:
        value = getattr(settings, option)
        if isinstance(value, int | float) and value < 0:
            raise SettingsError(f"[{section}] {option} is negative", "give a number of at least 0")
