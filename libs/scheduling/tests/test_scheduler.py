"""Tests of the scheduler: starts, reclaim, preemption, reservations and failover."""

from bilberryhitch_model import Evict, Guarantee, Host, Pool, QueuedJob, Shape, Start
from bilberryhitch_scheduling import PoolScheduler


def make_workers(racks=1, per_rack=2, accelerators=8):
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


def make_scheduler(*guarantees, racks=1, per_rack=2, **pool_fields):
    rows = tuple(Guarantee(a, "ruwi", size, cells) for a, size, cells in guarantees)
    row = Pool("gpu", "job", guarantees=rows, **pool_fields)
    return PoolScheduler("ruwi", row, make_workers(racks, per_rack))


def make_job(job_id, account="a", tasks=1, accelerators=8, cores=1, **more):
    shape = Shape(tasks, accelerators, cores, 1)
    return QueuedJob(job_id, account, "render", "c", shape, **more)


def submit(scheduler, *jobs, now=0.0):
    for row in jobs:
        assert scheduler.submit(row, now).is_ok()
    return scheduler.decide(now)


def test_guaranteed_job_evicts_borrowers_and_starts_after_the_last():
    scheduler = make_scheduler(("a", 16, 1))
    borrowers = submit(scheduler, make_job("b1", "b"), make_job("b2", "b"))
    assert [d.borrowed for d in borrowers] == [True, True]
    decisions = submit(scheduler, make_job("a1", tasks=2))
    assert {d.job_id for d in decisions if isinstance(d, Evict)} == {"b1", "b2"}
    scheduler.evicted("b1", 1.0)
    assert scheduler.decide(1.0) == []
    scheduler.evicted("b2", 2.0)
    (start,) = scheduler.decide(2.0)
    assert isinstance(start, Start)
    assert not start.borrowed
    assert scheduler.explain("b1").state == "queued"


def test_job_that_may_not_borrow_starts_only_on_spare_capacity():
    scheduler = make_scheduler(("a", 8, 1))
    jobs = [make_job(name, "b", may_borrow=False) for name in ("f1", "f2")]
    assert len(submit(scheduler, *jobs)) == 1
    assert scheduler.explain("f2").rule == "may_not_borrow"


def test_job_that_can_never_run_is_refused():
    scheduler = make_scheduler(("a", 16, 1))
    refused = scheduler.submit(make_job("f", "b", may_borrow=False), 0.0)
    assert "spare" in refused.error.rule
    assert scheduler.submit(make_job("g", tasks=3), 0.0).is_error()


def test_lost_host_causes_a_shortfall_only_after_its_job_ended():
    scheduler = make_scheduler(("a", 8, 1), ("b", 8, 1))
    submit(scheduler, make_job("a1"))
    scheduler.host_lost(scheduler.bound_cells()[0].location[0][0])
    assert scheduler.shortfall() == []
    scheduler.finished("a1", 5.0)
    assert [(s.client_account, s.missing) for s in scheduler.shortfall()] == [("b", 1)]


def test_urgent_work_preempts_borrowers_within_its_share_only():
    scheduler = make_scheduler()
    submit(scheduler, make_job("b1", "b"), make_job("b2", "b"))
    urgent = [make_job(f"u{n}", urgency="urgent") for n in range(4)]
    evicted = [d for d in submit(scheduler, *urgent) if isinstance(d, Evict)]
    assert len(evicted) == 1


def test_urgent_work_never_evicts_guaranteed_work():
    scheduler = make_scheduler(("b", 16, 1))
    submit(scheduler, make_job("b1", "b", tasks=2))
    assert submit(scheduler, make_job("u", urgency="urgent")) == []


def test_large_gang_is_not_starved_by_backfill():
    scheduler = make_scheduler()
    submit(scheduler, make_job("s0", accelerators=4, declared_s=10.0))
    submit(scheduler, make_job("gang", "b", tasks=2), now=1.0)
    assert scheduler.explain("gang").rule == "reservation"
    assert (
        submit(scheduler, make_job("long", "c", accelerators=4, declared_s=99.0)) == []
    )
    assert (
        len(submit(scheduler, make_job("short", "d", accelerators=4, declared_s=5.0)))
        == 1
    )
    scheduler.finished("short", 6.0)
    scheduler.finished("s0", 10.0)
    assert [d.job_id for d in scheduler.decide(10.0)] == ["gang"]


def test_overdue_reservation_admits_no_backfill():
    scheduler = make_scheduler()
    submit(scheduler, make_job("s0", accelerators=4, declared_s=10.0))
    submit(scheduler, make_job("gang", "b", tasks=2), now=1.0)
    short = make_job("short", "d", accelerators=4, declared_s=0.1)
    assert submit(scheduler, short, now=100.0) == []


def test_borrower_without_accelerators_is_evicted_for_its_cores():
    scheduler = make_scheduler(per_rack=1)
    (start,) = submit(scheduler, make_job("cpu", "b", tasks=4, accelerators=0, cores=8))
    assert start.placement.members[0].accelerators == ()
    evict, *_ = submit(scheduler, make_job("a1", cores=8))
    assert evict == Evict("cpu", "a1")


def test_adopted_job_keeps_its_guaranteed_cell_bound():
    scheduler = make_scheduler(("a", 8, 1))
    (start,) = submit(scheduler, make_job("a1"))
    successor = make_scheduler(("a", 8, 1))
    successor.adopt(make_job("a1"), start.placement, start.borrowed, 9.0)
    assert successor.bound_cells() == scheduler.bound_cells()


def test_full_queue_reports_the_dropped_job():
    scheduler = make_scheduler(max_queued=2)
    submit(scheduler, make_job("r1"), make_job("r2"))
    submit(scheduler, make_job("q1"), make_job("q2"))
    assert scheduler.submit(make_job("b1", "b"), 0.0).is_ok()
    assert [d.item.job_id for d in scheduler.take_dropped()] == ["q2"]
    assert scheduler.submit(make_job("q3"), 0.0).error.limit == 2


def test_added_worker_is_used_and_running_jobs_keep_their_cells():
    hosts = make_workers()
    row = Pool("gpu", "job", hosts=("w0-0",), guarantees=(Guarantee("a", "ruwi", 8),))
    scheduler = PoolScheduler("ruwi", row, hosts)
    submit(scheduler, make_job("a1"), make_job("a2"))
    scheduler.set_pool(row._replace(hosts=("w0-0", "w0-1")))
    (start,) = scheduler.decide(1.0)
    assert start.placement.members[0].host == "w0-1"
    assert [cell.jobs for cell in scheduler.bound_cells()] == [("a1",)]
