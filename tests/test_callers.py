import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry.callers import (
    CallerDirectory,
    Work,
    read_idempotency_key,
    read_timeout,
)
from amaranthferry.config import WorkClass
from amaranthferry.embedded import MODEL, build_deployment
from amaranthferry.exceptions import RequestError
from amaranthferry.workloads import KYKLOS

CALLERS = CallerDirectory(build_deployment(KYKLOS, (), "127.0.0.1:3"))
WORK_CLASS = WorkClass("question", max_timeout=60.0)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(["text", "role", "content"]), inner)
    ),
    max_leaves=12,
)
BODIES = st.fixed_dictionaries(
    {"model": st.just(MODEL) | VALUES, "messages": VALUES},
    optional={"max_tokens": VALUES, "stream": VALUES, "tools": VALUES},
)
FUZZ_SETTINGS = settings(max_examples=200, derandomize=True, deadline=None)


def read_or_refuse(body):
    try:
        return CALLERS.read_chat(body, WORK_CLASS)
    except RequestError as exc:
        assert exc.remedy
        assert 400 <= exc.status < 500
        return None


@FUZZ_SETTINGS
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_read_or_refused_with_a_remedy(body):
    read_or_refuse(body)


@FUZZ_SETTINGS
@given(BODIES)
def test_arbitrary_document_is_read_or_refused_with_a_remedy(document):
    work = read_or_refuse(json.dumps(document).encode())
    assert work is None or (isinstance(work, Work) and work.output_tokens >= 1)


@pytest.mark.parametrize("tokens", [-5, 0, 10**7 + 1, 10**30])
def test_output_lengths_out_of_range_are_refused(tokens):
    messages = [{"role": "user", "content": "a"}]
    body = {"model": MODEL, "messages": messages, "max_tokens": tokens}
    assert read_or_refuse(json.dumps(body).encode()) is None


def test_deep_nesting_is_refused():
    assert read_or_refuse(b"[" * 100_000) is None


@FUZZ_SETTINGS
@given(st.text(max_size=30))
def test_arbitrary_timeout_is_in_range_or_refused(text):
    try:
        assert 0 < read_timeout({"request-timeout": text}, WORK_CLASS) <= 60.0
    except RequestError as exc:
        assert exc.code == "invalid_timeout"


def test_missing_key_is_refused_where_the_class_requires_one():
    with pytest.raises(RequestError):
        read_idempotency_key({}, WorkClass("entry", require_key=True))
