import pytest

from amaranthferry.gateway.sse import EventReader


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
