"""Allows ``python -m bilberryhitch``."""

from .main import run

run()
