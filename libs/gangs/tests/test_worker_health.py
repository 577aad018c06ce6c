from bilberryhitch_gangs.worker_health import WorkerHealth


def test_failures_of_one_job_do_not_quarantine_a_worker():
    # Guards against a faulty job that puts workers in quarantine.
    health = WorkerHealth()
    assert not health.task_failed("w0", "j1")
    assert not health.task_failed("w0", "j1")
    assert health.task_failed("w0", "j2")
    assert health.quarantined == {"w0"}
    health.release("w0")
    assert not health.quarantined


def test_success_and_faulty_jobs_reset_failures():
    # Guards against rare failures that accumulate to a quarantine.
    health = WorkerHealth()
    health.task_failed("w0", "j1")
    health.task_finished("w0")
    assert not health.task_failed("w0", "j2")
    health.clear_job("j2")
    assert not health.task_failed("w0", "j3")
