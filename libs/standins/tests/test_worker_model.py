import pytest
from bilberryhitch_model import Host
from bilberryhitch_model.errors import StaleToken, WorkerRefused
from bilberryhitch_standins import WorkerModel

HOST = Host("w0", "worker", "ruwi", "", accelerators=4, cores=8, memory_gb=8)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def model(clock):
    return WorkerModel(HOST, clock)


def reserve(model, attempt="j/1/1", token=1, accelerators=(0, 1), term_s=10.0):
    return model.reserve(
        attempt, token, accelerators=accelerators, cores=1, memory_gb=1, term_s=term_s
    )


def kinds(model):
    return [event.kind for event in model.history]


def test_expired_lease_ends_its_task(model, clock):
    # Guards against a model whose tasks outlive their lease.
    reserve(model)
    model.start("j/1/1", 1, '{"seconds": 60}')
    clock.now = 9.0
    model.renew(1, ["j/1/1"], 10.0)
    clock.now = 30.0
    (lease,) = model.state().leases
    assert (lease.state, lease.started) == ("lapsed", True)
    assert model.history[-1].at == 19.0


def test_result_is_kept_until_released(model, clock):
    # Guards against a result that is dropped before the planner has read it.
    reserve(model)
    model.start("j/1/1", 1, '{"seconds": 2}')
    clock.now = 100.0
    assert [lease.state for lease in model.state().leases] == ["finished"]
    assert model.history[-1].at == 2.0
    model.release("j/1/1", 1)
    assert model.state().leases == ()


def test_lower_token_is_refused_even_after_a_restart(model):
    # Guards against a restart that lets a planner with an old token act again.
    reserve(model, token=7)
    model.restart()
    with pytest.raises(StaleToken) as error:
        reserve(model, token=6)
    assert error.value.highest == 7


def test_start_needs_a_reservation_and_happens_once(model):
    # Guards against a delayed or repeated start call that runs a task again.
    reserve(model)
    model.start("j/1/1", 1, "")
    with pytest.raises(WorkerRefused):
        model.start("j/1/1", 1, "")
    reserve(model, "i/1/1", accelerators=(2,))
    assert not model.stop("i/1/1", 1).started
    with pytest.raises(WorkerRefused):
        model.start("i/1/1", 1, "")


@pytest.mark.parametrize("accelerators", [(1,), (4,)])
def test_unavailable_accelerators_are_refused(model, accelerators):
    # Guards against two gangs on one accelerator, and a lease of one that the worker
    # doesn't have.
    reserve(model)
    with pytest.raises(WorkerRefused):
        reserve(model, "i/1/1", accelerators=accelerators)


def test_resumed_task_continues_from_the_checkpoint(model, clock):
    # Guards against a resumed task that starts from the beginning.
    reserve(model)
    model.start("j/1/1", 1, '{"seconds": 8}')
    clock.now = 5.0
    model.checkpoint("j/1/1", 1, "key")
    clock.now = 7.0
    model.stop("j/1/1", 1)
    reserve(model, "j/2/1")
    model.start("j/2/1", 1, '{"seconds": 8}', "key")
    clock.now = 11.0
    assert kinds(model)[-1] == "finish"
    assert model.history[-1].at == 10.0


def test_faults_affect_checkpoint_and_task(model, clock):
    # Guards against faults that have no effect.
    model.ignore_checkpoint = model.fail_everything = True
    reserve(model)
    model.start("j/1/1", 1, "")
    with pytest.raises(WorkerRefused):
        model.checkpoint("j/1/1", 1, "key")
    assert kinds(model) == ["reserve", "start", "fail"]


def test_restart_loses_running_tasks(model):
    # Guards against a restart that keeps the boot id, so that the planner doesn't see
    # the loss of the leases.
    reserve(model)
    model.start("j/1/1", 1, "")
    boot = model.boot_id
    model.restart()
    assert kinds(model)[-1] == "lost"
    assert model.boot_id != boot and model.state().leases == ()
