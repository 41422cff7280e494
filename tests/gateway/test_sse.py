import re

import pytest

from amaranthferry.gateway.sse import EventReader, ResumedRun, UnprovenEvent


def test_only_complete_events_pass_where_a_stream_may_resume():
    reader = EventReader(complete_only=True)
    assert reader.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert reader.last_event_id == "1"
    assert reader.partial_size == len(b"id: 2\nda")
    assert reader.is_inside_event
    assert reader.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert reader.last_event_id == "2"
    assert not reader.is_inside_event


@pytest.mark.parametrize("size", [1, 2, 5, 100])
def test_bytes_pass_unchanged_for_any_chunk_size(size):
    data = b"x-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    for complete_only in (True, False):
        reader = EventReader(complete_only=complete_only)
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        passed = b"".join(reader.feed(piece) for piece in pieces)
        assert passed == data
        assert reader.last_event_id == "2"


@pytest.mark.parametrize("size", [1, 2, 3, 100])
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
def test_whole_stream_ends_outside_an_event_for_any_line_end(size, end):
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".replace(b"\n", end)
    for complete_only in (True, False):
        reader = EventReader(complete_only=complete_only)
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        passed = b"".join(reader.feed(piece) for piece in pieces)
        assert not reader.is_inside_event
        assert passed + reader.finish() == data


@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
def test_stream_cut_at_any_byte_of_its_last_event_ends_inside_it(end):
    first = b"id: 1\ndata: a\n\n".replace(b"\n", end)
    last = b"id: 2\ndata: b\n\n".replace(b"\n", end)
    for cut in range(1, len(last) - len(end)):
        reader = EventReader(complete_only=True)
        assert reader.feed(first + last[:cut]) + reader.finish() == first + last[:cut]
        assert reader.is_inside_event, cut


def test_trailing_comment_and_blank_lines_are_no_event():
    reader = EventReader(complete_only=True)
    reader.feed(b"id: 1\n\n: ping\n\n\n: ping\n")
    assert not reader.is_inside_event
    assert reader.finish() == b": ping\n"


@pytest.mark.parametrize("size", range(1, 8))
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_resumed_run_is_cut_to_the_events_after_the_last_one(size, end):
    body = b"".join(b": note" + end + b"id: %d%b" % (n, end) for n in range(12))
    reader, resumed = EventReader(complete_only=True), ResumedRun("9")
    passed = b"".join(
        resumed.cut(reader.feed(body[at : at + size]))
        for at in range(0, len(body), size)
    )
    assert re.findall(rb"id: (\d+)", passed) == [b"10", b"11"]


@pytest.mark.parametrize("event", [b"data: 1\n\n", b"<html>\n\n", b"HTTP/1.1 500\n\n"])
def test_event_without_an_id_does_not_go_on_with_a_stream(event):
    resumed = ResumedRun("3")
    assert resumed.cut(b": note\n\n") == b""
    with pytest.raises(UnprovenEvent):
        resumed.cut(event)


def test_event_of_a_run_that_goes_on_needs_no_id():
    resumed = ResumedRun("3")
    assert resumed.cut(b"id: 4\n\n") == b"id: 4\n\n"
    assert resumed.cut(b"data: 1\n\n") == b"data: 1\n\n"


def test_ids_that_are_no_numbers_are_told_apart_from_the_last_one_only():
    assert ResumedRun("b").cut(b"id: b\n\nid: c\n\n") == b"id: c\n\n"
