"""Play answers of all sizes against the memory that a host has for them."""

import random

from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.memory import (
    DEFAULT_LIMIT,
    SMALL_ANSWER_BYTES,
    AnswerMemory,
    MemoryBudget,
)

LIMIT = 1_000_000
SOUND_SIZE = 20_000
CHUNK = 50_000


class Reader:
    """Read one answer in chunks until it is complete or dropped."""

    def __init__(self, memory):
        self.answer = memory.hold(self._drop)
        self.drops = 0

    def _drop(self):
        self.drops += 1

    def read(self, size):
        return self.answer.grow(size)


def test_budget_of_a_host_without_a_limit_is_that_of_the_default():
    assert MemoryBudget.from_limit(0) == MemoryBudget(DEFAULT_LIMIT)
    assert MemoryBudget.from_limit(136_000_000).answers == 34_000_000


def test_answer_without_end_gives_way_to_sound_answers():
    memory = AnswerMemory(LIMIT)
    endless = Reader(memory)
    while not endless.drops:
        sound = Reader(memory)
        assert sound.read(SOUND_SIZE)
        sound.answer.complete()
        endless.read(CHUNK)
        assert memory.held <= LIMIT + CHUNK
        sound.answer.release()
    assert not endless.read(CHUNK)
    assert memory.held == 0


def test_many_answers_without_end_hold_no_more_than_the_limit():
    memory = AnswerMemory(LIMIT)
    endless = [Reader(memory) for _ in range(40)]
    rng = random.Random(1)
    sound = Reader(memory)
    for _ in range(2_000):
        rng.choice(endless).read(CHUNK)
        assert memory.held <= LIMIT
    assert sound.read(SOUND_SIZE)
    assert sum(reader.drops for reader in endless) > 20


def test_complete_answer_never_gives_way():
    memory = AnswerMemory(LIMIT)
    complete = Reader(memory)
    complete.read(LIMIT)
    complete.answer.complete()
    assert not Reader(memory).read(2 * SMALL_ANSWER_BYTES)
    assert complete.drops == 0


def test_small_answer_is_read_though_callers_hold_all_memory():
    memory = AnswerMemory(LIMIT)
    complete = Reader(memory)
    complete.read(LIMIT)
    complete.answer.complete()
    assert Reader(memory).read(SMALL_ANSWER_BYTES)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(["read", "complete", "release"]),
        st.integers(0, 2 * LIMIT),
    )
)


@given(STEPS)
def test_count_is_the_sum_of_what_is_held(steps):
    memory = AnswerMemory(LIMIT)
    readers = [Reader(memory) for _ in range(6)]
    complete, released = set(), set()
    for number, step, size in steps:
        reader = readers[number]
        if number in released:
            continue
        if step == "read" and number not in complete:
            reader.read(size)
        elif step == "complete" and not reader.drops:
            reader.answer.complete()
            complete.add(number)
        elif step == "release":
            reader.answer.release()
            released.add(number)
        held = [item.answer.size for item in readers]
        assert memory.held == sum(held)
        arriving = [n for n, size in enumerate(held) if size and n not in complete]
        small = sum(min(held[n], SMALL_ANSWER_BYTES) for n in arriving)
        kept = sum(held[n] for n in complete)
        assert memory.held <= max(LIMIT, kept + small)
