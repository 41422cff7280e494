import pytest

from amaranthferry.harm.evidence import COMMON_CAUSE_TIME
from amaranthferry.harm.ledger import END_RETENTION, FAMILIAR_AGE, HarmLedger
from amaranthferry.harm.subjects import Subjects, SubjectState
from amaranthferry.messages import ServerIncarnation
from amaranthferry.types import SubjectKind

BAD, GOOD, OTHER = 0xBAD, 0x600D, 0x07E4
SYSTEM, DOCUMENT = 0x51, 0xD0C
RAN_FOR = 0.05


def request(digest, *parts):
    return Subjects("service", "", parts, digest)


class Host:
    """Feed the ledger of one host."""

    def __init__(self, name="host"):
        self.ledger = HarmLedger(name)
        self.now = 10.0
        self._ends = 0

    def end(self, *requests, after=1.0, ran_for=RAN_FOR, number=None):
        """Let a server end under requests."""
        self.now += after
        self._ends += 1
        number = number or self._ends
        for item in requests:
            self.ledger.accuse(
                item,
                ServerIncarnation(f"server-{number}", number, "a:1"),
                "v1",
                request_id=f"attempt-{self._ends}-{item.request}",
                alone=(),
                familiar=(),
                now=self.now,
                ran_for=ran_for,
            )

    def answer(self, item, *, after=0.0):
        self.now += after
        self.ledger.acquit_request(item, "v1", self.now)

    def holds(self, item, version="v1"):
        return self.ledger.hold(item, (version,), self.now) is not None

    def tell(self, other):
        """Send the records of accused subjects, as a message would."""
        sent = self.ledger.records(self.ledger.accused(100), self.now)
        return [other.ledger.merge(record, "host", other.now) for record in sent]


def test_request_is_held_after_the_second_end_that_accuses_no_other():
    host = Host()
    host.end(request(BAD))
    assert not host.holds(request(BAD))
    host.end(request(BAD))
    assert host.holds(request(BAD))
    assert not host.holds(request(GOOD))
    assert not host.holds(request(BAD), version="v2")


def test_request_that_was_never_apart_from_another_is_held_after_the_third_end():
    host = Host()
    for _ in range(2):
        host.end(request(BAD), request(GOOD))
        assert not host.holds(request(BAD))
    host.end(request(BAD), request(OTHER))
    assert host.holds(request(BAD))
    assert not host.holds(request(GOOD))
    assert not host.holds(request(OTHER))


def test_sound_answer_to_the_request_beside_it_singles_out_the_harmful_one():
    host = Host()
    for _ in range(2):
        host.end(request(BAD), request(GOOD))
        host.answer(request(GOOD))
    assert host.holds(request(BAD))
    assert not host.holds(request(GOOD))


def test_ends_under_a_held_request_accuse_no_other():
    host = Host()
    for _ in range(2):
        host.end(request(BAD))
    for _ in range(3):
        host.end(request(BAD), request(GOOD))
    assert not host.holds(request(GOOD))
    assert host.ledger.count(SubjectState.SUSPECTED, SubjectKind.REQUEST) == 0


def test_servers_that_end_at_the_same_moment_count_once():
    host = Host()
    for after in (1.0, COMMON_CAUSE_TIME / 4, COMMON_CAUSE_TIME / 4):
        host.end(request(GOOD), after=after, ran_for=1.0)
    assert not host.holds(request(GOOD))


@pytest.mark.parametrize("ran_for", [0.3, 0.5, 0.5000000001, 0.6])
def test_second_run_that_ends_its_server_at_once_counts(ran_for):
    host = Host()
    host.end(request(BAD))
    after = COMMON_CAUSE_TIME / 2
    host.end(request(BAD), after=after, ran_for=2 * ran_for * after)
    assert host.holds(request(BAD))


