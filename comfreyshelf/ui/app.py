"""The application object of the command line with its groups of commands."""

import typer

from comfreyshelf.ui import callers, daemons, explaining, operators, where

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
operators.add_commands(app)
callers.add_commands(app)
daemons.add_commands(app)
explaining.add_commands(app)
where.add_commands(app)
