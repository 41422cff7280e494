"""Stand in for the platform's metadata store and its known faults."""

import asyncio
import time
from enum import StrEnum
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..types import Seconds
from .serving import drop_connection

MAX_WAIT: Seconds = 30.0
PAGE_SIZE = 500
HANG_DURATION: Seconds = 3_600.0
ERA_HEADER = "Store-Era"


class StoreFault(StrEnum):
    """Define how the store fails its calls."""

    NONE = "none"
    BUSY = "busy"
    LIMITED = "limited"
    RESET = "reset"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"
    #: Each watch is told that its history is gone.
    NO_HISTORY = "no_history"
    #: Watches that wait hear of no change.
    MUTE_WATCHES = "mute_watches"


_REFUSALS = {StoreFault.BUSY: 503, StoreFault.LIMITED: 429}
_WATCH_FAULTS = (StoreFault.NO_HISTORY, StoreFault.MUTE_WATCHES)


class _Object(msgspec.Struct):
    name: str
    revision: int
    spec: Any
    created: int
    status: Any = None

    def to_dict(self) -> dict[str, Any]:
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deletionPending": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


class _Change(msgspec.Struct):
    kind: str
    revision: int
    item: _Object
    deleted: bool
    made_at: Seconds = 0.0


class StoreView:
    """Serve a store at an address of its own, with faults of its own."""

    def __init__(self, store: "MetadataStore") -> None:
        self.fault = StoreFault.NONE
        self.delay: Seconds = 0.0
        self.app = Starlette(
            routes=[
                Route("/objects/{kind}", store.handle_kind, methods=["GET", "POST"]),
                Route(
                    "/objects/{kind}/{name}",
                    store.handle_object,
                    methods=["GET", "PUT", "DELETE"],
                ),
                Route(
                    "/objects/{kind}/{name}/status",
                    store.handle_status,
                    methods=["PUT"],
                ),
            ]
        )
        self.app.state.view = self


