"""Settings files: JSON with comments, a typed schema, limits."""
