"""Stand-ins of the platform, executors and workers, with fault switches."""

from .platform_server import PlatformStandin

__all__ = ["PlatformStandin"]
