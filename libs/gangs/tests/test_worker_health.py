from bilberryhitch_gangs.worker_health import WorkerHealth


def test_one_job_is_no_evidence_against_a_worker():
    # Guards against a faulty job that takes workers out of service.
    health = WorkerHealth()
    assert not health.task_failed("w0", "j1")
    assert not health.task_failed("w0", "j1")
    assert health.task_failed("w0", "j2")
    assert health.quarantined == {"w0"}
    health.release("w0")
    assert not health.quarantined


def test_success_and_faulty_jobs_clear_evidence():
    # Guards against rare failures that add up to a quarantine.
    health = WorkerHealth()
    health.task_failed("w0", "j1")
    health.task_finished("w0")
    assert not health.task_failed("w0", "j2")
    health.clear_job("j2")
    assert not health.task_failed("w0", "j3")
