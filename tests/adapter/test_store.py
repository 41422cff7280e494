import contextlib
import tracemalloc
from collections import deque

import msgspec
import pytest
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from amaranthferry.exceptions import AnswerLost, StoreUnavailable
from amaranthferry.http_connection import MAX_BODY_BYTES
from amaranthferry.platform.store import EraRefused, HistoryGone, StoreClient
from amaranthferry.standins.serving import UnframedResponse, serve


@contextlib.asynccontextmanager
async def client(*eras, pages=None):
    """Connect to a store whose answers carry the given eras in turn."""
    left = deque(eras)
    bodies = deque(pages or ())

    async def answer(request):
        era = left.popleft()
        headers = {} if era is None else {"Store-Era": str(era)}
        body = bodies.popleft() if bodies else {"entries": [], "at": 7}
        if request.method == "POST":
            body = {"metadata": {"name": "a", "revision": 8}}
        return JSONResponse(body, headers=headers)

    app = Starlette(routes=[Route("/{path:path}", answer, methods=["GET", "POST"])])
    async with serve(app) as url:
        store = StoreClient(url.removeprefix("http://"))
        store.seen = []
        store.on_era = lambda old, new: store.seen.append((old, new))
        yield store
        await store.stop()


async def test_first_era_is_no_change():
    async with client(3, 3) as store:
        assert (await store.list("servers")).position == (3, 7)
        assert (await store.list("servers")).era == 3
        assert store.seen == []


async def test_new_era_is_reported_once():
    async with client(3, 4, 4) as store:
        for _ in range(3):
            await store.list("servers")
        assert store.seen == [(3, 4)]


async def test_answer_without_the_header_is_of_the_known_era():
    async with client(None, 3, None) as store:
        found = [(await store.list("servers")).era for _ in range(3)]
        assert found == [0, 3, 3]


@pytest.mark.parametrize("era", [2, "x", "-4", "", "4.5", "9" * 40])
async def test_older_or_unreadable_era_is_refused(era):
    async with client(3, era, era, 3) as store:
        await store.list("servers")
        with pytest.raises(EraRefused):
            await store.list("servers")
        with pytest.raises(AnswerLost):
            await store.create("servers", "a", {})
        assert (await store.list("servers")).era == 3
        assert store.seen == []


async def test_list_across_a_restore_is_refused():
    first = {
        "entries": [{"metadata": {"name": "a", "revision": 3}}],
        "at": 9,
        "hasMore": True,
    }
    async with client(1, 2, pages=[first]) as store:
        with pytest.raises(StoreUnavailable):
            await store.list("servers")


@pytest.mark.parametrize("body", [b'{"metadata": {"na', b"", b"[]"])
async def test_write_whose_answer_is_cut_may_have_been_done(body):
    async def answer(request):
        async def chunks():
            yield body

        return UnframedResponse(chunks(), {})

    app = Starlette(routes=[Route("/{path:path}", answer, methods=["GET", "POST"])])
    async with serve(app) as url:
        store = StoreClient(url.removeprefix("http://"))
        with pytest.raises(AnswerLost):
            await store.create("servers", "a", {})
        with pytest.raises(StoreUnavailable):
            await store.list("servers")
        await store.stop()


def large_changes(count):
    """Return the answer with changes of a large configuration."""
    route = {"name": "r", "pathPrefix": "/more/", "type": "safe", "service": "s"}
    spec = msgspec.Raw(msgspec.json.encode({"version": 1, "routes": [route] * 4_000}))
    changes = [
        {"object": {"metadata": {"name": "main", "revision": number}, "spec": spec}}
        for number in range(count)
    ]
    return msgspec.json.encode({"events": changes, "at": count})


async def test_changes_too_many_to_read_at_once_are_listed_instead():
    bodies = [large_changes(2), large_changes(40)]
    left = deque(bodies)

    async def answer(request):
        return Response(left.popleft())

    app = Starlette(routes=[Route("/{path:path}", answer)])
    async with serve(app) as url:
        store = StoreClient(url.removeprefix("http://"))
        assert len((await store.watch("config", 0, wait=1.0)).events) == 2
        assert len(bodies[1]) < MAX_BODY_BYTES
        tracemalloc.start()
        with pytest.raises(HistoryGone):
            await store.watch("config", 0, wait=1.0)
        taken = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        # The stand-in is in this process and holds a copy, too.
        assert taken < 3 * len(bodies[1])
        await store.stop()
