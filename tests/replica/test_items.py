import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.platform import store
from amaranthferry.platform.desired import read_instance
from amaranthferry.replica.items import (
    NotSplittable,
    decode_items,
    split_items,
    split_members,
)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
#: Specs as another writer might leave them, read by no decoder or by a lenient one.
RAW_SPECS = st.sampled_from(
    [
        b"[" * 3_000 + b"]" * 3_000,
        b'{"a":' * 3_000 + b"1" + b"}" * 3_000,
        b"1e999",
        b"-1e999",
        b'{"born":%d}' % 2**64,
        b'{"version":%b}' % (b"9" * 6_000),
        b'{"slots":-0,"port":70000}',
        b"NaN",
        b'"\\ud800"',
        b'"\xff\xfe"',
        b'{"a":"\x01"}',
        b'{"a":1,"a":[2],"\\"}":","}',
    ]
) | VALUES.map(lambda value: json.dumps(value).encode())
ENTRY = {
    "service": "ledger",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "state": "ready",
    "slots": 4,
    "born": 1,
}


@given(st.lists(VALUES))
def test_items_of_a_list_are_split_as_they_are_written(values):
    parts = [json.dumps(value).encode() for value in values]
    found = split_items(b"[ " + b" ,\n".join(parts) + b" ]")
    assert [item.strip() for item in found] == parts


@given(st.dictionaries(st.sampled_from(["a", "b", "c:", "d,"]), VALUES))
def test_members_are_found_by_their_names(members):
    found = split_members(json.dumps(members).encode())
    assert [name.decode() for name in found] == list(members)
    assert [json.dumps(json.loads(value)) for value in found.values()] == [
        json.dumps(value) for value in members.values()
    ]


@pytest.mark.parametrize("document", [b"", b"[1", b'{"a":1', b"7", b'["\\'])
def test_document_without_an_end_is_not_split(document):
    with pytest.raises(NotSplittable):
        split_items(document)


def _object(name, revision, spec):
    return b'{"metadata":{"name":"%b","revision":%d},"spec":%b}' % (
        name,
        revision,
        spec,
    )


@given(st.lists(RAW_SPECS, max_size=4), st.integers(0, 4))
def test_each_sound_object_is_read_whatever_the_others_hold(odd, place):
    sound = _object(b"sound", 7, msgspec.json.encode(ENTRY))
    objects = [_object(b"odd-%d" % n, n + 1, spec) for n, spec in enumerate(odd)]
    objects.insert(min(place, len(objects)), sound)
    body = b'{"entries":[%b],"hasMore":false,"at":9}' % b",".join(objects)
    page, unreadable = decode_items(body, store._Page, "entries", store._read_object)
    assert (page.at, page.has_more) == (9, False)
    assert len(page.entries) == len(objects)
    for item in page.entries:
        instance = read_instance(item.name, item.spec)
        assert (instance is not None) == (item.name == "sound")
    assert {item.name for item in unreadable} <= {f"odd-{n}" for n in range(len(odd))}


@given(st.lists(RAW_SPECS, max_size=4))
def test_each_sound_change_is_read_whatever_the_others_hold(odd):
    events = [
        b'{"deleted":false,"object":%b}' % _object(b"odd-%d" % n, n, spec)
        for n, spec in enumerate(odd)
    ]
    events.append(b'{"deleted":true,"object":%b}' % _object(b"sound", 8, b"{}"))
    body = b'{"events":[%b],"at":9}' % b",".join(events)
    found, _ = decode_items(body, store._Events, "events", store._read_event)
    assert found.at == 9
    assert [c.object.name for c in found.events if c.deleted] == ["sound"]


def test_object_without_readable_metadata_is_left_out_and_counted():
    objects = [b'{"metadata":7,"spec":{}}', b"1e999", _object(b"sound", 1, b"{}")]
    body = b'{"entries":[%b],"at":9}' % b",".join(objects)
    page, unreadable = decode_items(body, store._Page, "entries", store._read_object)
    assert [item.name for item in page.entries] == ["sound"]
    assert [item.name for item in unreadable] == ["", ""]
