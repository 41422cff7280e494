import random

import pytest

from amaranthferry.harm.evidence import COMMON_CAUSE_TIME, MAX_ENDS, TRIAL_DELAYS
from amaranthferry.harm.ledger import (
    END_RETENTION,
    MAX_SOUND_SUBJECTS,
    MAX_SUBJECTS,
    HarmLedger,
)
from amaranthferry.harm.subjects import Subjects, SubjectState, shared_parts
from amaranthferry.harm.verdicts import (
    FAMILIAR_ALONE_ENDS,
    FAMILIAR_ENDS,
    HOLD_AFTER_ANY_ENDS,
)
from amaranthferry.messages import ServerIncarnation, SubjectId

BAD, SHARED, OTHER = 0xBAD, 0xAA, 0xBB


def prompt(*parts, pool="engines", model="m"):
    return Subjects(pool, model, parts)


class Evidence:
    """Feed one ledger with ends and sound answers."""

    def __init__(self, host="host-0"):
        self.ledger = HarmLedger(host)
        self.now = 10.0
        self.ends = 0

    def end(self, *prompts, version="", alone=None, after=1.0, familiar=()):
        """Let a server end under requests, by default run alone if suspected."""
        self.now += after
        self.ends += 1
        server = ServerIncarnation(f"s-{self.ends}", self.ends, "a:1")
        for number, item in enumerate(prompts):
            suspects = self.ledger.suspects(item, (version,))
            self.ledger.accuse(
                item,
                server,
                version,
                request_id=f"r-{self.ends}-{number}",
                alone=suspects if alone is None else alone,
                familiar=familiar,
                now=self.now,
            )

    def sound(self, item, *, version="", after=0.0):
        self.now += after
        self.ledger.acquit(item, version, self.now)

    def is_held(self, item, versions=("",)):
        return self.ledger.hold(item, versions, self.now) is not None


def test_part_is_held_after_three_ends():
    evidence = Evidence()
    for _ in range(2):
        evidence.end(prompt(SHARED, BAD))
        assert not evidence.is_held(prompt(SHARED, BAD))
        evidence.sound(prompt(SHARED, OTHER))
    evidence.end(prompt(SHARED, BAD))
    assert evidence.is_held(prompt(SHARED, BAD))
    assert not evidence.is_held(prompt(SHARED, OTHER))


@pytest.mark.parametrize("parts", [(BAD, SHARED), (SHARED, BAD), (BAD, SHARED, OTHER)])
def test_sound_prompts_that_share_the_other_parts_are_not_held(parts):
    evidence = Evidence()
    sound = prompt(*(part for part in parts if part != BAD))
    for _ in range(8):
        evidence.end(prompt(*parts), sound)
        evidence.sound(sound, after=0.2)
    assert evidence.is_held(prompt(*parts))
    assert not evidence.is_held(sound)


def test_parts_that_were_never_apart_are_held_only_together():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(OTHER, BAD))
    assert evidence.is_held(prompt(OTHER, BAD))
    assert not evidence.is_held(prompt(OTHER))
    assert not evidence.is_held(prompt(BAD))
    evidence.sound(prompt(OTHER))
    assert evidence.is_held(prompt(BAD))
    assert not evidence.is_held(prompt(OTHER))


def test_one_more_end_singles_out_the_part():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(OTHER, BAD))
    evidence.end(prompt(SHARED, BAD))
    assert evidence.is_held(prompt(BAD))
    assert not evidence.is_held(prompt(OTHER))


def test_part_of_unlike_requests_at_the_same_servers_does_not_shield_the_harmful_one():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(SHARED, BAD), prompt(OTHER))
    assert evidence.is_held(prompt(SHARED, BAD))


def test_two_harmful_parts_are_held_each_after_three_ends():
    evidence = Evidence()
    for _ in range(3):
        for part in (BAD, 0xBAD2):
            assert not evidence.is_held(prompt(SHARED, part))
            evidence.end(prompt(SHARED, part))
            evidence.sound(prompt(SHARED, OTHER))
    assert evidence.is_held(prompt(SHARED, BAD))
    assert evidence.is_held(prompt(SHARED, 0xBAD2))
    assert not evidence.is_held(prompt(SHARED, OTHER))


def test_servers_that_end_together_count_as_one_end():
    evidence = Evidence()
    for _ in range(12):
        evidence.end(prompt(SHARED), after=COMMON_CAUSE_TIME / 20)
    assert not evidence.is_held(prompt(SHARED))


def test_requests_that_did_not_run_alone_need_more_ends():
    evidence = Evidence()
    for number in range(HOLD_AFTER_ANY_ENDS):
        assert not evidence.is_held(prompt(BAD)), number
        evidence.end(prompt(BAD), after=0.2, alone=())
    assert evidence.is_held(prompt(BAD))


