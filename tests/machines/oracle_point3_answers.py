"""Oracle for point 3: each caller receives the whole answer to its own request."""


def expected_answer(request):
    return b"whole answer to " + request + b"." * 20


def check_answers(history):
    """Reject a completed request whose answer is not the caller's own and whole.

    With any status but ``completed`` a caller may receive no answer.
    """
    for event in history:
        if event["event"] != "answered" or event["status"] != "completed":
            continue
        assert event["body"] == expected_answer(event["request"]), event


def check_ran_before_answered(history):
    """Reject a completed request that no executor had started before."""
    ran = set()
    for event in history:
        if event["event"] == "ran":
            ran.add(event["body"])
        if event["event"] == "answered" and event["status"] == "completed":
            assert event["request"] in ran, event


def check_point3(history):
    check_answers(history)
    check_ran_before_answered(history)
