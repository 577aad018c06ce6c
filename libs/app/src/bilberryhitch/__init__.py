"""The command line, the entry host process and the demo."""
