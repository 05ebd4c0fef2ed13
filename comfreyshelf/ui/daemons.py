"""Commands that run a process: entry, target, the log stand-in, and the demo."""

import signal
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from comfreyshelf.demo import run_demo
from comfreyshelf.entry import Entry, StopFlag, wait_for_stop
from comfreyshelf.kernel import Service
from comfreyshelf.runner import RunnerStandin
from comfreyshelf.settings import (
    EntrySettings,
    RunnerStandinSettings,
    StandinSettings,
    TargetSettings,
    load_settings,
)
from comfreyshelf.standin import LogStandin
from comfreyshelf.target import Target

SettingsPath = Annotated[Path, typer.Argument(help="INI file with the process's settings")]


def add_commands(app: typer.Typer) -> None:
    """Register the commands."""
    app.command("entry")(run_entry)
    app.command("target")(run_target)
    app.command("standin-log")(run_standin)
    app.command("standin-runner")(run_standin_runner)
    app.command("demo")(demo)


def _run(service: Service) -> None:
    logging.set_verbosity(logging.INFO)
    flag = StopFlag()
    signal.signal(signal.SIGTERM, flag.set)
    signal.signal(signal.SIGINT, flag.set)
    wait_for_stop(service, flag)


def run_entry(settings: SettingsPath) -> None:
    """Run an entry until SIGTERM."""
    _run(Entry(load_settings(settings, "entry", EntrySettings)))


def run_target(settings: SettingsPath) -> None:
    """Run a target process until SIGTERM."""
    _run(Target(load_settings(settings, "target", TargetSettings)))


def run_standin(settings: SettingsPath) -> None:
    """Run the stand-in for the platform's log until SIGTERM."""
    _run(LogStandin(load_settings(settings, "standin", StandinSettings)))


def run_standin_runner(settings: SettingsPath) -> None:
    """Run the stand-in for a back end until SIGTERM."""
    _run(RunnerStandin(load_settings(settings, "runner", RunnerStandinSettings)))


def demo() -> None:
    """Run the main job on loopback and print what happened."""
    run_demo()
