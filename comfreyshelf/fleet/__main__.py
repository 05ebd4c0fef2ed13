"""Runs a process of the fleet: ``python -m comfreyshelf.fleet entry|target``."""

import logging
import os
import signal
import sys
import threading
from pathlib import Path

from comfreyshelf.errors import SettingsError, UserError
from comfreyshelf.fleet.entry import EntryProcess
from comfreyshelf.fleet.policies import make_policies
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.target_process import TargetProcess
from comfreyshelf.logs import configure_daemon, log_event
from comfreyshelf.platform.runner import HttpRunner
from comfreyshelf.platform.settings import SCHEDULING_VARIABLE, SETTINGS_VARIABLE, read_settings
from comfreyshelf.platform.store import LogStore
from comfreyshelf.platform.wire import PlatformCodec

# Services that are still open this long after `prepare_stop` are not waited for.
SHUTDOWN_TIMEOUT_S = 1.0


def exit_now(role: str) -> None:
    """End the process although services have not closed yet."""
    log_event("process stopped before all services had closed", role=role)
    logging.shutdown()
    os._exit(0)


def load_settings(path: Path) -> FleetSettings:
    """Read the settings, and the scheduling settings that the environment names.

    Raises SettingsError also for invalid settings of a scheduling feature, which would otherwise be
    found only when an owner takes over.
    """
    scheduling = os.environ.get(SCHEDULING_VARIABLE)
    settings = read_settings(path, Path(scheduling) if scheduling else None)
    make_policies(settings.scheduling)
    return settings


def reload(process: EntryProcess | TargetProcess, path: Path) -> None:
    """Reload the settings; the old ones stay in force if a file cannot be read."""
    try:
        process.reload(load_settings(path))
    except SettingsError as exc:
        log_event("settings not read again", why=str(exc))


def main(role: str) -> None:
    """Run one process until SIGTERM."""
    # Ignore SIGHUP until its handler is installed; by default it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = load_settings(path)
    configure_daemon(settings.name)
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    process: EntryProcess | TargetProcess
    if role == "entry":
        process = EntryProcess(settings, PlatformCodec(), LogStore)
    elif role == "target":
        process = TargetProcess(settings, PlatformCodec(), LogStore, HttpRunner)
    else:
        raise SettingsError(f"unknown role '{role}'", "pass entry or target as the argument")
    signal.signal(signal.SIGHUP, lambda *_: reload(process, path))
    log_event("process starting", role=role)
    with process.kernel:
        log_event("process started", role=role)
        stop_requested.wait()
        log_event("process stopping", role=role)
        process.prepare_stop()
        # Services still open at this point only read, so ending them loses nothing for callers.
        exit_timer = threading.Timer(SHUTDOWN_TIMEOUT_S, exit_now, (role,))
        exit_timer.daemon = True
        exit_timer.start()
    log_event("process stopped", role=role)


if __name__ == "__main__":
    try:
        main(sys.argv[1] if len(sys.argv) > 1 else "")
    except UserError as exc:
        sys.exit(str(exc))
