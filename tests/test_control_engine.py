import pytest

from amaranthferry.control_engine import EngineJob, SimulatedEngine, service_time
from amaranthferry.control_fleet import VirtualTime

SLOTS, QUEUE = 2, 1


@pytest.fixture
def time():
    return VirtualTime()


@pytest.fixture
def engine(time):
    return SimulatedEngine("s", time, zone="a", slots=SLOTS, queue=QUEUE, speed=1.0)


def job(name, ended, *, tokens=100):
    return EngineJob(
        request_id=name,
        prompt_tokens=1_000,
        output_tokens=tokens,
        on_first_token=lambda: ended.append((name, "first")),
        on_finish=lambda: ended.append((name, "finished")),
    )


def test_full_engine_rejects_work_and_runs_what_waits_once_a_slot_is_free(time, engine):
    ended = []
    accepted = [engine.accept(job(name, ended)) for name in "abcd"]
    assert accepted == [True, True, True, False]
    time.run_until(10.0)
    assert [name for name, what in ended if what == "finished"] == ["a", "b", "c"]
    assert engine.size == 0


def test_cancelled_job_frees_its_slot_and_reports_nothing(time, engine):
    ended = []
    jobs = [job(name, ended) for name in "abc"]
    for item in jobs:
        engine.accept(item)
    engine.remove(jobs[0])
    engine.remove(jobs[0])
    time.run_until(10.0)
    assert {name for name, _ in ended} == {"b", "c"}


def test_answers_of_a_larger_batch_come_slower(time, engine):
    ended = []
    alone, second = job("a", ended), job("b", ended)
    engine.accept(alone)
    engine.accept(second)
    assert second.token_interval > alone.token_interval
    assert second.first_token_at > alone.first_token_at
    time.run_until(service_time(1_000, 100, slots=SLOTS, speed=1.0))
    assert ("a", "finished") in ended


def test_stopped_engine_returns_what_it_ran_and_ends_none_of_it(time, engine):
    ended = []
    for name in "abc":
        engine.accept(job(name, ended))
    assert [item.request_id for item in engine.stop()] == ["a", "b", "c"]
    time.run_until(10.0)
    assert ended == []
    engine.start()
    assert (engine.alive, engine.size, engine.incarnation) == (True, 0, 2)
