from bilberryhitch_gangs.job_rows import job_key, put_job, scan_jobs
from bilberryhitch_platform import Delete

from tests.machines.world_point2_gangs import World


def test_scan_of_several_pages_skips_finished_jobs():
    # Guards against a takeover that decodes every finished job, or misses an
    # unfinished job after a page of finished ones.
    world = World(processes=1, workers=1)
    record = world.submit(world.call()).ok
    world.processes["a"].kill()
    world.run(world.store.transact([], [Delete(job_key(record.job_id))]))
    states = ["finished"] * 1500 + ["queued", "started"]
    for number, state in enumerate(states):
        row = record._replace(job_id=f"ruwi.gpu.j{number:05}", state=state)
        world.run(world.store.transact([], [put_job(row)]))
    rows, revision = world.run(
        scan_jobs(world.store, "jobs/ruwi/gpu/", 0, unfinished=True)
    )
    assert [row.record.state for row in rows] == ["queued", "started"]
    assert revision == world.store.revision
    all_rows, _ = world.run(scan_jobs(world.store, "jobs/ruwi/gpu/", 0))
    assert len(all_rows) == len(states)
    world.close()
