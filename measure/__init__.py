"""Benchmark programs; most append JSON lines under ``measures/``."""
