"""Tests of calls, jobs and configuration through separate processes."""

import json

import pytest

from tests.path.cluster import running_cluster, wait_until


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("path")) as cluster:
        yield cluster


def test_request_gets_its_complete_answer(cluster):
    # Guards against an answer that is truncated or belongs to another call.
    body = json.dumps({"sleep_s": 0.05, "answer": "x" * 100_000})
    answer = cluster.cli("mutrah-2", "nizwa", "request", "solder-fit", "--body", body)
    assert answer.returncode == 0, answer.stderr
    assert "x" * 100_000 in answer.stdout


def test_outcome_of_a_gang_is_read_at_another_host(cluster):
    # Guards against a job that only the host that accepted it knows.
    arguments = ("submit", "render", "--tasks", "16", "--accelerators", "1")
    run = json.dumps({"seconds": 1})
    submitted = cluster.cli("ruwi-1", "al-batinah", *arguments, "--run", run)
    assert submitted.returncode == 0, submitted.stderr
    job = json.loads(submitted.stdout)["job_id"]
    waited = cluster.cli("mutrah-1", "al-batinah", "wait", job)
    assert waited.returncode == 0, waited.stderr
    record = json.loads(waited.stdout)
    assert record["status"] == "completed"
    assert len(record["members"]) == 2
    assert sum(len(member["accelerators"]) for member in record["members"]) == 16


def test_account_cannot_read_or_cancel_another_accounts_job(cluster):
    arguments = ("submit", "render", "--tasks", "1", "--accelerators", "1")
    job = json.loads(cluster.cli("ruwi-1", "al-batinah", *arguments).stdout)["job_id"]
    for command in ("status", "cancel", "explain"):
        assert cluster.cli("ruwi-1", "nizwa", command, job).returncode == 8
    assert cluster.cli("ruwi-1", "al-batinah", "status", job).returncode == 0


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("request", "no-such-route"), 8),
        (("submit", "render", "--tasks", "-1"), 2),
        (("submit", "render", "--tasks", "900", "--accelerators", "8"), 2),
        (("submit", "no-such-route"), 2),
        (("status", "not-a-job"), 8),
    ],
)
def test_invalid_input_is_refused_without_a_traceback(cluster, arguments, code):
    # Guards against invalid input that ends in a traceback or a wrong exit code.
    answer = cluster.cli("ruwi-2", "al-batinah", *arguments)
    assert answer.returncode == code, answer.stderr
    assert "Traceback" not in answer.stdout + answer.stderr


def test_wrong_operator_token_changes_nothing(cluster, tmp_path):
    before = cluster.revision_in_force("ruwi-1")
    path = tmp_path / "routes.json"
    path.write_text("[]")
    arguments = ("routes", "put", str(path), "--base", str(before))
    for user in ("nizwa", "nobody"):
        assert cluster.cli("ruwi-1", user, *arguments).returncode == 5
    assert cluster.revision_in_force("ruwi-1") == before


def test_route_change_is_adopted_and_audited(cluster, tmp_path):
    base = cluster.revision_in_force("ruwi-1")
    routes = json.loads(cluster.cli("ruwi-1", "salma", "routes", "get").stdout)
    rows = routes["rows"]
    rows[0]["timeout_s"] = 7.0
    path = tmp_path / "routes.json"
    path.write_text(json.dumps(rows))
    arguments = ("routes", "put", str(path), "--base", str(base))
    assert cluster.cli("ruwi-1", "yusuf", *arguments).returncode == 0
    stale = cluster.cli("mutrah-1", "salma", *arguments)
    assert stale.returncode == 6, stale.stdout
    for host in cluster.apis:
        wait_until(
            lambda host=host: cluster.revision_in_force(host) == base + 1,
            f"revision in force at {host}",
        )
    history = cluster.cli("mutrah-2", "salma", "config", "history").stdout
    assert "yusuf" in history


def test_drained_worker_gets_no_new_gang(cluster):
    drained = "mutrah-worker-0"
    assert cluster.cli("ruwi-2", "salma", "drain", drained).returncode == 0
    assert drained in cluster.cli("mutrah-2", "yusuf", "audit").stdout

    def is_unused():
        arguments = ("submit", "render", "--tasks", "1", "--accelerators", "1")
        run = json.dumps({"seconds": 0.1})
        answer = cluster.cli(
            "mutrah-1", "al-batinah", *arguments, "--run", run, "--wait"
        )
        members = json.loads(answer.stdout)["members"]
        return all(member["host"] != drained for member in members)

    wait_until(is_unused, "drained worker unused")
    assert cluster.cli("ruwi-2", "salma", "undrain", drained).returncode == 0
