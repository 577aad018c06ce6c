"""Live and leaving hosts: heartbeats, host list and drains."""
