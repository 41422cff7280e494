from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry.harm.ledger import HarmLedger
from amaranthferry.harm.subjects import Subjects, SubjectState
from amaranthferry.messages import ServerIncarnation
from amaranthferry.types import SubjectKind

HOSTS = ("a", "b", "c")
SERVICE = "service"
REQUESTS = st.integers(min_value=1, max_value=4)

#: What a host sees: a server ends under some requests, or a request is answered.
SIGHTS = st.one_of(
    st.tuples(
        st.just("end"),
        st.sampled_from(HOSTS),
        st.sets(REQUESTS, min_size=1),
        st.integers(min_value=1, max_value=6),
    ),
    st.tuples(
        st.just("answer"),
        st.sampled_from(HOSTS),
        st.sets(REQUESTS, min_size=1, max_size=1),
        st.just(0),
    ),
)
#: A message that is sent then, and may be lost or delivered twice.
MESSAGES = st.lists(
    st.tuples(
        st.sampled_from(HOSTS),
        st.sampled_from(HOSTS),
        st.integers(min_value=0, max_value=2),
    ),
    max_size=4,
)


def subjects(digest):
    return Subjects(SERVICE, "", (), digest)


def deliver(ledgers, sender, receiver, times, now):
    ledger = ledgers[sender]
    records = ledger.records(list(ledger._records), now)
    for _ in range(times):
        for record in records:
            ledgers[receiver].merge(record, sender, now)


def held(ledger):
    return {item.part for item in ledger.held_subjects(1_000.0)}


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(SIGHTS, MESSAGES), max_size=25))
def test_hosts_agree_on_what_is_held_whatever_messages_were_lost_or_doubled(steps):
    ledgers = {host: HarmLedger(host) for host in HOSTS}
    now = 10.0
    for (kind, host, digests, server), messages in steps:
        now += 0.5
        for digest in sorted(digests):
            if kind == "answer":
                ledgers[host].acquit_request(subjects(digest), "v", now)
            else:
                ledgers[host].accuse(
                    subjects(digest),
                    ServerIncarnation(f"s-{server}", server, "a:1"),
                    "v",
                    request_id=f"{host}-{digest}-{now}",
                    alone=(),
                    familiar=(),
                    now=now,
                    ran_for=0.05,
                )
        for sender, receiver, times in messages:
            deliver(ledgers, sender, receiver, times, now)
    # Each host compares its records with the others in the end.
    for _ in range(2):
        for sender in HOSTS:
            for receiver in HOSTS:
                deliver(ledgers, sender, receiver, 1, now)
    assert held(ledgers["a"]) == held(ledgers["b"]) == held(ledgers["c"])
    for ledger in ledgers.values():
        assert ledger.count(SubjectState.HELD, SubjectKind.REQUEST) == len(held(ledger))


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    culprit_ends=st.integers(min_value=3, max_value=8),
    beside=st.lists(st.sets(st.integers(min_value=2, max_value=9), max_size=3)),
)
def test_request_that_is_under_every_end_is_held_and_answered_ones_never(
    culprit_ends, beside
):
    ledger, now = HarmLedger("a"), 10.0
    for number in range(culprit_ends):
        now += 0.5
        innocents = beside[number] if number < len(beside) else set()
        for digest in {1, *innocents}:
            ledger.accuse(
                subjects(digest),
                ServerIncarnation(f"s-{number}", number, "a:1"),
                "v",
                request_id=f"{digest}-{number}",
                alone=(),
                familiar=(),
                now=now,
                ran_for=0.05,
            )
        now += 0.1
        for digest in innocents:
            ledger.acquit_request(subjects(digest), "v", now)
    assert held(ledger) == {"1"}
