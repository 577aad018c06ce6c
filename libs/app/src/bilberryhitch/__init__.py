"""The bilberryhitch command line, the entry host's wiring and the demo."""
