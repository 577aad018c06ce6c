"""Oracle for point 5: a non-idempotent request runs at most once."""

from collections import Counter


def check_point5(history):
    """Reject a second run of a request or of another call with its key."""
    once = {
        event["body"]
        for event in history
        if event["event"] == "submitted" and event["once"]
    }
    runs = Counter(event["body"] for event in history if event["event"] == "ran")
    for body in once:
        assert runs[body] <= 1, (body, runs[body])
