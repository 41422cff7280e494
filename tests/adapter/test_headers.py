import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.platform import headers


def test_request_params_are_read():
    params = headers.read_request_params(
        {
            headers.ATTEMPT_ID: "a1",
            headers.DEADLINE: "1500",
            headers.TOKEN_USAGE: "1460,80",
            headers.PREFIX_HASH: "5c1e07a2:800,91bd3f06:410",
            headers.LENGTH_HINT: "30",
        }
    )
    assert params.remaining == 1.5
    assert (params.prompt_tokens, params.output_tokens, params.length_hint) == (
        1460,
        80,
        30,
    )
    assert [part.tokens for part in params.parts] == [800, 410]


@pytest.mark.parametrize("text", ["", "x", "nan", "-5", "1e400", "12abc"])
def test_malformed_values_count_as_absent(text):
    params = headers.read_request_params(
        {headers.DEADLINE: text, headers.TOKEN_USAGE: text, headers.PREFIX_HASH: text}
    )
    assert params.remaining is None
    assert params.prompt_tokens == 0
    assert params.parts == ()


def test_system_headers_replace_what_a_caller_sent():
    received = [
        ("host", "desk"),
        (headers.KEY, "secret"),
        (headers.TENANT, "other"),
        (headers.DEADLINE, "9"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("x-kept", "1"),
        ("x-kept", "2"),
        ("content-length", "3"),
        ("transfer-encoding", "chunked"),
    ]
    sent = headers.request_headers(
        received, server="i-1", workspace="field", remaining=1.2345
    )
    assert sent == [
        ("host", "desk"),
        ("x-kept", "1"),
        ("x-kept", "2"),
        (headers.DEADLINE, "1234"),
        (headers.EXPECT_INSTANCE, "i-1"),
        (headers.TENANT, "field"),
    ]


def test_resumed_dispatch_sends_the_last_event_id():
    sent = headers.request_headers(
        [(headers.LAST_EVENT_ID, "3")],
        server="i-1",
        workspace="",
        remaining=1.0,
        last_event_id="7",
    )
    assert [value for name, value in sent if name == headers.LAST_EVENT_ID] == ["7"]


@pytest.mark.parametrize(
    ("fields", "status", "not_run"),
    [
        ({headers.NOT_EXECUTED: "1"}, 503, True),
        ({}, 421, True),
        ({}, 503, False),
        ({}, 500, False),
    ],
)
def test_only_the_server_reports_that_nothing_ran(fields, status, not_run):
    assert headers.read_answer_origin(fields, status).not_executed is not_run


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("3", 3.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("900000", 900_000.0),
        ("", None),
        ("-3", None),
        ("+3", None),
        ("1e3", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("٣", None),
        ("9" * 40, None),
        ("Fri, 04 Dec 2026 07:31:30 GMT", None),
    ],
)
def test_only_plain_seconds_of_a_503_are_a_hold_off(value, seconds):
    fields = {headers.RETRY_AFTER: value}
    assert headers.read_answer_origin(fields, 503).hold_off == seconds
    for status in (200, 421, 429, 500):
        assert headers.read_answer_origin(fields, status).hold_off is None
    assert headers.read_answer_origin({}, 503).hold_off is None


@pytest.mark.parametrize(
    ("value", "leaving"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), ("true", False)],
)
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_server_leaves_only_by_the_value_1(value, leaving, status):
    fields = {headers.LEAVING: value}
    assert headers.read_answer_origin(fields, status).leaving is leaving
    assert not headers.read_answer_origin({}, status).leaving


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("1", 1.0),
        ("2.2", 2.2),
        (" 0.3 ", 0.3),
        ("0", 0.0),
        ("0.30000000000000004", 0.3),
    ],
)
def test_limit_of_a_server_is_read(text, rate):
    named = headers.read_limit([(headers.LIMIT, text), ("x", "1")])
    assert named.rate == pytest.approx(rate)
    assert named.unreadable is None


@pytest.mark.parametrize(
    "text",
    [
        "",
        "x",
        "-1",
        "+1",
        "nan",
        "inf",
        "1e400",
        "1e1",
        "1, 2",
        "0x10",
        "1_0",
        "1" * 4000,
    ]
    + ["1.", ".5", "\u0661"],
)
def test_value_that_is_no_limit_is_told_apart_from_none(text):
    named = headers.read_limit([(headers.LIMIT, text)])
    assert (named.rate, named.unreadable) == (None, text)


def test_header_that_comes_twice_names_no_limit():
    named = headers.read_limit([(headers.LIMIT, "1"), (headers.LIMIT, "1")])
    assert (named.rate, named.unreadable) == (None, "1, 1")


def test_answer_without_the_header_names_no_limit():
    assert headers.read_limit([("x", "1")]) == headers.NamedLimit()


header_pairs = st.lists(
    st.tuples(
        st.sampled_from(
            [headers.LIMIT, headers.LEAVING, headers.RETRY_AFTER, headers.SIGNATURE]
        ),
        st.text(max_size=30) | st.floats().map(str) | st.integers().map(str),
    ),
    max_size=6,
)


@given(header_pairs, st.sampled_from([200, 421, 500, 503]))
def test_whatever_a_server_says_of_itself_is_read_or_left_out(pairs, status):
    origin = headers.read_answer_origin(dict(pairs), status)
    named = headers.read_limit(pairs)
    for seconds in (named.rate, origin.hold_off):
        assert seconds is None or 0.0 <= seconds < 1e16
    limits = [value for name, value in pairs if name == headers.LIMIT]
    assert (named == headers.NamedLimit()) is (not limits)


@pytest.mark.parametrize(
    ("status", "fields", "own"),
    [
        (200, {headers.SIGNATURE: "s", headers.ATTEMPT_ID: "a"}, True),
        (200, {headers.ATTEMPT_ID: "a"}, False),
        (200, {headers.SIGNATURE: "s", headers.ATTEMPT_ID: "b"}, False),
        (503, {headers.NOT_EXECUTED: "1"}, True),
        (500, {headers.ATTEMPT_ID: "a"}, True),
        (421, {}, False),
    ],
)
def test_answer_of_another_server_at_the_address_is_told_apart(status, fields, own):
    origin = headers.read_answer_origin(fields, status)
    assert origin.is_of_server(call_attempt="a") is own
