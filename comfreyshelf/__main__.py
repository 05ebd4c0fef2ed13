"""Runs the command line as ``python -m comfreyshelf``."""

from comfreyshelf.ui import main

main()
