import pytest

from amaranthferry.platform import headers


def test_terms_are_read():
    terms = headers.read_terms(
        {
            headers.ATTEMPT_ID: "a1",
            headers.DEADLINE: "1500",
            headers.TOKEN_USAGE: "1460,80",
            headers.PREFIX_HASH: "5c1e07a2:800,91bd3f06:410",
            headers.LENGTH_HINT: "30",
        }
    )
    assert terms.remaining == 1.5
    assert (terms.prompt_tokens, terms.output_tokens, terms.length_hint) == (
        1460,
        80,
        30,
    )
    assert [part.tokens for part in terms.parts] == [800, 410]


@pytest.mark.parametrize("text", ["", "x", "nan", "-5", "1e400", "12abc"])
def test_what_cannot_be_read_counts_as_not_given(text):
    terms = headers.read_terms(
        {headers.DEADLINE: text, headers.TOKEN_USAGE: text, headers.PREFIX_HASH: text}
    )
    assert terms.remaining is None
    assert terms.prompt_tokens == 0
    assert terms.parts == ()


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


def test_resumed_run_names_the_last_event():
    sent = headers.request_headers(
        [(headers.LAST_EVENT_ID, "3")],
        server="i-1",
        workspace="",
        remaining=1.0,
        last_event="7",
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
def test_only_a_servers_own_word_says_that_nothing_ran(fields, status, not_run):
    assert headers.read_marks(fields, status).not_executed is not_run
