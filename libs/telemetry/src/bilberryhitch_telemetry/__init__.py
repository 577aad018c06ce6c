"""Numbered log events and OpenTelemetry metrics."""
