"""Stand-ins of the platform, executors and workers, with fault switches."""
