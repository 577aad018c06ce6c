"""Tests of the scheduler: starts, reclaim, preemption, reservations and failover."""

from bilberryhitch_model import Evict, Guarantee, Host, Pool, QueuedJob, Shape, Start
from bilberryhitch_scheduling import PoolScheduler


def workers(racks=1, per_rack=2, accelerators=8):
    return [
        Host(
            f"w{rack}-{position}",
            "worker",
            "ruwi",
            "",
            rack=f"rack-{rack}",
            position=position,
            accelerators=accelerators,
            cores=32,
            memory_gb=64,
        )
        for rack in range(racks)
        for position in range(per_rack)
    ]


def scheduler(*guarantees, racks=1, per_rack=2, **pool):
    rows = tuple(Guarantee(a, "ruwi", size, cells) for a, size, cells in guarantees)
    row = Pool("gpu", "job", guarantees=rows, **pool)
    return PoolScheduler("ruwi", row, workers(racks, per_rack))


def job(job_id, account="a", tasks=1, accelerators=8, cores=1, **more):
    shape = Shape(tasks, accelerators, cores, 1)
    return QueuedJob(job_id, account, "render", "c", shape, **more)


def submit(pool, *jobs, now=0.0):
    for row in jobs:
        assert pool.submit(row, now).is_ok()
    return pool.decide(now)


def test_guaranteed_job_evicts_borrowers_and_starts_after_the_last():
    pool = scheduler(("a", 16, 1))
    borrowers = submit(pool, job("b1", "b"), job("b2", "b"))
    assert [d.borrowed for d in borrowers] == [True, True]
    decisions = submit(pool, job("a1", tasks=2))
    assert {d.job_id for d in decisions if isinstance(d, Evict)} == {"b1", "b2"}
    pool.evicted("b1", 1.0)
    assert pool.decide(1.0) == []
    pool.evicted("b2", 2.0)
    (start,) = pool.decide(2.0)
    assert isinstance(start, Start)
    assert not start.borrowed
    assert pool.explain("b1").state == "queued"


def test_job_that_may_not_borrow_starts_only_on_spare_capacity():
    pool = scheduler(("a", 8, 1))
    jobs = [job(name, "b", may_borrow=False) for name in ("f1", "f2")]
    assert len(submit(pool, *jobs)) == 1
    assert pool.explain("f2").rule == "may_not_borrow"


def test_job_that_can_never_run_is_refused():
    pool = scheduler(("a", 16, 1))
    refused = pool.submit(job("f", "b", may_borrow=False), 0.0)
    assert "spare" in refused.error.rule
    assert pool.submit(job("g", tasks=3), 0.0).is_error()


def test_lost_host_causes_a_shortfall_only_after_its_job_ended():
    pool = scheduler(("a", 8, 1), ("b", 8, 1))
    submit(pool, job("a1"))
    pool.host_lost(pool.bound_cells()[0].place[0][0])
    assert pool.shortfall() == []
    pool.finished("a1", 5.0)
    assert [(s.client_account, s.missing) for s in pool.shortfall()] == [("b", 1)]


def test_urgent_work_preempts_borrowers_within_its_share_only():
    pool = scheduler()
    submit(pool, job("b1", "b"), job("b2", "b"))
    urgent = [job(f"u{n}", urgency="urgent") for n in range(4)]
    evicted = [d for d in submit(pool, *urgent) if isinstance(d, Evict)]
    assert len(evicted) == 1


def test_urgent_work_never_evicts_guaranteed_work():
    pool = scheduler(("b", 16, 1))
    submit(pool, job("b1", "b", tasks=2))
    assert submit(pool, job("u", urgency="urgent")) == []


def test_large_gang_is_not_starved_by_backfill():
    pool = scheduler()
    submit(pool, job("s0", accelerators=4, declared_s=10.0))
    submit(pool, job("gang", "b", tasks=2), now=1.0)
    assert pool.explain("gang").rule == "reservation"
    assert submit(pool, job("long", "c", accelerators=4, declared_s=99.0)) == []
    assert len(submit(pool, job("short", "d", accelerators=4, declared_s=5.0))) == 1
    pool.finished("short", 6.0)
    pool.finished("s0", 10.0)
    assert [d.job_id for d in pool.decide(10.0)] == ["gang"]


def test_overdue_reservation_admits_no_backfill():
    pool = scheduler()
    submit(pool, job("s0", accelerators=4, declared_s=10.0))
    submit(pool, job("gang", "b", tasks=2), now=1.0)
    short = job("short", "d", accelerators=4, declared_s=0.1)
    assert submit(pool, short, now=100.0) == []


def test_borrower_without_accelerators_is_evicted_for_its_cores():
    pool = scheduler(per_rack=1)
    (start,) = submit(pool, job("cpu", "b", tasks=4, accelerators=0, cores=8))
    assert start.placement.members[0].accelerators == ()
    evict, *_ = submit(pool, job("a1", cores=8))
    assert evict == Evict("cpu", "a1")


def test_adopted_job_keeps_its_guaranteed_cell_bound():
    pool = scheduler(("a", 8, 1))
    (start,) = submit(pool, job("a1"))
    successor = scheduler(("a", 8, 1))
    successor.adopt(job("a1"), start.placement, start.borrowed, 9.0)
    assert successor.bound_cells() == pool.bound_cells()


def test_full_queue_reports_the_dropped_job():
    pool = scheduler(max_queued=2)
    submit(pool, job("r1"), job("r2"))
    submit(pool, job("q1"), job("q2"))
    assert pool.submit(job("b1", "b"), 0.0).is_ok()
    assert [d.item.job_id for d in pool.take_dropped()] == ["q2"]
    assert pool.submit(job("q3"), 0.0).error.limit == 2


def test_added_worker_is_used_and_running_jobs_keep_their_cells():
    hosts = workers()
    row = Pool("gpu", "job", hosts=("w0-0",), guarantees=(Guarantee("a", "ruwi", 8),))
    pool = PoolScheduler("ruwi", row, hosts)
    submit(pool, job("a1"), job("a2"))
    pool.set_pool(row._replace(hosts=("w0-0", "w0-1")))
    (start,) = pool.decide(1.0)
    assert start.placement.members[0].host == "w0-1"
    assert [cell.jobs for cell in pool.bound_cells()] == [("a1",)]
