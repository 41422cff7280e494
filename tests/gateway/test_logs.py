import ast
import json
import os
from pathlib import Path

from amaranthferry import gateway, replica
from amaranthferry.gateway.logs import (
    MAX_BUFFERED_BYTES,
    MAX_BUFFERED_LINES,
    LineWriter,
)
from amaranthferry.request_trace import STATE_EVENTS, build_trace, read_lines

SOURCES = sorted(
    path
    for package in (gateway, replica)
    for path in Path(package.__file__).parent.glob("*.py")
)


def test_stalled_reader_does_not_block_and_dropped_lines_are_logged():
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    for number in range(5_000):
        writer.msg(json.dumps({"event": "x", "number": number, "text": "y" * 200}))
    assert writer.dropped > 0
    os.set_blocking(reading, False)
    text = b""
    for _ in range(MAX_BUFFERED_LINES + 100):
        try:
            text += os.read(reading, 1 << 20)
        except BlockingIOError:
            break
        writer.msg('{"event": "later"}')
    lines = [json.loads(line) for line in text.split(b"\n")[:-1]]
    assert [line["number"] for line in lines[:50]] == list(range(50))
    assert "logs.dropped" in {line["event"] for line in lines}
    os.close(reading)
    os.close(writing)


def test_long_lines_for_a_stalled_reader_take_bounded_memory():
    """Guards against callers' heads, quoted in lines, that fill the memory."""
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    lines = [json.dumps({"event": "x", "attempt": "y" * 16_384})] * 300
    for line in lines:
        writer.msg(line)
    held = len(lines) - writer.dropped
    assert 1 < held * len(lines[0]) <= MAX_BUFFERED_BYTES + 2 * 65_536
    os.close(reading)
    os.close(writing)


def test_every_logged_event_is_a_log_event():
    for source in SOURCES:
        for node in ast.walk(ast.parse(source.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            target = ast.unparse(node.func)
            if target.startswith("_log.") or target == "self._log":
                argument = ast.unparse(node.args[0])
                assert argument.startswith("LogEvent.") or argument == "event", (
                    source.name,
                    argument,
                )


def test_state_events_of_a_request_trace_are_log_events():
    from amaranthferry.gateway.log_events import LogEvent

    assert set(STATE_EVENTS) <= {str(event) for event in LogEvent}


LINES = [
    {"timestamp": "1", "host": "a", "event": "config.applied", "version": 1},
    {"timestamp": "2", "host": "a", "event": "config.applied", "version": 2},
    {"timestamp": "2", "host": "b", "event": "config.applied", "version": 1},
    {"timestamp": "3", "host": "a", "event": "server.seen", "server": "s1"},
    {"timestamp": "5", "host": "b", "event": "permit.granted", "request_id": "r"},
    {
        "timestamp": "6",
        "host": "a",
        "event": "request.dispatched",
        "request_id": "r",
        "server": "s1",
    },
    {"timestamp": "7", "host": "a", "event": "config.applied", "version": 3},
    {"timestamp": "8", "host": "a", "event": "request.settled", "request_id": "r"},
    {"timestamp": "9", "host": "a", "event": "request.settled", "request_id": "q"},
]


def test_request_trace_joins_hosts_in_order_with_their_state(tmp_path):
    path = tmp_path / "log"
    path.write_text(
        "".join(f"12.5 edge-1 {json.dumps(line)}\n" for line in reversed(LINES))
        + "no json here\n{broken\n"
    )
    steps = build_trace(read_lines([path]), "r")
    assert [(s.host, s.event, s.context) for s in steps] == [
        ("b", "config.applied", True),
        ("b", "permit.granted", False),
        ("a", "config.applied", True),
        ("a", "request.dispatched", False),
        ("a", "server.seen", True),
        ("a", "request.settled", False),
    ]
    assert steps[2].fields == {"version": 2}


def test_request_trace_names_the_limits_that_a_request_was_refused_for():
    limited = {"event": "server.limited", "host": "a", "rate": 1.0}
    ended = {"event": "server.limit_ended", "host": "a"}
    refused = {"event": "request.settled", "host": "a", "request_id": "r"}
    lines = [
        {"timestamp": "1", "server": "s1", **limited},
        {"timestamp": "1", "server": "s2", **limited},
        {"timestamp": "1", "server": "s3", **limited, "host": "b"},
        {"timestamp": "2", "server": "s2", **ended},
        {"timestamp": "3", "reason": "server_limit", **refused},
    ]
    steps = build_trace(lines, "r")
    assert [(step.event, step.fields.get("server")) for step in steps] == [
        ("request.settled", None),
        ("server.limited", "s1"),
        ("server.limit_ended", "s2"),
    ]


def test_request_trace_leads_from_a_held_request_to_the_servers_that_ended_under_it():
    broken = {"event": "dispatch.broken", "process": "ended", "parts": []}
    lines = [
        {"timestamp": "1", "host": "a", **broken, "digest": "bad", "server": "s1"},
        {"timestamp": "2", "host": "b", **broken, "digest": "cc", "server": "s2"},
        {"timestamp": "3", "host": "c", **broken, "digest": "bad", "server": "s3"},
        {"timestamp": "4", "host": "a", "event": "part.held", "part": "bad"},
        {
            "timestamp": "5",
            "host": "d",
            "event": "request.held",
            "request_id": "r",
            "part": "bad",
        },
    ]
    steps = build_trace(lines, "r")
    assert [(step.event, step.fields.get("server")) for step in steps] == [
        ("request.held", None),
        ("dispatch.broken", "s1"),
        ("dispatch.broken", "s3"),
        ("part.held", None),
    ]


def test_request_trace_names_the_held_part_and_why_it_is_held():
    held = {"event": "part.held", "part": "bad", "ends": 3}
    other = {"event": "part.held", "part": "cc", "ends": 3}
    refused = {"event": "request.held", "request_id": "r", "part": "bad"}
    lines = [
        {"timestamp": "1", "host": "a", **held},
        {"timestamp": "1", "host": "a", **other},
        {"timestamp": "2", "host": "b", **refused},
    ]
    steps = build_trace(lines, "r")
    assert [step.event for step in steps] == ["request.held", "part.held"]
    assert steps[1].context
    assert steps[1].fields == {"part": "bad", "ends": 3}


def test_request_trace_shows_what_was_known_of_both_servers_of_a_second_run():
    held_off = {"event": "server.held_off", "host": "a"}
    hedged = {
        "event": "request.hedged",
        "host": "a",
        "request_id": "r",
        "first": "s1",
        "second": "s2",
        "reason": "slow",
        "winner": "second",
    }
    lines = [
        {"timestamp": "1", "server": "s1", **held_off},
        {"timestamp": "1", "server": "s2", **held_off},
        {"timestamp": "1", "server": "s3", **held_off},
        {"timestamp": "2", **hedged},
    ]
    steps = build_trace(lines, "r")
    assert [(step.event, step.fields.get("server")) for step in steps] == [
        ("request.hedged", None),
        ("server.held_off", "s1"),
        ("server.held_off", "s2"),
    ]
    assert "winner=second" in steps[0].text()
