"""Settings files: JSON with comments, validated against a typed schema."""

from .settings import Caller, Limits, Platform, Settings, load_settings

__all__ = ["Caller", "Limits", "Platform", "Settings", "load_settings"]
