import pytest

from amaranthferry.availability import Availability, availability_of, idle_slots
from amaranthferry.types import ServerState, ServerStateSource
from tests.scheduling import Session, server


def leave(record):
    record.record_state(ServerState.LEAVING, ServerStateSource.SELF, 1.0)


def back_off(record):
    record.record_failed_dispatch(1.0)


def straggle(record):
    record.straggler.observe(1.0, 100.0)
    record.straggler.record_probe(1.0)


def fall_behind(record):
    record.prefill_free_at = 10.0


def report_late(record):
    record.prefill_tokens = 1


CASES = {
    Availability.FREE: lambda record: None,
    Availability.NOT_LIVE: leave,
    Availability.BACKED_OFF: back_off,
    Availability.STRAGGLING: straggle,
    Availability.PREFILL_BACKLOG: fall_behind,
    Availability.PREFILL_OVERDUE: report_late,
}


@pytest.mark.parametrize("found", CASES)
def test_availability_names_why_a_server_gets_nothing(found):
    session = Session(server("e1"))
    record = session.coordinator.servers["e1"]
    CASES[found](record)
    assert availability_of(record, 1.0) is found
    chooser = session.coordinator.objective_chooser(1.0)
    assert chooser.has_free_slots is (found is Availability.FREE)


def test_server_without_a_free_slot_is_full():
    session = Session(server("e1", slots=1), server("e2", slots=2))
    record = session.coordinator.servers["e1"]
    for number in range(2):
        session.request(f"r{number}")
    assert availability_of(record, 0.0) is Availability.FULL
    assert idle_slots(session.coordinator) == 1


def test_slots_of_servers_that_get_nothing_count_as_idle():
    session = Session(server("e1", slots=3), server("e2", slots=4))
    back_off(session.coordinator.servers["e1"])
    assert idle_slots(session.coordinator) == 7
    leave(session.coordinator.servers["e2"])
    assert idle_slots(session.coordinator) == 3
