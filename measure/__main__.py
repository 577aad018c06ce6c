"""Runs the policy measurement: ``python -m measure``."""

from .policy import main

main()