@pytest.mark.parametrize("before", [True, False])
def test_popular_request_is_not_held_however_often_servers_end(before):
    host = Host()
    for _ in range(10):
        if before:
            host.answer(request(GOOD), after=1.0)
        host.end(request(GOOD))
        if not before:
            host.answer(request(GOOD), after=1.0)
        assert not host.holds(request(GOOD))


def test_request_that_another_host_has_just_had_answered_is_not_held_on_any():
    answering, accusing = Host("a"), Host("b")
    answering.now = accusing.now = 10.0
    answering.answer(request(GOOD))
    for _ in range(2):
        accusing.end(request(GOOD), after=0.5)
        answering.now = accusing.now
        assert any(accusing.tell(answering))
        answering.tell(accusing)
    assert not accusing.holds(request(GOOD))
    assert not answering.holds(request(GOOD))


def test_request_that_began_to_end_servers_is_held_though_it_was_answered_before():
    host = Host()
    host.answer(request(BAD))
    host.end(request(BAD), after=1.0)
    for _ in range(2):
        host.end(request(BAD), after=FAMILIAR_AGE)
    assert host.holds(request(BAD))


def test_answered_trial_ends_the_hold():
    host = Host()
    for _ in range(2):
        host.end(request(BAD))
    host.answer(request(BAD))
    assert not host.holds(request(BAD))


def test_repeated_request_is_held_as_a_whole_and_its_prompt_parts_are_not():
    host = Host()
    repeated = request(BAD, SYSTEM, DOCUMENT)
    for _ in range(3):
        host.end(repeated)
    assert host.holds(repeated)
    assert not host.holds(request(GOOD, SYSTEM, DOCUMENT))


def test_harmful_part_is_held_though_each_request_with_it_ended_two_servers():
    host = Host()
    for digest in range(1, 5):
        for _ in range(2):
            host.end(request(digest, SYSTEM, DOCUMENT))
        host.ledger.acquit(request(0x100 + digest, SYSTEM), "v1", host.now)
    assert host.holds(request(GOOD, SYSTEM, DOCUMENT))
    assert not host.holds(request(GOOD, SYSTEM))


def test_verdict_does_not_depend_on_the_order_in_which_hosts_learn():
    hosts = [Host("a"), Host("b"), Host("c")]
    hosts[0].end(request(BAD), request(GOOD), number=1)
    hosts[1].end(request(BAD), after=1.5, number=2)
    hosts[1].now = hosts[2].now = hosts[0].now = 12.0
    for sender, receiver in ((0, 2), (1, 2), (2, 0), (2, 1), (1, 2)):
        hosts[sender].tell(hosts[receiver])
    assert not any(host.holds(request(BAD)) for host in hosts)
    hosts[0].answer(request(GOOD))
    for sender, receiver in ((0, 1), (1, 2), (2, 0)):
        records = hosts[sender].ledger.records(
            list(hosts[sender].ledger._records), hosts[sender].now
        )
        for record in records:
            hosts[receiver].ledger.merge(record, "host", hosts[receiver].now)
    assert all(host.holds(request(BAD)) for host in hosts)


def test_ends_of_another_service_say_nothing_about_a_request():
    host = Host()
    for number in range(3):
        other = Subjects("other", "", (), 0x100 + number)
        host.end(other)
    host.end(request(BAD))
    host.end(request(BAD))
    assert host.holds(request(BAD))


def test_two_ends_are_not_enough_where_servers_end_under_other_requests_too():
    host = Host()
    for number in range(3):
        host.end(request(0x100 + number))
    host.end(request(GOOD))
    host.end(request(GOOD))
    assert not host.holds(request(GOOD))
    host.end(request(GOOD))
    assert host.holds(request(GOOD))


@pytest.mark.parametrize(("services", "held"), [({"service"}, True), ((), False)])
def test_what_is_held_of_a_removed_service_is_forgotten(services, held):
    host = Host()
    host.end(request(BAD))
    host.end(request(BAD))
    host.now += END_RETENTION + 1
    host.ledger.expire(host.now, services)
    assert host.holds(request(BAD)) is held
