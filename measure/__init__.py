"""Measurement programs; each appends JSON lines under ``measures/``."""
