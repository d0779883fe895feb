"""Stand-in for a model engine; docs/ENGINE.md describes the protocol.

It uses continuous batching in small steps, caches prompt prefixes, schedules by
priority, and keeps a stream for a while after its caller disconnects.
``PUT /control`` makes it crash, freeze or drop a connection at a token position.
"""

import asyncio
import codecs
import os
import signal
import time
from collections import OrderedDict, deque

import attrs
import click
import msgspec
from aiohttp import web

from standins.model import Sampler, detokenize
from standins.serving import run_app

PREFIX_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4


class Body(msgspec.Struct, kw_only=True):
    """Request to run a generation; it continues after ``prior_token_ids``."""

    request_id: str
    attempt: int = 1
    model: str = ""
    version: str = ""
    adapter: str = ""
    prompt: str
    prior_token_ids: list[int] = []
    max_tokens: int = 4096
    temperature: float = 0.0
    seed: int = 0
    stop: list[str] = []
    priority: int = 10


class Control(msgspec.Struct, kw_only=True):
    """Faults to inject, set by ``PUT /control``.

    Attributes:
        die_at: Token position of a stream at which this process gets SIGKILL.
        freeze_at: Token position of a stream at which this process gets SIGSTOP.
        drop_at: Token position of a stream at which its connection is aborted.
        only: Substring of the prompts to which the three positions apply.
        refuse: Whether every new request is rejected.
        ignore_cancel: Whether cancel requests are answered but have no effect.
        draining: Whether every load report states that the engine is leaving.
    """

    die_at: int | None = None
    freeze_at: int | None = None
    drop_at: int | None = None
    only: str = ""
    refuse: bool = False
    ignore_cancel: bool = False
    draining: bool = False


class Order(msgspec.Struct, kw_only=True):
    """Fenced order to load or unload a version or adapter, or to change role."""

    fence: int
    kind: str
    value: str


@attrs.define(eq=False)
class Stream:
    """One stream: running, finished, or kept for a caller that disconnected.

    Times are in seconds on the monotonic clock.
    """

    body: Body
    sampler: Sampler
    attempt: int
    ready_at: float
    token_ids: list[int]
    events: list[bytes]
    first_position: int
    decoder: codecs.IncrementalDecoder
    text: str = ""
    text_sent: int = 0
    finished: bool = False
    detached_at: float | None = None
    finished_at: float = 0.0
    grew: asyncio.Event = attrs.field(factory=asyncio.Event)


