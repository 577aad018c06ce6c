"""Settings files: JSON with comments, a typed schema, limits."""

from .settings import Caller, Limits, Platform, Settings, load_settings

__all__ = ["Caller", "Limits", "Platform", "Settings", "load_settings"]
