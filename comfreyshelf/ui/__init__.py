"""The command line."""

import sys

from comfreyshelf.errors import UserError
from comfreyshelf.ui.app import app
from comfreyshelf.ui.output import exit_code, print_error


def main() -> None:
    """Run the command line; a user error prints its remedy and sets the exit code."""
    try:
        app()
    except UserError as exc:
        print_error(exc)
        sys.exit(exit_code(exc))
