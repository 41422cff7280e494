"""Stand in for a model engine that serves OpenAI chat completions."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from ..tokens import estimate_tokens, prefix_hashes
from ..types import ModelId, Seconds, Tokens
from .batch import Batch, Sequence
from .completions import Completion, CompletionRequest, prompt_text
from .placement import Placement
from .reports import CacheEventLog, LoadLog
from .serving import StallableApp, drop_connection


class EngineStandIn:
    """Run chat completions in a continuous batch that admits work as it arrives.

    `admitted` counts admitted requests by ID, `refused` those refused before
    admission. Rates are in tokens per second, intervals and lags in seconds.
    """

    def __init__(
        self,
        name: str,
        *,
        models: tuple[ModelId, ...],
        slots: int = 16,
        kv_tokens: Tokens = 200_000,
        prefill_rate: float = 8_000.0,
        decode_interval: Seconds = 0.02,
        cache_tokens: Tokens = 100_000,
        queue_limit: int = 10_000,
        max_answers: int = 1_000,
        load_lag: Seconds = 0.5,
        event_lag: Seconds = 0.5,
        drop_every_nth_event: int = 0,
        placement: Placement | None = None,
    ) -> None:
        self.name = name
        self.placement = placement or Placement(models)
        self.batch = Batch(
            slots=slots,
            kv_tokens=kv_tokens,
            cache_tokens=cache_tokens,
            prefill_rate=prefill_rate,
            decode_interval=decode_interval,
        )
        self.queue_limit = queue_limit
        self.max_answers = max_answers
        self.admitted: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.admitted_while_leaving: list[Seconds] = []
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.aborted_streams = 0
        self._leaving_since: Seconds | None = None
        self._slowdown = 1.0
        self._load_log = LoadLog(load_lag)
        self._event_log = CacheEventLog(event_lag, drop_every_nth_event)
        self._completions: dict[str, Completion] = {}
        self._step_task: asyncio.Task[None] | None = None
        self._generated_ids = itertools.count(1)
        self._app = StallableApp(self._build_app(), on_close=self._close)

    @property
    def app(self) -> StallableApp:
        """Return the ASGI application."""
        return self._app

    def slow_down(self, factor: float) -> None:
        """Multiply the duration of each step by a factor; 1 restores it."""
        self._slowdown = factor

    def stall_connections(self) -> None:
        """Stop sending on every open connection; new connections work."""
        self._app.stall_connections()

    def leave(self) -> None:
        """Announce that the engine is leaving; later requests are run and recorded."""
        self._leaving_since = time.monotonic()

    def abort_streams(self) -> None:
        """Abort every answer and drop all work, as a restart would."""
        self.batch.clear()
        for completion in self._completions.values():
            if not completion.ended:
                self.aborted_streams += 1
                completion.abort()
        self._completions.clear()

    def _build_app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/streams/{id}", self._resume, methods=["GET"]),
                Route("/v1/streams/{id}", self._cancel, methods=["DELETE"]),
                Route("/v1/models", self._models),
                Route("/load", self._load),
                Route("/cache-events", self._cache_events),
                Route("/orders", self._order, methods=["POST"]),
                Route("/seen", self._list_admitted),
            ]
        )

    def _close(self) -> None:
        if self._step_task is not None:
            self._step_task.cancel()

    async def _complete(self, request: Request) -> Response:
        request_id = request.headers.get("X-Request-Id")
        request_id = request_id or f"{self.name}-{next(self._generated_ids)}"
        try:
            completion_request = msgspec.json.decode(
                await request.body(), type=CompletionRequest
            )
        except msgspec.DecodeError as exc:
            return self._refuse(request_id, 400, str(exc))
        if completion_request.model not in self.placement.models:
            return self._refuse(
                request_id, 404, f"model {completion_request.model} is not loaded"
            )
        if len(self.batch.waiting) >= self.queue_limit:
            return self._refuse(
                request_id, 429, f"the queue limit of {self.queue_limit} is reached"
            )
        completion = self._admit(request_id, completion_request)
        return await self._answer(request, completion, 0)

    def _refuse(self, request_id: str, status: int, message: str) -> Response:
        self.refused[request_id] += 1
        error = {"error": {"message": message, "type": "refused", "code": status}}
        return _json(error, status=status, headers={"X-Not-Admitted": "true"})

    def _admit(
        self, request_id: str, completion_request: CompletionRequest
    ) -> Completion:
        self.admitted[request_id] += 1
        if self._leaving_since is not None:
            self.admitted_while_leaving.append(time.monotonic() - self._leaving_since)
        text = prompt_text(completion_request.messages)
        sequence = Sequence(
            request_id,
            estimate_tokens(text),
            completion_request.length(),
            (*prefix_hashes(text),),
        )
        completion = Completion(request_id, completion_request, sequence)
        self._completions[request_id] = completion
        self._evict_oldest()
        self.batch.add(sequence)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._step_until_idle())
        return completion

    def _evict_oldest(self) -> None:
        oldest = next(iter(self._completions))
        full = len(self._completions) > self.max_answers
        if full and self._completions[oldest].ended:
            del self._completions[oldest]

    async def _step_until_idle(self) -> None:
        while not self.batch.idle:
            step = self.batch.step()
            for sequence in step.admitted:
                self.cached_tokens += sequence.cached_tokens
                self._completions[sequence.request_id].start()
            await asyncio.sleep(step.duration * self._slowdown)
            for sequence in step.produced:
                self._emit_token(sequence)
            self._record_reports()

    def _emit_token(self, sequence: Sequence) -> None:
        completion = self._completions.get(sequence.request_id)
        if completion is None or completion.sequence is not sequence:
            return
        if sequence.produced == 1:
            self.prefill_tokens += sequence.prefilled
        completion.add_token(sequence.produced - 1)

    def _record_reports(self) -> None:
        now = time.monotonic()
        batch = self.batch
        self._load_log.record(
            now, len(batch.running), len(batch.waiting), batch.kv_used
        )
        for change in batch.changes:
            self._event_log.record(now, change)
        batch.changes.clear()

    async def _answer(
        self, request: Request, completion: Completion, offset: int
    ) -> Response:
        await completion.wait_started()

        async def body() -> AsyncIterator[bytes]:
            async for data in completion.read(offset):
                yield data
            if completion.aborted:
                drop_connection(request)

        return StreamingResponse(
            body(),
            media_type=completion.media_type,
            headers={"X-Cached-Tokens": str(completion.sequence.cached_tokens)},
        )

    async def _resume(self, request: Request) -> Response:
        completion = self._completions.get(request.path_params["id"])
        if completion is None:
            return Response(status_code=404)
        offset = int(request.query_params.get("offset", "0"))
        return await self._answer(request, completion, offset)

    async def _cancel(self, request: Request) -> Response:
        request_id = request.path_params["id"]
        completion = self._completions.pop(request_id, None)
        if completion is None:
            return Response(status_code=404)
        self.batch.remove(request_id)
        completion.abort()
        return Response(status_code=204)

    async def _models(self, request: Request) -> Response:
        models = [{"id": model, "object": "model"} for model in self.placement.models]
        return _json({"object": "list", "data": models})

    async def _load(self, request: Request) -> Response:
        report = self._load_log.report(time.monotonic())
        fields = msgspec.to_builtins(report) | msgspec.to_builtins(
            self.placement.state()
        )
        return _json(fields | {"leaving": self._leaving_since is not None})

    async def _cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        return _json({"events": self._event_log.after(after, time.monotonic())})

    async def _order(self, request: Request) -> Response:
        order = self.placement.decode(await request.body())
        in_progress = [c for c in self._completions.values() if not c.ended]
        result = await self.placement.apply(
            order, running=len(in_progress), abort_running=self.abort_streams
        )
        return _json({"result": result.text}, status=result.status)

    async def _list_admitted(self, request: Request) -> Response:
        return _json(dict(self.admitted))


def _json(
    value: object, *, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    body = msgspec.json.encode(value)
    return Response(body, status, headers, media_type="application/json")