class EngineStandin:
    """Engine state, decoding loop and HTTP handlers.

    Args:
        step: Interval between decoding steps, in seconds.
        max_batch: Maximum number of streams in one decoding step.
        prefill_rate: Prefill speed, in prompt tokens per second.
        prefixes: Maximum number of cached prompt prefixes.
        hold: Time for which a finished stream, or one whose caller
            disconnected, is kept, in seconds.
        report_lag: Age of the load that is reported, in seconds.
        version: Model version that is loaded at the start.
        checks_fencing: Whether orders with an old fence are rejected.
    """

    def __init__(
        self,
        *,
        step: float,
        max_batch: int,
        prefill_rate: float,
        prefixes: int,
        hold: float,
        report_lag: float,
        version: str,
        checks_fencing: bool,
    ) -> None:
        self.control = Control()
        self._step = step
        self._max_batch = max_batch
        self._prefill_rate = prefill_rate
        self._max_prefixes = prefixes
        self._hold = hold
        self._report_lag = report_lag
        self._version = version
        self._checks_fencing = checks_fencing
        self._streams_by_id: dict[str, Stream] = {}
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._cache_events: deque[dict] = deque(maxlen=1000)
        self._reports: deque[tuple[float, dict]] = deque(maxlen=1000)
        self._steps = 0
        self._fence = 0
        self._role = "serve"
        self._loaded: set[str] = {version}
        self.stats = {
            "generated": 0,
            "prefilled": 0,
            "prefix_hits": 0,
            "requests": 0,
            "cancelled": 0,
        }

    def build_app(self) -> web.Application:
        """Return the HTTP application; it also runs the decoding loop."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/completions", self.generate)
        app.router.add_get("/v1/streams/{id}", self.attach)
        app.router.add_delete("/v1/streams/{id}", self.cancel)
        app.router.add_get("/v1/load", self.load)
        app.router.add_get("/v1/cache-events", self.cache_events)
        app.router.add_post("/v1/orders", self.order)
        app.router.add_get("/v1/state", self.state)
        app.router.add_get("/control", self.read_control)
        app.router.add_put("/control", self.write_control)
        app.cleanup_ctx.append(self._run_loop)
        return app

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Run a request and stream its output.

        A newer attempt of a known request replaces its stream.
        """
        body = msgspec.json.decode(await request.read(), type=Body)
        if self.control.refuse or body.version not in self._loaded | {""}:
            raise web.HTTPServiceUnavailable
        # Callers that send no request id must not share one stream.
        body.request_id = body.request_id or f"anonymous-{self.stats['requests']}"
        known = self._streams_by_id.get(body.request_id)
        if known is not None and known.attempt >= body.attempt:
            raise web.HTTPConflict
        if known is not None:
            self._drop(known)
        self.stats["requests"] += 1
        stream = self._start(body)
        return await self._send(request, stream, stream.first_position)

    async def attach(self, request: web.Request) -> web.StreamResponse:
        """Resume a stream from a position, for a newer attempt."""
        stream = self._streams_by_id.get(request.match_info["id"])
        position = int(request.query["from"])
        if stream is None or position < stream.first_position:
            raise web.HTTPNotFound
        attempt = int(request.query["attempt"])
        if attempt <= stream.attempt:
            raise web.HTTPConflict
        stream.attempt = attempt
        return await self._send(request, stream, position)

    async def cancel(self, request: web.Request) -> web.Response:
        """Drop a stream, unless a newer attempt has resumed it."""
        stream = self._streams_by_id.get(request.match_info["id"])
        attempt = int(request.query["attempt"])
        if stream and stream.attempt <= attempt and not self.control.ignore_cancel:
            self._drop(stream)
            self.stats["cancelled"] += 1
        return web.json_response({})

    async def load(self, request: web.Request) -> web.Response:
        """Return the lagging load report with the current step counter."""
        row = {"step": self._steps, "draining": self.control.draining}
        return web.json_response(self._find_report() | row)

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a number; only the latest 1000 are kept."""
        after = int(request.query.get("after", "0"))
        rows = [row for row in self._cache_events if row["number"] > after]
        return web.json_response(rows)

    async def order(self, request: web.Request) -> web.Response:
        """Execute an order; reject an old fence if fences are checked."""
        order = msgspec.json.decode(await request.read(), type=Order)
        if self._checks_fencing and order.fence < self._fence:
            raise web.HTTPConflict(text=str(self._fence))
        self._fence = max(self._fence, order.fence)
        if order.kind == "load":
            self._loaded.add(order.value)
        elif order.kind == "unload":
            self._loaded.discard(order.value)
        else:
            self._role = order.value
        return await self.state(request)

    async def state(self, request: web.Request) -> web.Response:
        """Return the role, the loaded versions and the highest fence received."""
        row = {"role": self._role, "loaded": sorted(self._loaded), "fence": self._fence}
        return web.json_response(row)

    async def read_control(self, request: web.Request) -> web.Response:
        """Return the engine's counters, open streams and highest fence."""
        open_streams = sum(not s.finished for s in self._streams_by_id.values())
        return web.json_response(
            self.stats | {"open": open_streams, "fence": self._fence}
        )

    async def write_control(self, request: web.Request) -> web.Response:
        """Replace the faults to inject."""
        self.control = msgspec.json.decode(await request.read(), type=Control)
        return web.json_response({})

    def _find_report(self) -> dict[str, int]:
        """Return the newest load report that is at least ``report_lag`` old."""
        until = time.monotonic() - self._report_lag
        while len(self._reports) > 1 and self._reports[1][0] <= until:
            self._reports.popleft()
        report = {"running": 0, "queued": 0}
        if self._reports and self._reports[0][0] <= until:
            report = self._reports[0][1]
        return report

    def _describe_load(self, load: dict[str, int]) -> str:
        draining = int(self.control.draining)
        return f"{load['running']},{load['queued']},{self._steps},{draining}"

    def _start(self, body: Body) -> Stream:
        position = len(body.prior_token_ids)
        prefilled = self._prefill(body)
        stream = Stream(
            body=body,
            sampler=Sampler(
                prompt=body.prompt,
                temperature=body.temperature,
                prior=body.prior_token_ids,
            ),
            attempt=body.attempt,
            ready_at=time.monotonic() + prefilled / self._prefill_rate,
            token_ids=list(body.prior_token_ids),
            events=[],
            first_position=position,
            decoder=codecs.getincrementaldecoder("utf-8")("ignore"),
        )
        stream.text = stream.decoder.decode(detokenize(body.prior_token_ids))
        stream.text_sent = _count_sendable(stream)
        self._streams_by_id[body.request_id] = stream
        return stream

    def _prefill(self, body: Body) -> int:
        """Cache the prompt's prefix; return the number of tokens to prefill."""
        tokens = len(body.prompt) // CHARACTERS_PER_TOKEN + len(body.prior_token_ids)
        prefix = body.prompt[:PREFIX_CHARACTERS]
        if prefix in self._prefixes:
            self.stats["prefix_hits"] += 1
            tokens -= len(body.prompt) // CHARACTERS_PER_TOKEN
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        number = self._cache_events[-1]["number"] + 1 if self._cache_events else 1
        self._cache_events.append({"number": number, "stored": prefix[:32]})
        if len(self._prefixes) > self._max_prefixes:
            self._prefixes.popitem(last=False)
        self.stats["prefilled"] += tokens
        return tokens

    async def _send(
        self, request: web.Request, stream: Stream, position: int
    ) -> web.StreamResponse:
        load = self._find_report()
        headers = {
            "Content-Type": "text/event-stream",
            "X-Engine-Load": self._describe_load(load),
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        attempt = stream.attempt
        stream.detached_at = None
        sent = position - stream.first_position
        try:
            while stream.attempt == attempt:
                events = stream.events[sent:]
                sent += len(events)
                if events:
                    await response.write(b"".join(events))
                if self._should_drop_connection(stream):
                    await response.write(b'data: {"choices":[{"in')
                    request.transport.abort()
                    return response
                if stream.finished and sent >= len(stream.events):
                    await response.write(b"data: [DONE]\n\n")
                    return response
                stream.grew.clear()
                if sent >= len(stream.events):
                    await stream.grew.wait()
        except ConnectionError:
            if stream.attempt == attempt:
                stream.detached_at = time.monotonic()
        return response

    def _should_drop_connection(self, stream: Stream) -> bool:
        drop_at = self.control.drop_at
        if drop_at is None or self.control.only not in stream.body.prompt:
            return False
        if len(stream.token_ids) < drop_at:
            return False
        self.control.drop_at = None
        return True

    async def _run_loop(self, app: web.Application):
        task = asyncio.create_task(self._decode())
        yield
        task.cancel()

    async def _decode(self) -> None:
        next_step = time.monotonic()
        while True:
            now = time.monotonic()
            self._steps += 1
            running = self._pick_batch(now)
            for stream in running:
                self._advance(stream)
            self._drop_expired(now)
            waiting = sum(not s.finished for s in self._streams_by_id.values())
            report = {"running": len(running), "queued": waiting - len(running)}
            self._reports.append((now, report))
            next_step = max(next_step + self._step, now)
            await asyncio.sleep(next_step - time.monotonic())

    def _pick_batch(self, now: float) -> list[Stream]:
        ready = [
            stream
            for stream in self._streams_by_id.values()
            if not stream.finished and stream.ready_at <= now
        ]
        ready.sort(key=lambda stream: (stream.body.priority, stream.ready_at))
        return ready[: self._max_batch]

    def _advance(self, stream: Stream) -> None:
        position = len(stream.token_ids)
        token = stream.sampler.next_token(position)
        reason = None
        if token is None:
            reason = "stop"
            event_ids: list[int] = []
        else:
            stream.token_ids.append(token)
            event_ids = [token]
            stream.text += stream.decoder.decode(detokenize(event_ids))
            self.stats["generated"] += 1
            if len(stream.token_ids) >= stream.body.max_tokens:
                reason = "length"
        text, stopped = _cut_text(stream, at_end=reason is not None)
        if stopped:
            reason = "stop"
        self._emit(stream, position, event_ids, text, reason)
        self._inject_fault(stream)

    def _emit(
        self,
        stream: Stream,
        position: int,
        event_ids: list[int],
        text: str,
        reason: str | None,
    ) -> None:
        choice = {
            "index": 0,
            "text": text,
            "token_ids": event_ids,
            "text_offset": stream.text_sent,
            "position": position,
            "finish_reason": reason,
        }
        event = {"object": "text_completion", "choices": [choice]}
        if reason is not None:
            prompt_tokens = len(stream.body.prompt) // CHARACTERS_PER_TOKEN
            event["usage"] = {"prompt_tokens": prompt_tokens}
            stream.finished = True
            stream.finished_at = time.monotonic()
        stream.text_sent += len(text)
        stream.events.append(b"data: %b\n\n" % msgspec.json.encode(event))
        stream.grew.set()

    def _inject_fault(self, stream: Stream) -> None:
        if self.control.only not in stream.body.prompt:
            return
        position = len(stream.token_ids)
        if self.control.die_at is not None and position >= self.control.die_at:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.control.freeze_at is not None and position >= self.control.freeze_at:
            self.control.freeze_at = None
            os.kill(os.getpid(), signal.SIGSTOP)

    def _drop_expired(self, now: float) -> None:
        for stream in list(self._streams_by_id.values()):
            lost = stream.detached_at and now - stream.detached_at > self._hold
            done = stream.finished and now - stream.finished_at > self._hold
            if lost or done:
                self._drop(stream)

    def _drop(self, stream: Stream) -> None:
        stream.finished = True
        stream.finished_at = time.monotonic()
        stream.grew.set()
        self._streams_by_id.pop(stream.body.request_id, None)


def _count_sendable(stream: Stream) -> int:
    """Return the length of the text that cannot be the start of a stop string."""
    text = stream.text
    withheld = max(
        (
            size
            for stop in stream.body.stop
            for size in range(1, len(stop))
            if text.endswith(stop[:size])
        ),
        default=0,
    )
    return len(text) - withheld


def _cut_text(stream: Stream, *, at_end: bool) -> tuple[str, bool]:
    """Return the unsent text that may be sent, and whether a stop string was found."""
    found = [stream.text.find(stop, stream.text_sent) for stop in stream.body.stop]
    cuts = [position for position in found if position >= 0]
    if cuts:
        return stream.text[stream.text_sent : min(cuts)], True
    end = len(stream.text) if at_end else _count_sendable(stream)
    return stream.text[stream.text_sent : end], False


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--step", type=float, default=0.01)
@click.option("--max-batch", type=int, default=64)
@click.option("--prefill-rate", type=float, default=20_000)
@click.option("--prefixes", type=int, default=64)
@click.option("--hold", type=float, default=10.0)
@click.option("--report-lag", type=float, default=0.5)
@click.option("--version", default="1")
@click.option("--checks-fencing/--no-checks-fencing", default=True)
def main(port: int, **options: object) -> None:
    """Run the engine on a port."""
    run_app(lambda: EngineStandin(**options).build_app(), port)


if __name__ == "__main__":
    main()