def test_one_request_alone_does_not_get_its_parts_held():
    evidence = Evidence()
    for number in range(8):
        evidence.ledger.accuse(
            prompt(BAD),
            ServerIncarnation(f"s-{number}", 1, "a:1"),
            "",
            request_id="r",
            alone=(BAD,),
            familiar=(),
            now=evidence.now + number,
        )
    assert not evidence.is_held(prompt(BAD))


def test_sound_answer_acquits_a_part_of_the_ends_before_it():
    evidence = Evidence()
    for _ in range(10):
        evidence.end(prompt(SHARED))
        evidence.end(prompt(SHARED))
        evidence.sound(prompt(SHARED))
    assert not evidence.is_held(prompt(SHARED))
    assert evidence.ledger.count(SubjectState.SUSPECTED) == 0


@pytest.mark.parametrize("scope", [{"model": "other"}, {"pool": "other"}])
def test_sound_answers_of_another_model_or_pool_say_nothing(scope):
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD))
        evidence.sound(prompt(BAD, **scope))
    assert evidence.is_held(prompt(BAD))
    assert not evidence.is_held(prompt(BAD, **scope))


def test_part_that_is_harmful_on_one_version_is_held_there_only():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD), version="1")
        evidence.sound(prompt(BAD), version="2")
    assert evidence.ledger.hold_at(prompt(BAD), "1", evidence.now)
    assert not evidence.is_held(prompt(BAD), versions=("1", "2"))
    assert evidence.is_held(prompt(BAD), versions=("1",))


def test_familiar_part_runs_freely_until_several_ends():
    evidence = Evidence()
    evidence.sound(prompt(SHARED))
    for number in range(FAMILIAR_ENDS):
        assert evidence.ledger.suspects(prompt(SHARED), ("",)) == frozenset(), number
        evidence.end(prompt(SHARED), after=0.5)
    assert evidence.ledger.suspects(prompt(SHARED), ("",)) == {SHARED}


def test_familiar_part_that_has_become_harmful_is_held():
    evidence = Evidence()
    for _ in range(20):
        evidence.sound(prompt(BAD), after=0.1)
    for _ in range(FAMILIAR_ENDS + FAMILIAR_ALONE_ENDS):
        assert not evidence.is_held(prompt(BAD))
        evidence.end(prompt(BAD))
    assert evidence.is_held(prompt(BAD))


def test_second_runs_of_two_requests_do_not_get_a_familiar_part_held():
    evidence = Evidence()
    evidence.sound(prompt(SHARED))
    for _ in range(FAMILIAR_ENDS):
        evidence.end(prompt(SHARED), after=0.5)
    for number in range(4):
        evidence.now += 0.5
        evidence.ledger.accuse(
            prompt(SHARED),
            ServerIncarnation(f"t-{number}", 1, "a:1"),
            "",
            request_id=f"twice-{number // 2}",
            alone=(SHARED,),
            familiar=(SHARED,),
            now=evidence.now,
        )
    assert not evidence.is_held(prompt(SHARED))


def test_ends_under_a_held_part_accuse_no_other_part():
    evidence = Evidence()
    evidence.sound(prompt(SHARED))
    for _ in range(3):
        evidence.end(prompt(SHARED, BAD), prompt(SHARED), prompt(OTHER), after=0.3)
    assert evidence.is_held(prompt(SHARED, BAD))
    assert evidence.ledger.count(SubjectState.SUSPECTED) == 0
    assert not evidence.is_held(prompt(SHARED))
    assert not evidence.is_held(prompt(OTHER))


def test_part_that_many_sound_requests_share_is_not_held_while_servers_end_fast():
    evidence = Evidence()
    evidence.sound(prompt(SHARED))
    for _ in range(6):
        evidence.end(prompt(SHARED), after=0.15, alone=())
    assert not evidence.is_held(prompt(SHARED))


def test_held_part_is_tried_again_after_growing_times_and_few_times():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD))
    part = SubjectId("engines", "m", "", BAD)
    for delay in TRIAL_DELAYS:
        assert not evidence.ledger.is_trial_due(part, evidence.now + delay - 0.1)
        evidence.now += delay
        assert evidence.ledger.is_trial_due(part, evidence.now)
        evidence.ledger.start_trial(part, evidence.now)
    assert not evidence.ledger.is_trial_due(part, evidence.now + 1e9)
    assert evidence.is_held(prompt(BAD))


def test_sound_trial_ends_the_hold():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD))
    evidence.sound(prompt(BAD), after=60.0)
    assert not evidence.is_held(prompt(BAD))


