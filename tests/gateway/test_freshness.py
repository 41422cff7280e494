from amaranthferry.gateway.freshness import STALENESS_SLACK, Freshness


def test_belief_is_as_old_as_the_read_behind_it():
    belief = Freshness(5.0)
    assert belief.age(1.0) is None
    assert not belief.is_current(1.0)
    belief.confirm(10.0)
    belief.confirm(8.0)
    assert belief.age(12.0) == 2.0


def test_belief_holds_up_to_its_bound():
    belief = Freshness(5.0)
    belief.confirm(10.0)
    assert belief.is_current(15.0 - STALENESS_SLACK - 0.01)
    assert not belief.is_current(15.0 - STALENESS_SLACK)


def test_host_says_sooner_that_others_are_better():
    belief = Freshness(5.0)
    belief.confirm(10.0)
    assert belief.is_ready(12.9)
    assert not belief.is_ready(13.0)
    assert belief.is_current(13.0)
