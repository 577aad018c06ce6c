"""Point 4: when a caller is told that a request was not run, it was not run."""


def check_point4(history):
    """Reject a run that only calls told "not run" could explain.

    Calls with one idempotency key share a body; a run is explained by any call
    that came before it and was not told "not run".
    """
    told = {
        event["call"]
        for event in history
        if event["event"] == "answered" and event["status"] == "not_run"
    }
    explained = set()
    for event in history:
        if event["event"] == "submitted" and event["call"] not in told:
            explained.add(event["body"])
        if event["event"] == "ran":
            assert event["body"] in explained, event
