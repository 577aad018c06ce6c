"""Runs the policy benchmark: ``python -m measure``."""

from .policy import main

main()
