"""Play answers of all sizes against the memory that a host has for them."""

import random

from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.memory import (
    BODY_COST,
    DEFAULT_LIMIT,
    SMALL_ANSWER_BYTES,
    AnswerMemory,
    BodyMemory,
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
    assert MemoryBudget.from_limit(136_000_000).answers == 27_200_000


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


BODY_BYTES = 100_000


def test_bodies_are_read_in_the_order_of_their_arrival():
    memory, read = BodyMemory(4 * BODY_BYTES * BODY_COST), []
    rooms = [
        memory.reserve(BODY_BYTES, lambda number=number: read.append(number))
        for number in range(10)
    ]
    assert read == [0, 1, 2, 3]
    rooms[5].release()
    rooms[1].release()
    rooms[0].release()
    assert read == [0, 1, 2, 3, 4, 6]
    assert memory.held == 4 * BODY_BYTES * BODY_COST


def test_body_larger_than_all_room_is_read_alone():
    memory, read = BodyMemory(BODY_BYTES), []
    first = memory.reserve(10, lambda: read.append("small"))
    large = memory.reserve(5 * BODY_BYTES, lambda: read.append("large"))
    memory.reserve(10, lambda: read.append("next"))
    assert read == ["small"]
    first.release()
    assert read == ["small", "large"]
    large.release()
    assert read == ["small", "large", "next"]


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 3 * BODY_BYTES), st.integers(0, 20)),
        max_size=60,
    )
)
def test_load_of_bodies_holds_no_more_than_the_limit_and_none_waits_for_ever(steps):
    memory, rooms = BodyMemory(4 * BODY_BYTES), []
    for arrives, size, number in steps:
        if arrives:
            rooms.append(memory.reserve(size, lambda: None))
        elif rooms:
            rooms.pop(number % len(rooms)).release()
        held = [room.size for room in rooms if room.granted]
        assert memory.held == sum(held)
        assert memory.held <= memory.limit or len([s for s in held if s]) == 1
        waiting = [room for room in rooms if not room.granted]
        assert not waiting or memory.held
    while rooms:
        assert rooms[0].granted
        rooms.pop(0).release()
    assert memory.held == 0
