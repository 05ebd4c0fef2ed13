"""Operators' commands: keys, the configuration text, and leaving targets."""

import difflib
from pathlib import Path
from typing import Annotated, Any

import typer

from comfreyshelf.auth import generate_key, hash_key
from comfreyshelf.config_text import parse_config
from comfreyshelf.errors import UserError
from comfreyshelf.ids import Version
from comfreyshelf.ui.connection import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyFileOption,
    connect,
)
from comfreyshelf.ui.output import ExitCode, print_json, print_table

TextPath = Annotated[Path, typer.Argument(help="INI text of the configuration")]


def add_commands(app: typer.Typer) -> None:
    """Register the commands."""
    app.command("key")(make_key)
    app.command("check")(check)
    app.command("publish")(publish)
    app.command("show")(show)
    app.command("history")(history)
    app.command("diff")(diff)
    app.command("targets")(targets)
    app.command("drain")(drain)


def read_text_file(path: Path) -> str:
    """Read a text file; raises UserError."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"cannot read {path}: {exc}", "give a readable file") from exc


def make_key(as_json: JsonOption = False) -> None:
    """Generate a random key and its hash for the configuration text."""
    key = generate_key()
    if as_json:
        print_json({"key": key, "key_sha256": hash_key(key)})
        return
    print(f"key: {key}")
    print(f"key_sha256 = {hash_key(key)}")


def check(text: TextPath, as_json: JsonOption = False) -> None:
    """Check a text without publishing it; exits with 65 if it has problems."""
    parsed = parse_config(read_text_file(text), Version(1))
    problems = parsed.error if parsed.is_error() else []
    if as_json:
        print_json({"valid": not problems, "problems": problems})
    elif not problems:
        print(f"{text}: valid")
    else:
        for problem in problems:
            print(f"{text}: {problem}")
    if problems:
        raise typer.Exit(ExitCode.INVALID_TEXT)


def publish(
    text: TextPath,
    base: Annotated[int, typer.Option(help="version that the text was edited from, 0 if none")],
    entry: EntryOption = DEFAULT_ENTRY,
    key_file: KeyFileOption = None,
    as_json: JsonOption = False,
) -> None:
    """Publish a text against the version that it was edited from."""
    answer = connect(entry, key_file).publish(read_text_file(text), base)
    if as_json:
        print_json(answer)
    else:
        print(f"version {answer['version']} is accepted")


def show(
    entry: EntryOption = DEFAULT_ENTRY,
    key_file: KeyFileOption = None,
    text_only: Annotated[bool, typer.Option("--text", help="print only the text")] = False,
    as_json: JsonOption = False,
) -> None:
    """Show the text in force and which processes have it."""
    answer = connect(entry, key_file).config()
    if as_json:
        print_json(answer)
        return
    if not text_only:
        print(f"# version {answer['version']} by {answer['operator']}, read at {answer['entry']}")
        for name, version in answer["entries"].items():
            print(f"# entry {name} has version {version}")
        for name, domain in answer["domains"].items():
            _print_domain(name, domain)
    print(answer["text"], end="")


def _print_domain(name: str, domain: dict[str, Any]) -> None:
    behind = domain["behind"]
    confirmed = domain["targets"] - len(behind)
    print(
        f"# domain {name}: {confirmed} of {domain['targets']} targets have version "
        f"{domain['version']}"
    )
    if behind:
        print(f"#   not yet: {', '.join(behind)}")
    for lost in domain["lost"]:
        shape = lost["shape"]
        print(
            f"#   no capacity for the guarantee of {lost['organisation']}: "
            f"{shape['parts']} x {shape['accelerators']} @ {shape['adjacency']}"
        )


def history(
    entry: EntryOption = DEFAULT_ENTRY, key_file: KeyFileOption = None, as_json: JsonOption = False
) -> None:
    """List the newest accepted versions."""
    versions = connect(entry, key_file).history()
    if as_json:
        print_json(versions)
        return
    rows = [(item["version"], item["operator"], f"{item['time']:.0f}") for item in versions]
    print_table(("VERSION", "OPERATOR", "TIME"), rows)


def diff(
    text: TextPath, entry: EntryOption = DEFAULT_ENTRY, key_file: KeyFileOption = None
) -> None:
    """Show what publishing a text would change; exits with 1 if anything differs."""
    answer = connect(entry, key_file).config()
    lines = list(
        difflib.unified_diff(
            answer["text"].splitlines(),
            read_text_file(text).splitlines(),
            f"version {answer['version']}",
            str(text),
            lineterm="",
        )
    )
    print("\n".join(lines))
    if lines:
        raise typer.Exit(ExitCode.FAILED)


def targets(
    entry: EntryOption = DEFAULT_ENTRY, key_file: KeyFileOption = None, as_json: JsonOption = False
) -> None:
    """List the targets that announced themselves."""
    views = connect(entry, key_file).targets()
    if as_json:
        print_json(views)
        return
    rows = [
        (view["target"], view["zone"], view["rack"], view["version"], _describe_state(view))
        for view in views
    ]
    print_table(("TARGET", "ZONE", "RACK", "VERSION", "STATE"), rows)


def drain(
    entry: EntryOption = DEFAULT_ENTRY, key_file: KeyFileOption = None, as_json: JsonOption = False
) -> None:
    """Show the leaving targets and what still holds them; exits with 1 until all are empty."""
    views = connect(entry, key_file).drains()
    if as_json:
        print_json(views)
    else:
        rows = [
            (
                view["target"],
                view["state"],
                "; ".join(map(_describe_holder, view["holders"])) or "-",
            )
            for view in views
        ]
        print_table(("TARGET", "STATE", "HELD BY"), rows)
    if any(view["state"] not in ("empty", "gone") for view in views):
        raise typer.Exit(ExitCode.FAILED)


def _describe_holder(holder: dict[str, Any]) -> str:
    match holder["type"]:
        case "HeldByJob":
            activity = "moving" if holder["stopping"] else "running"
            suffix = "" if holder["preemptible"] else ", finishes here"
            return f"job {holder['job']} ({activity}{suffix})"
        case "HeldByResult":
            return f"result of job {holder['job']} not yet recorded"
        case "HeldByRequests":
            return f"{holder['running'] + holder['waiting']} requests of {holder['service']}"
        case "HeldByGuarantee":
            return f"guarantee of {holder['organisation']} without capacity elsewhere"
        case "HeldByService":
            dependents = ", ".join(holder["dependents"])
            return f"last runner of {holder['service']}, needed by {dependents}"
    return f"has not confirmed that it leaves (version {holder['version']})"


def _describe_state(view: dict[str, object]) -> str:
    return "leaving" if view["scrap"] else "in service"
