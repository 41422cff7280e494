import pytest

from amaranthferry.gateway.sse import EventReader


def test_only_complete_events_pass_where_a_stream_may_resume():
    reader = EventReader(complete_only=True)
    assert reader.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert reader.last_event_id == "1"
    assert reader.partial == b"id: 2\nda"
    assert reader.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert reader.last_event_id == "2"


@pytest.mark.parametrize("size", [1, 2, 5, 100])
def test_bytes_pass_unchanged_for_any_chunk_size(size):
    data = b"x-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    for complete_only in (True, False):
        reader = EventReader(complete_only=complete_only)
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        passed = b"".join(reader.feed(piece) for piece in pieces)
        assert passed == data
        assert reader.last_event_id == "2"
