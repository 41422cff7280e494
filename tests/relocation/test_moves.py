"""Play each way in which a move can end, with hosts and engines on loopback."""

import asyncio

import msgspec
import pytest

from amaranthferry.gateway import decisions, moving
from amaranthferry.relocation.messages import MoveReport
from amaranthferry.request_trace import build_trace
from amaranthferry.standins.moving import MoveFault

from .fleet import MAX_OVERLAP, MOVES, moving_fleet, numbers

EVENTS = 30
WHOLE = [(1, number) for number in range(EVENTS)]


async def move_one(running, *, events=2, before=lambda source, target: None):
    """Have one run move, and return what its caller gets, and the two engines."""
    caller = asyncio.create_task(running.read("a1"))
    source = await running.source_of("a1", events=events)
    target = running.target_of(source)
    before(source, target)
    running.propose("a1", source, target)
    result = await caller
    return result, source, target


def assert_whole(result, source, running):
    """Guard against lost, doubled and mixed events, and against a second answer."""
    status, signature, received, complete = result
    assert status == 200
    assert complete
    assert numbers(received) == WHOLE
    assert signature == f"signed-{source.name}"
    assert running.overlap() <= MAX_OVERLAP


async def test_run_goes_on_at_the_target_with_the_same_response():
    async with moving_fleet() as running:
        result, source, target = await move_one(running)
        assert_whole(result, source, running)
        assert source.calls == ["copy", "stop"]
        assert [work.server for work in running.group.work] == [
            source.name,
            target.name,
        ]
        assert target.executed[0].headers["last-event-id"]
        assert running.counts == {"moved": 1}
        # The coordinator has the permit nowhere once the run has ended.
        coordinator = next(iter(running.app.state.coordinators.values()))
        await running.wait_until(lambda: not len(coordinator.permits))
        assert not any(record.permits for record in coordinator.servers.values())


async def test_permit_is_at_the_target_while_the_run_goes_on_there():
    async with moving_fleet(events=60) as running:
        caller = asyncio.create_task(running.read("a1"))
        source = await running.source_of("a1")
        target = running.target_of(source)
        running.propose("a1", source, target)
        await running.source_of("a1")
        await running.wait_until(lambda: running.counts.get("moved"))
        assert running.app.state.requests["a1"].server == target.name
        await running.wait_until(lambda: len(permits_at(running, target)) == 1)
        assert not permits_at(running, source)
        assert (await caller)[3]


def permits_at(running, engine):
    coordinator = next(iter(running.app.state.coordinators.values()))
    return coordinator.servers[engine.name].permits


@pytest.mark.parametrize(
    "fault",
    [
        MoveFault.NOT_FOUND,
        MoveFault.BUSY,
        MoveFault.NO_ROOM,
        MoveFault.REFUSED,
        MoveFault.LOST_CALL,
        MoveFault.LOST_ANSWER,
    ],
)
async def test_run_stays_at_its_source_if_the_first_copy_fails(fault):
    async with moving_fleet() as running:

        def fail(source, target):
            source.copy_fault = fault

        result, source, target = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert source.calls == ["copy"]
        assert not target.executed
        assert running.counts == {"stayed": 1}


@pytest.mark.parametrize(
    "fault",
    [MoveFault.NOT_FOUND, MoveFault.BUSY, MoveFault.REFUSED, MoveFault.LOST_CALL],
)
async def test_run_stays_and_its_copy_is_freed_if_it_is_not_stopped(fault):
    async with moving_fleet() as running:

        def fail(source, target):
            source.stop_fault = fault

        result, source, target = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert not target.executed
        assert running.counts == {"stayed": 1}
        await running.wait_until(lambda: source.calls == ["copy", "stop", "free"])
        assert not source.copies


async def test_run_returns_to_its_source_if_the_last_copy_has_no_room():
    async with moving_fleet() as running:

        def fail(source, target):
            source.stop_fault = MoveFault.NO_ROOM

        result, source, target = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert not target.executed
        assert [work.server for work in running.group.work] == [source.name] * 2
        assert running.counts == {"returned": 1}


async def test_lost_answer_to_a_stop_is_asked_for_again():
    async with moving_fleet() as running:

        def fail(source, target):
            source.stop_fault = MoveFault.LOST_ANSWER

        result, source, _ = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert source.calls == ["copy", "stop", "stop"]
        assert running.counts == {"moved": 1}


