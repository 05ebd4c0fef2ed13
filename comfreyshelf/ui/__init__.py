"""The command line."""

import sys

from comfreyshelf.errors import UserError
from comfreyshelf.ui.app import app

EXIT_USER_ERROR = 1


def main() -> None:
    """Run the command line; user errors print one line and exit with status 1."""
    try:
        app()
    except UserError as exc:
        print(f"comfreyshelf: {exc}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
