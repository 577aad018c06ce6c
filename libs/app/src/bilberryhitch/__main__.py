"""Runs the command line with ``python -m bilberryhitch``."""

from .main import run

run()
