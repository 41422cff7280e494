import pytest

from amaranthferry.limits.server_rates import (
    MAX_INCARNATIONS,
    ServerRate,
    ServerRates,
)
from amaranthferry.messages import ServerIncarnation

SERVER = ServerIncarnation("s-0", 1, "s-0:1")


def named(rate, *, sent, seen, since=None, source="host-0"):
    since = seen if since is None else since
    return ServerRate(rate=rate, since=since, seen_at=seen, sent_at=sent, source=source)


def rates(*words):
    known = ServerRates()
    for word in words:
        known.learn(SERVER, word)
    return known


def rate_of(known):
    found = known.get(SERVER)
    return None if found is None else found.rate


def test_first_limit_counts_whenever_its_request_was_sent():
    assert rate_of(rates(named(2.0, sent=0.0, seen=9.0))) == 2.0


def test_lower_limit_counts_at_once():
    known = rates(named(8.0, sent=1.0, seen=2.0), named(1.5, sent=0.5, seen=2.1))
    assert rate_of(known) == 1.5


@pytest.mark.parametrize("rate", [8.0, None])
def test_answer_asked_for_before_the_limit_was_named_does_not_raise_or_end_it(rate):
    known = rates(named(1.5, sent=1.0, seen=2.0), named(rate, sent=1.9, seen=2.5))
    assert rate_of(known) == 1.5
    known.learn(SERVER, named(rate, sent=2.0, seen=2.6))
    assert rate_of(known) == rate


def test_late_answer_does_not_bring_an_ended_limit_back():
    known = rates(
        named(1.5, sent=1.0, seen=2.0),
        named(None, sent=3.0, seen=3.1),
        named(1.5, sent=2.9, seen=4.0),
    )
    assert rate_of(known) is None
    known.learn(SERVER, named(1.5, sent=3.2, seen=4.1))
    assert rate_of(known) == 1.5


def test_old_word_of_another_host_does_not_lower_a_limit_again():
    known = rates(
        named(1.0, sent=1.0, seen=2.0),
        named(8.0, sent=5.0, seen=5.1),
        named(1.0, sent=1.0, seen=3.0),
    )
    assert rate_of(known) == 8.0


def test_renewed_limit_is_no_change():
    known = rates(named(1.0, sent=1.0, seen=2.0))
    version = known.version
    assert not known.learn(SERVER, named(1.0, sent=3.0, seen=4.0))
    assert known.version == version
    assert known.get(SERVER).since == 2.0


def test_hosts_agree_on_the_first_time_that_a_limit_was_named():
    known = rates(named(1.0, sent=8.0, seen=9.0))
    version = known.version
    older = named(1.0, sent=1.0, seen=8.0, since=2.0)
    assert not known.learn(SERVER, older)
    assert known.get(SERVER).since == 2.0
    assert known.version == version + 1
    assert known.knows_better(SERVER, named(1.0, sent=8.0, seen=9.0))


def test_end_of_an_unknown_limit_is_not_remembered():
    known = rates(named(None, sent=1.0, seen=2.0))
    assert not known
    assert not known.knows_better(SERVER, named(None, sent=1.0, seen=2.0))


def test_words_pass_between_hosts_as_ages():
    word = named(1.0, sent=98.0, seen=99.0, since=90.0).word(SERVER, 100.0)
    assert ServerRate.from_word(word, 500.0) == named(
        1.0, sent=498.0, seen=499.0, since=490.0
    )


def test_oldest_incarnations_are_forgotten_first():
    known = ServerRates()
    for number in range(MAX_INCARNATIONS + 1):
        item = ServerIncarnation(f"s-{number}", 1, "x:1")
        known.learn(item, named(1.0, sent=0.0, seen=0.0))
    assert not known.is_limited(ServerIncarnation("s-0", 1, "x:1"))
    assert known.is_limited(item)
