"""Oracle for point 4: a request that was answered with "not run" never ran."""


def check_point4(history):
    """Reject a run for which every earlier call was answered with "not run".

    Calls with the same idempotency key have the same body; any earlier call
    with another answer, or with none, accounts for a run.
    """
    answered_not_run = {
        event["call"]
        for event in history
        if event["event"] == "answered" and event["status"] == "not_run"
    }
    runnable = set()
    for event in history:
        if event["event"] == "submitted" and event["call"] not in answered_not_run:
            runnable.add(event["body"])
        if event["event"] == "ran":
            assert event["body"] in runnable, event
