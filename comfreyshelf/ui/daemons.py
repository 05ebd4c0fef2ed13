"""Commands that run a process: entry, target, the stand-ins, and the demo."""

import signal
from pathlib import Path
from typing import Annotated

import typer

from comfreyshelf.demo import run_demo
from comfreyshelf.entry import Entry, StopFlag, run_until_stopped
from comfreyshelf.kernel import Service
from comfreyshelf.logs import LogFormat, configure
from comfreyshelf.runner import StandinRunnerServer
from comfreyshelf.settings import (
    EntrySettings,
    RunnerStandinSettings,
    StandinSettings,
    TargetSettings,
    load_settings,
)
from comfreyshelf.standin import LogStandin
from comfreyshelf.target import Target

LogFormatOption = Annotated[LogFormat, typer.Option("--log-format", help="format of log lines")]
SettingsPath = Annotated[Path, typer.Argument(help="INI file with the process's settings")]


def add_commands(app: typer.Typer) -> None:
    """Register the commands."""
    app.command("entry")(run_entry)
    app.command("target")(run_target)
    app.command("standin-log")(run_standin_log)
    app.command("standin-runner")(run_standin_runner)
    app.command("demo")(demo)


def _run_until_stopped(service: Service) -> None:
    flag = StopFlag()
    signal.signal(signal.SIGTERM, flag.set)
    signal.signal(signal.SIGINT, flag.set)
    run_until_stopped(service, flag)


def run_entry(settings: SettingsPath, log_format: LogFormatOption = LogFormat.TEXT) -> None:
    """Run an entry until SIGTERM."""
    cfg = load_settings(settings, "entry", EntrySettings)
    configure(cfg.name, log_format)
    _run_until_stopped(Entry(cfg))


def run_target(settings: SettingsPath, log_format: LogFormatOption = LogFormat.TEXT) -> None:
    """Run a target process until SIGTERM."""
    cfg = load_settings(settings, "target", TargetSettings)
    configure(cfg.name, log_format)
    _run_until_stopped(Target(cfg))


def run_standin_log(settings: SettingsPath, log_format: LogFormatOption = LogFormat.TEXT) -> None:
    """Run the stand-in for the platform's log until SIGTERM."""
    cfg = load_settings(settings, "standin", StandinSettings)
    configure("standin-log", log_format)
    _run_until_stopped(LogStandin(cfg))


def run_standin_runner(
    settings: SettingsPath, log_format: LogFormatOption = LogFormat.TEXT
) -> None:
    """Run the stand-in for a runner until SIGTERM."""
    cfg = load_settings(settings, "runner", RunnerStandinSettings)
    configure("standin-runner", log_format)
    _run_until_stopped(StandinRunnerServer(cfg))


def demo() -> None:
    """Run the demo on loopback and print each step."""
    run_demo()
