"""Steps for the command line."""

import configparser
import contextlib
import io
import os
import shlex
import tempfile
import time
from pathlib import Path
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.config_text import parse_config
from comfreyshelf.demo import (
    CALLER_KEY,
    DEMO_CONFIG_TEXT,
    OPERATOR_KEY,
    Deployment,
    wait_for_targets,
)
from comfreyshelf.events import (
    ConfigInForce,
    JobClosed,
    JobQueued,
    PartEnded,
    PartsReserved,
    StartRecorded,
    WorkerReported,
)
from comfreyshelf.holders import DrainView, HeldByJob, HeldByVersion
from comfreyshelf.ids import (
    CallerId,
    DomainId,
    Epoch,
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.messages import Status
from comfreyshelf.model import Job, PartState, Shape, WorkerInfo
from comfreyshelf.reports import build_domain_report
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.ui import main

WAIT_S = 60.0

BASE_TEXT = f"""\
[deployment]
name = test
[region litoral]
[region platense]
[zone paysandu]
region = litoral
[zone colonia]
region = platense
[service permit]
[organisation rio-negro]
[caller desk]
organisation = rio-negro
key_sha256 = {"a" * 64}
[operator operations]
key_sha256 = {"b" * 64}
"""


def run_command(context: Context, line: str, key: str = "") -> None:
    """Run the command line in this process and store its output and exit code in `context`."""
    output = io.StringIO()
    env = {"COMFREYSHELF_KEY": key, "COMFREYSHELF_ENTRY": getattr(context, "entry", "")}
    argv = ["comfreyshelf", *shlex.split(line)]
    context.exit_code = 0
    with (
        mock.patch.dict(os.environ, env),
        mock.patch("sys.argv", argv),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        try:
            main()
        except SystemExit as exc:
            context.exit_code = int(exc.code or 0)
    context.output = output.getvalue()


def write_file(context: Context, text: str) -> Path:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = Path(folder) / "file.ini"
    path.write_text(text, encoding="utf-8")
    return path


def set_line(text: str, section: str, line: str) -> str:
    """Set the option of `line` in a section, in place of a line of the same option."""
    parser = configparser.ConfigParser()
    parser.read_string(text)
    if section not in parser:
        parser.add_section(section)
    option, _, value = line.partition(" = ")
    parser[section][option] = value
    output = io.StringIO()
    parser.write(output)
    return output.getvalue()


@when('the command line runs "{line}"')
def command_line_runs(context: Context, line: str) -> None:
    run_command(context, line)


@when('a text with the line "{line}" in "{section}" is checked')
def check_text(context: Context, line: str, section: str) -> None:
    text = set_line(BASE_TEXT, section, line)
    run_command(context, f"check {write_file(context, text)}")


@then('it exits with {code:d} and prints "{message}"')
def exits_with(context: Context, code: int, message: str) -> None:
    assert context.exit_code == code, (context.exit_code, context.output)
    assert message in context.output, context.output


@then('it exits with {code:d} and prints ""')
def exits_quietly(context: Context, code: int) -> None:
    assert context.exit_code == code, (context.exit_code, context.output)
    assert not context.output.strip(), context.output


@given("a running deployment in this process")
def running_deployment(context: Context) -> None:
    deployment = Deployment(entries=1, targets=1)
    context.deployment = context.stack.enter_context(deployment.run())
    context.entry = deployment.entry_settings[0].http_address
    context.text_path = write_file(context, DEMO_CONFIG_TEXT)


@given('the operator runs "{line}"')
@when('the operator runs "{line}"')
def operator_runs(context: Context, line: str) -> None:
    run_command(context, line.replace("TEXT", str(context.text_path)), OPERATOR_KEY)


@given("all targets have version {version:d} in force")
def targets_have_version(context: Context, version: int) -> None:
    wait_for_targets(context.deployment.client(OPERATOR_KEY), 1, version)


@when('the caller runs "{line}"')
def caller_runs(context: Context, line: str) -> None:
    run_command(context, line, CALLER_KEY)


@when('a stranger runs "{line}"')
def stranger_runs(context: Context, line: str) -> None:
    run_command(context, line, "wrong")


@when('an entry is started with the setting "{setting}"')
def start_entry_with_setting(context: Context, setting: str) -> None:
    option = setting.split("=", maxsplit=1)[0].strip()
    lines = [
        "name = e",
        "zone = z",
        "http_address = 127.0.0.1:1",
        "pipe_address = 127.0.0.1:2",
        "log_url = http://127.0.0.1:3",
    ]
    kept = [line for line in lines if line.split("=")[0].strip() != option]
    text = "\n".join(["[entry]", *kept, setting, ""])
    run_command(context, f"entry {write_file(context, text)}")


@given("the text scraps {target}")
def text_scraps(context: Context, target: str) -> None:
    text = f"{DEMO_CONFIG_TEXT}\n[target {target}]\nscrap = yes\n"
    context.text_path.write_text(text, encoding="utf-8")


@then('the operator\'s "{line}" exits with {code:d} in the end and prints "{message}"')
def exits_in_the_end(context: Context, line: str, code: int, message: str) -> None:
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        operator_runs(context, line)
        if context.exit_code == code and message in context.output:
            return
        time.sleep(0.1)
    raise AssertionError((context.exit_code, context.output))


@given("an owner's core with a target that runs a job")
def create_core_with_job(context: Context) -> None:
    context.core = Scheduler(DomainId("litoral"), Epoch(1))
    set_config(context, DEMO_CONFIG_TEXT, 1)
    worker = WorkerInfo(TargetId("t"), ZoneId("paysandu"), RackId("r"), 8, 64, 256, 1)
    context.status = Status(worker, 1.0, Epoch(1), Version(1))
    context.core.handle(WorkerReported(worker), 1.0)
    job = Job(
        JobId("j"),
        OrganisationId("hidrovia-dragados"),
        CallerId("hidrovia-office"),
        "key",
        ServiceId("permit"),
        "kind",
        Shape(1, 8),
        10.0,
        preemptible=False,
    )
    commands = context.core.handle(JobQueued(job), 1.0)
    attempt = commands[0].attempt
    context.core.handle(PartsReserved(job.id, attempt, worker.target), 1.0)
    context.core.handle(StartRecorded(job.id, attempt, True), 1.0)
    context.ended = PartEnded(job.id, attempt, 0, worker.target, PartState.FINISHED)


def set_config(context: Context, text: str, version: int) -> None:
    config = parse_config(text, Version(version)).ok
    context.core.handle(ConfigInForce(config), 2.0)


def leaving_view(context: Context) -> DrainView:
    statuses = {context.status.worker.target: context.status}
    return build_domain_report(context.core, statuses).leaving[0]


@when("the target is scrapped")
def scrap_target(context: Context) -> None:
    set_config(context, f"{DEMO_CONFIG_TEXT}\n[target t]\nscrap = yes\n", 2)


@then("the report names the job and the version that the target has not confirmed")
def report_names_holders(context: Context) -> None:
    view = leaving_view(context)
    assert not view.is_empty
    kinds = {type(holder) for holder in view.holders}
    assert {HeldByJob, HeldByVersion} <= kinds, view.holders


@when("the target confirms the version and the job ends")
def confirm_version_and_end_job(context: Context) -> None:
    context.core.handle(context.ended, 3.0)
    context.core.handle(JobClosed(context.ended.job), 3.0)
    assert not leaving_view(context).is_empty
    context.status = msgspec.structs.replace(context.status, version=Version(2), draining=True)


@then("the report calls the target empty")
def target_is_empty(context: Context) -> None:
    assert leaving_view(context).is_empty, leaving_view(context)