def test_operator_lifts_a_hold_and_new_ends_renew_it():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD))
    assert evidence.ledger.lift(BAD, evidence.now) == 1
    assert not evidence.is_held(prompt(BAD))
    for _ in range(3):
        evidence.end(prompt(BAD))
    assert evidence.is_held(prompt(BAD))


def test_last_part_of_a_prompt_is_its_own():
    assert shared_parts((1, 2, 3), (10, 20, 30)) == (1, 2)
    assert shared_parts((1, 2, 3), ()) == (1, 2, 3)


def random_evidence(seed, host, servers):
    """Return a ledger that has seen some of the same ends and sound answers."""
    rng = random.Random(seed)
    ledger = HarmLedger(host)
    for number, server in enumerate(servers):
        if rng.random() < 0.6:
            parts = rng.sample([BAD, SHARED, OTHER], rng.randint(1, 3))
            at = 10.0 + number
            ledger.accuse(
                prompt(*parts),
                server,
                "",
                request_id=f"{host}-{number}",
                alone=rng.choice([(), (BAD, SHARED)]),
                familiar=rng.choice([(), (SHARED,)]),
                now=at,
            )
        if rng.random() < 0.3:
            ledger.acquit(prompt(rng.choice([SHARED, OTHER])), "", 10.5 + number)
    return ledger


def content(ledger):
    records = ledger.records(list(ledger._records), 100.0)
    return {
        record.subject: {
            end.incarnation: (
                end.request_id,
                end.alone,
                end.familiar,
                end.acquitted,
                end.companions,
            )
            for end in record.ends
        }
        for record in records
    }


@pytest.mark.parametrize("seed", range(30))
def test_lost_doubled_and_reordered_records_lead_to_the_same_belief(seed):
    rng = random.Random(seed)
    servers = [ServerIncarnation(f"s-{n}", n, "a:1") for n in range(8)]
    ledgers = [random_evidence(f"{seed}-{n}", f"h-{n}", servers) for n in range(4)]
    messages = [
        record
        for ledger in ledgers
        for record in ledger.records(list(ledger._records), 100.0)
    ]
    for ledger in ledgers:
        order = messages * 2
        rng.shuffle(order)
        for record in order:
            ledger.merge(record, "sender", 100.0 + rng.random())
    first, *others = [content(ledger) for ledger in ledgers]
    assert all(other == first for other in others)
    for ledger in ledgers:
        assert not any(ledger.merge(record, "sender", 101.0) for record in messages)
    final = ledgers[0].records(list(ledgers[0]._records), 101.0)
    assert not any(ledger.lacks(record) for ledger in ledgers for record in final)


def test_same_end_seen_by_several_hosts_counts_once():
    server = ServerIncarnation("s-0", 1, "a:1")
    ledgers = [HarmLedger(f"h-{number}") for number in range(5)]
    for number, ledger in enumerate(ledgers):
        ledger.accuse(
            prompt(BAD),
            server,
            "",
            request_id=f"r-{number}",
            alone=(),
            familiar=(),
            now=10.0 + number,
        )
    for ledger in ledgers[1:]:
        (record,) = ledger.records([SubjectId("engines", "m", "", BAD)], 20.0)
        ledgers[0].merge(record, "sender", 20.0)
    (record,) = ledgers[0].records([SubjectId("engines", "m", "", BAD)], 20.0)
    assert len(record.ends) == 1


def test_ends_without_consequence_are_forgotten_and_holds_are_kept():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD))
    evidence.end(prompt(OTHER))
    evidence.now += END_RETENTION + 1
    evidence.ledger.expire(evidence.now, {"engines"})
    assert len(evidence.ledger) == 1
    assert evidence.is_held(prompt(BAD))


def test_memory_is_bounded_and_holds_outlast_a_flood_of_parts():
    evidence = Evidence()
    for _ in range(3):
        evidence.end(prompt(BAD))
    for number in range(3 * MAX_SUBJECTS):
        evidence.end(prompt(1_000_000 + number), after=0.01)
        evidence.sound(prompt(2_000_000 + number))
    for _ in range(3 * MAX_ENDS):
        evidence.end(prompt(BAD))
    evidence.ledger.expire(evidence.now, {"engines"})
    assert len(evidence.ledger) <= MAX_SUBJECTS
    assert len(evidence.ledger._sound_at) <= MAX_SOUND_SUBJECTS
    part = SubjectId("engines", "m", "", BAD)
    (record,) = evidence.ledger.records([part], evidence.now)
    assert len(record.ends) <= MAX_ENDS
    assert evidence.is_held(prompt(BAD))