async def test_run_returns_to_its_source_if_the_target_refuses_the_copy():
    async with moving_fleet() as running:

        def fail(source, target):
            target.refuses_copies = True

        result, source, _ = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert running.counts == {"returned": 1}


async def test_run_returns_to_its_source_if_the_target_does_not_answer():
    moves = MOVES | {"handleTtlS": 0.6}
    async with moving_fleet(moves=moves) as running:

        def fail(source, target):
            target.ignores_copies = True

        result, source, _ = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert running.counts == {"returned": 1}


async def fail_both(running):
    def fail(source, target):
        target.refuses_copies = source.refuses_copies = True

    return await move_one(running, before=fail)


async def test_stream_is_broken_off_if_no_engine_goes_on_with_the_run():
    async with moving_fleet() as running:
        (status, _, received, complete), source, _ = await fail_both(running)
        events = numbers(received)
        assert status == 200
        assert not complete
        assert events == WHOLE[: len(events)]
        assert len(source.executed) == 1
        assert running.counts == {"broken": 1}


async def test_resumable_stream_resumes_from_its_last_event_if_no_engine_goes_on():
    async with moving_fleet(resumable=True, attempts=2) as running:
        (_, _, received, complete), _, target = await fail_both(running)
        events = [number for _, number in numbers(received)]
        assert complete
        assert events == list(range(EVENTS))
        assert "kv-from" not in target.executed[-1].headers
        assert running.counts == {"broken": 1}
        assert running.overlap() <= MAX_OVERLAP


async def test_run_that_ends_during_the_copy_is_complete_and_its_copy_is_freed():
    async with moving_fleet(events=EVENTS) as running:

        def slow(source, target):
            source.copy_time = 0.7

        result, source, target = await move_one(running, before=slow)
        assert_whole(result, source, running)
        assert not target.executed
        await running.wait_until(lambda: not source.copies and "free" in source.calls)


async def test_caller_that_leaves_during_a_move_leaves_no_run_and_no_copy():
    async with moving_fleet() as running:
        caller = asyncio.create_task(running.read("a1", until=b"id: 4\n"))
        source = await running.source_of("a1")
        source.copy_time = 0.3
        running.propose("a1", source, running.target_of(source))
        await caller
        await running.wait_until(lambda: "free" in source.calls)
        await running.wait_until(lambda: not running.app.exchanges)
        assert not source.copies
        assert all(work.ended for work in running.group.work)
        assert len(running.group.work) == 1


async def test_expired_handle_breaks_off_the_stream_and_runs_nothing_again():
    async with moving_fleet() as running:
        running.group.handle_lifetime = 0.0
        (_, _, received, complete), source, target = await move_one(running)
        assert not complete
        assert numbers(received) == WHOLE[: len(numbers(received))]
        assert len(source.executed) + len(target.executed) == 1
        assert running.counts == {"broken": 1}


async def test_repeated_proposal_is_ignored_and_one_for_another_source_declined():
    async with moving_fleet() as running:

        def repeat(source, target):
            running.propose("a1", target, source)
            running.propose("a1", source, target)

        result, source, _ = await move_one(running, before=repeat)
        assert_whole(result, source, running)
        assert source.calls == ["copy", "stop"]
        assert running.counts == {"moved": 1}


async def test_host_that_stops_declines_moves_and_finishes_the_run():
    async with moving_fleet() as running:

        def stop(source, target):
            running.app.stopping = True

        result, source, target = await move_one(running, before=stop)
        assert_whole(result, source, running)
        assert source.calls == []
        assert running.counts == {"declined": 1}


async def test_run_moves_twice_and_back():
    async with moving_fleet(events=60) as running:
        caller = asyncio.create_task(running.read("a1"))
        source = await running.source_of("a1")
        target = running.target_of(source)
        running.propose("a1", source, target)
        await running.wait_until(lambda: running.counts.get("moved") == 1)
        await running.wait_until(lambda: len(target.runs) == 1)
        await asyncio.sleep(0.1)
        running.propose("a1", target, source)
        _, signature, received, complete = await caller
        assert complete
        assert numbers(received) == [(1, number) for number in range(60)]
        assert signature == f"signed-{source.name}"
        assert running.counts == {"moved": 2}
        assert running.overlap() <= MAX_OVERLAP


