"""Options of the commands that call an entry, and the client that they use."""

import os
from pathlib import Path
from typing import Annotated

import typer

from comfreyshelf.client import Client
from comfreyshelf.errors import UserError

KEY_VARIABLE = "COMFREYSHELF_KEY"
ENTRY_VARIABLE = "COMFREYSHELF_ENTRY"
AUTHORITY_VARIABLE = "COMFREYSHELF_AUTHORITY"

EntryOption = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar=ENTRY_VARIABLE,
        help="ip:port of the balancer, or of entries, separated by commas",
    ),
]
KeyFileOption = Annotated[
    Path | None,
    typer.Option("--key-file", help=f"file with the key; without it, {KEY_VARIABLE} is read"),
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON for scripts")]

DEFAULT_ENTRY = "127.0.0.1:8080"


def connect(entry: str, key_file: Path | None) -> Client:
    """Make a client; raises UserError if no key is given."""
    first, *others = (address.strip() for address in entry.split(","))
    authority = os.environ.get(AUTHORITY_VARIABLE, "")
    return Client(first, read_key(key_file), others=others, authority=authority)


def read_key(key_file: Path | None) -> str:
    """Read the key from the file or the environment, as other users can see arguments."""
    if key_file is None:
        key = os.environ.get(KEY_VARIABLE, "")
    else:
        try:
            key = key_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UserError(f"cannot read {key_file}: {exc}", "give a readable file") from exc
    if not key:
        raise UserError("no key is given", f"set {KEY_VARIABLE} or pass --key-file")
    return key
