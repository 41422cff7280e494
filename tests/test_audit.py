import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from amaranthferry.audit import HOST_AUDIT_PATH, encode_entries, read_from_host
from amaranthferry.exceptions import AmaranthferryError, StoreUnavailable
from amaranthferry.root import AuditEntry
from amaranthferry.standins.serving import serve

ENTRIES = tuple(AuditEntry(n, n - 1, "ana", "when", f"n{n}") for n in (1, 2, 3))


def host(body):
    async def answer(request):
        allowed = request.headers.get("authorization") == "Bearer secret"
        return Response(body if allowed else b"", 200 if allowed else 401)

    return Starlette(routes=[Route(HOST_AUDIT_PATH, answer)])


async def test_host_entries_are_read_without_the_platform():
    async with serve(host(encode_entries(ENTRIES))) as url:
        trail = await read_from_host(url, operator_key="secret", limit=2)
    assert (trail.source, trail.entries) == (url, ENTRIES[1:])


@pytest.mark.parametrize(
    ("body", "key", "message"),
    [(b"[]", "wrong", "status 401"), (b"<html>", "secret", "malformed audit trail")],
)
async def test_invalid_response_raises_typed_error(body, key, message):
    async with serve(host(body)) as url:
        with pytest.raises(AmaranthferryError, match=message):
            await read_from_host(url, operator_key=key, limit=2)


async def test_unreachable_host_raises_typed_error():
    async with serve(host(b"[]")) as url:
        pass
    with pytest.raises(StoreUnavailable, match="can't be reached"):
        await read_from_host(url, operator_key="secret", limit=2)