async def test_nothing_moves_where_the_engine_does_not_say_so():
    async with moving_fleet(moves={}) as running:
        result, source, target = await move_one(running)
        assert_whole(result, source, running)
        assert source.calls == []
        assert running.counts == {}


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        (MoveFault.NONE, "moved"),
        (MoveFault.NO_ROOM, "returned"),
        (MoveFault.LOST_ANSWER, "moved"),
        (MoveFault.NOT_FOUND, "stayed"),
    ],
)
async def test_unframed_stream_ends_as_complete_only_when_its_run_is(fault, outcome):
    """Its end at a stop looks like that of a complete stream."""
    async with moving_fleet() as running:
        for engine in running.engines:
            engine.unframed = True

        def fail(source, target):
            source.stop_fault = fault

        result, source, _ = await move_one(running, before=fail)
        assert_whole(result, source, running)
        assert running.counts == {outcome: 1}


async def test_run_returns_to_its_source_if_the_target_is_not_reached():
    async with moving_fleet() as running:
        caller = asyncio.create_task(running.read("a1"))
        source = await running.source_of("a1")
        target = running.target_of(source)
        running.group.engines["127.0.0.1:1"] = target
        servers = running.app.state.deployment.servers
        cfg = servers[target.name]
        servers[target.name] = msgspec.structs.replace(cfg, address="127.0.0.1:1")
        running.propose("a1", source, target)
        assert_whole(await caller, source, running)
        assert running.counts == {"returned": 1}


async def test_source_that_ends_after_the_stop_keeps_the_run_at_the_target():
    async with moving_fleet() as running:

        def forget(source, target):
            source.on_stopped = source.runs.clear

        result, source, _ = await move_one(running, before=forget)
        assert_whole(result, source, running)
        assert running.counts == {"moved": 1}


@pytest.mark.parametrize("resumable", [False, True])
async def test_target_that_ends_under_the_run_is_handled_as_any_server(resumable):
    attempts = 2 if resumable else 1
    async with moving_fleet(resumable=resumable, attempts=attempts) as running:

        def cut(source, target):
            target.cuts_after = 3

        (_, _, received, complete), source, _ = await move_one(running, before=cut)
        events = [number for _, number in numbers(received)]
        assert complete is resumable
        assert events == list(range(len(events)))
        assert (len(events) == EVENTS) is resumable
        assert len(running.group.work) == (3 if resumable else 2)


async def test_planned_stop_during_a_move_interrupts_nothing():
    async with moving_fleet() as running:
        caller = asyncio.create_task(running.read("a1"))
        source = await running.source_of("a1")
        source.copy_time = 0.1
        running.propose("a1", source, running.target_of(source))
        await running.wait_until(lambda: "copy" in source.calls)
        drain = asyncio.create_task(running.app.drain())
        assert_whole(await caller, source, running)
        assert running.counts == {"moved": 1}
        await drain


async def test_report_that_is_lost_is_made_up_for_by_the_next_progress():
    async with moving_fleet(events=80) as running:
        performer = running.app._performer
        perform = performer.perform

        def lose_reports(effect):
            if not isinstance(getattr(effect, "message", None), MoveReport):
                perform(effect)

        performer.perform = lose_reports
        caller = asyncio.create_task(running.read("a1"))
        source = await running.source_of("a1")
        target = running.target_of(source)
        running.propose("a1", source, target)
        await running.wait_until(lambda: running.counts.get("moved"))
        await running.wait_until(lambda: len(permits_at(running, target)) == 1)
        assert not permits_at(running, source)
        assert (await caller)[3]


class Lines:
    """Record log lines in the place of a logger."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append({"event": str(event), "host": "host-0", **fields})


@pytest.mark.parametrize("moves", [MOVES, {}])
async def test_run_at_an_engine_that_turns_slow_completes_only_by_a_move(
    moves, monkeypatch
):
    """The coordinator decides by itself, and explain-request tells of the move."""
    log = Lines()
    monkeypatch.setattr(moving, "_log", log)
    monkeypatch.setattr(decisions, "_log", log)
    async with moving_fleet(moves=moves, events=120) as running:
        caller = running.read("a1", deadline=6.0, tokens="100,600")
        reading = asyncio.create_task(caller)
        source = await running.source_of("a1")
        source.event_interval = 0.1
        _, _, received, complete = await reading
        assert complete is bool(moves)
        assert numbers(received) == [(1, n) for n in range(len(numbers(received)))]
        assert running.counts == ({"proposed": 1, "moved": 1} if moves else {})
    steps = [{"timestamp": f"{n:03}", **line} for n, line in enumerate(log.lines)]
    events = [step.event for step in build_trace(steps, "a1")]
    named = [event for event in events if event.startswith("move.")]
    assert named == (["move.proposed", "move.ended"] if moves else [])