class MetadataStore:
    """Store objects by kind and name, and serve them over HTTP through `app`.

    A spec that is a `msgspec.Raw` is served as it is, whether it can be read or not.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.delay: Seconds = 0.0
        self.calls: list[tuple[str, str]] = []
        #: The statuses that have been written, with the kind and name of the object.
        self.statuses: list[tuple[str, str, Any]] = []
        self.era = 1
        self._revision = 1
        self._kinds: dict[str, dict[str, _Object]] = {}
        self._history: list[_Change] = []
        self._all_changes: list[_Change] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self.app = self.view().app

    def view(self) -> StoreView:
        """Return a view of the store that can be served at an address of its own."""
        return StoreView(self)

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as an operator or a server would."""
        self._revision += 1
        item = _Object(name, self._revision, spec, self._revision)
        self._kinds.setdefault(kind, {})[name] = item
        await self._record(_Change(kind, self._revision, item, deleted=False))

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object as a leaving server would."""
        item = self._kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._record(_Change(kind, self._revision, item, deleted=True))

    def compact_history(self) -> None:
        """Discard the change history; watches from an older revision get 410."""
        self._compacted_revision = self._revision
        self._history.clear()

    async def restore(self, *, age: Seconds) -> None:
        """Return to a copy of the given age; later changes are lost.

        Revisions after the copy are given out again, and the era rises by one.
        """
        copied_at = time.monotonic() - age
        kept = [c for c in self._all_changes if c.made_at <= copied_at]
        self._kinds.clear()
        for change in kept:
            objects = self._kinds.setdefault(change.kind, {})
            if change.deleted:
                objects.pop(change.item.name, None)
            else:
                objects[change.item.name] = change.item
        self._all_changes = kept
        self._revision = kept[-1].revision if kept else 1
        self._history = [c for c in self._history if c.revision <= self._revision]
        self._compacted_revision = min(self._compacted_revision, self._revision)
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    def objects(self, kind: str) -> dict[str, Any]:
        """Return the specs of a kind by name."""
        return {name: item.spec for name, item in self._kinds.get(kind, {}).items()}

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        return self._kinds[kind][name].status

    async def _record(self, change: _Change) -> None:
        change.made_at = time.monotonic()
        self._history.append(change)
        self._all_changes.append(change)
        async with self._changed:
            self._changed.notify_all()

    async def handle_kind(self, request: Request) -> Response:
        """Answer a call for the objects of a kind."""
        kind = request.path_params["kind"]
        if request.method == "POST":
            body = await request.json()
            return await self._answer(request, self._create(kind, body))
        if "watch" in request.query_params:
            return await self._answer(request, self._watch(kind, request))
        return await self._answer(request, self._list(kind, request))

    async def handle_object(self, request: Request) -> Response:
        """Answer a call for one object."""
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.method == "DELETE":
            return await self._answer(request, self._delete(kind, name))
        return await self._answer(request, self._get(kind, name))

    async def handle_status(self, request: Request) -> Response:
        """Answer a conditional write of an object's status."""
        kind, name = request.path_params["kind"], request.path_params["name"]
        body = await request.json()
        return await self._answer(request, self._put_status(kind, name, body))

    async def _answer(self, request: Request, operation: Any) -> Response:
        self.calls.append((request.method, request.url.path))
        view: StoreView = request.app.state.view
        await asyncio.sleep(self.delay + view.delay)
        fault = self._fault(view)
        if fault is StoreFault.LOSE_ANSWERS and request.method != "GET":
            await operation
            drop_connection(request)
            return Response(status_code=500)
        if fault in (StoreFault.NONE, StoreFault.LOSE_ANSWERS, *_WATCH_FAULTS):
            status, body = await operation
            if self._fault(view) is StoreFault.SILENT:
                return await self._fail(request, StoreFault.SILENT)
            return self._json(body, status)
        operation.close()
        return await self._fail(request, fault)

    def _fault(self, view: StoreView) -> StoreFault:
        return self.fault if self.fault is not StoreFault.NONE else view.fault

    def _json(self, body: Any, status: int) -> Response:
        return Response(
            msgspec.json.encode(body),
            status,
            headers={ERA_HEADER: str(self.era)},
            media_type="application/json",
        )

    async def _fail(self, request: Request, fault: StoreFault) -> Response:
        if fault is StoreFault.SILENT:
            await asyncio.sleep(HANG_DURATION)
        if fault is StoreFault.RESET:
            drop_connection(request)
        return self._json({"error": "unavailable"}, _REFUSALS.get(fault, 503))

    async def _list(self, kind: str, request: Request) -> tuple[int, Any]:
        after = request.query_params.get("sinceRevision", "")
        names = sorted(name for name in self._kinds.get(kind, {}) if name > after)
        page = names[:PAGE_SIZE]
        entries = [self._kinds[kind][name].to_dict() for name in page]
        more = len(names) > len(page)
        return 200, {"entries": entries, "hasMore": more, "at": self._revision}

    async def _get(self, kind: str, name: str) -> tuple[int, Any]:
        item = self._kinds.get(kind, {}).get(name)
        if item is None:
            return 404, {"error": "missing"}
        return 200, item.to_dict()

    async def _create(self, kind: str, body: Any) -> tuple[int, Any]:
        name = body["metadata"]["name"]
        if name in self._kinds.get(kind, {}):
            return 409, self._kinds[kind][name].to_dict()
        await self.put(kind, name, body.get("spec"))
        return 200, self._kinds[kind][name].to_dict()

    async def _put_status(self, kind: str, name: str, body: Any) -> tuple[int, Any]:
        item = self._kinds.get(kind, {}).get(name)
        if item is None:
            return 404, {"error": "missing"}
        if body["metadata"]["revision"] != item.revision:
            return 409, item.to_dict()
        self._revision += 1
        written = _Object(name, self._revision, item.spec, item.created, body["status"])
        self._kinds[kind][name] = written
        self.statuses.append((kind, name, body["status"]))
        await self._record(_Change(kind, self._revision, written, deleted=False))
        return 200, written.to_dict()

    async def _delete(self, kind: str, name: str) -> tuple[int, Any]:
        if name not in self._kinds.get(kind, {}):
            return 404, {"error": "missing"}
        await self.remove(kind, name)
        return 200, {}

    async def _watch(self, kind: str, request: Request) -> tuple[int, Any]:
        since = int(request.query_params["watch"])
        wait = min(MAX_WAIT, int(request.query_params.get("waitMs", "0")) / 1_000)
        era, view = self.era, request.app.state.view

        def heard() -> bool:
            faults = (self.fault, view.fault)
            if StoreFault.NO_HISTORY in faults:
                return True
            if StoreFault.MUTE_WATCHES in faults:
                return False
            return (
                era != self.era
                or not self._keeps(since)
                or bool(self._since(kind, since))
            )

        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(heard)
        except TimeoutError:
            pass
        lost = StoreFault.NO_HISTORY in (self.fault, view.fault)
        if lost or era != self.era or not self._keeps(since):
            return 410, {"error": "gone"}
        events = [
            {"object": change.item.to_dict(), "deleted": change.deleted}
            for change in self._since(kind, since)
        ]
        return 200, {"events": events, "at": self._revision}

    def _keeps(self, revision: int) -> bool:
        """Return whether the changes after a revision are known here."""
        return self._compacted_revision <= revision <= self._revision

    def _since(self, kind: str, revision: int) -> list[_Change]:
        return [c for c in self._history if c.kind == kind and c.revision > revision]
