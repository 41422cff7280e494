import itertools

import pytest

from amaranthferry.harm.digest import digest_request

REQUEST = {
    "method": "POST",
    "host": "desk.example",
    "target": "/pay/one?to=two",
    "prompt": "",
    "workspace": "field",
    "body": b"ten",
    "key": "shared",
}


def digest(**changes):
    return digest_request(**{**REQUEST, **changes})


def test_equal_requests_have_one_digest_on_all_hosts():
    assert digest() == digest(host="DESK.example")


@pytest.mark.parametrize(
    ("field", "other"),
    [
        ("method", "PUT"),
        ("host", "other.example"),
        ("target", "/pay/one"),
        ("prompt", "m aa bb"),
        ("workspace", "office"),
        ("body", b"eleven"),
        ("body", b""),
        ("key", "another"),
    ],
)
def test_requests_that_differ_have_different_digests(field, other):
    assert digest() != digest(**{field: other})


def test_bytes_that_move_between_head_and_body_change_the_digest():
    moved = [
        digest(workspace="field", body=b"ten"),
        digest(workspace="fiel", body=b"dten"),
        digest(workspace="fieldten", body=b""),
        digest(target="/pay/one?to=two\n\nfield", workspace="", body=b"ten"),
    ]
    assert all(one != other for one, other in itertools.combinations(moved, 2))
