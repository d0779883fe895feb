"""Stand-in for an endpoint: plain calls, and streams with replicas."""

import asyncio
import heapq
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import asynccontextmanager
from typing import Any

import attrs
from aiohttp import web

from passtally.unframed_response import UnframedResponse

#: Value of X-Response-Stamp, the proof that the endpoint ran the request.
PROOF = "3e1b.07.5a2.600.0.c9f2a4d1"
#: Maximum size of a request's body, in bytes.
MAX_BODY = 8 * 1024 * 1024
#: Rank of a request that states none; lower ones run first.
DEFAULT_RANK = 5


@attrs.define(kw_only=True)
class RunnerFaults:
    """Faults that a stand-in injects.

    Attributes:
        refusals: Number of next requests that are rejected without running them.
        break_after: Number of events after which a stream's connection is reset.
        break_inside: Whether the reset comes in the middle of an event.
        hang_after: Number of events after which a stream sends nothing more.
        lose_answers: Number of next plain calls that run but get no response.
        own_status: HTTP status of responses to plain calls.
        no_proof: Whether responses lack the X-Response-Stamp header.
        other_id: Whether responses carry the id of another request.
        encoding: Content-Encoding header of responses; empty for none.
        extra: Bytes sent after the body of each response to a plain call.
        unframed: Whether responses have neither a Content-Length nor chunks.
        close_after: Number of events after which a stream's connection is closed in
            order, as by a process that is killed.
        last_number: Number that a stream's last event has instead of its own, or None.
        answer_delay: Run time of a plain call, in seconds.
        first_delay: Delay of a stream's first event, in seconds.
        head_delay: Delay of the response head, in seconds.
        report_delay: Delay of a load report, in seconds.
        event_bytes: Number of padding bytes in each event of a stream.
        fatal_body: Body of a request that crashes the endpoint when it runs, or
            None.
        fatal_bodies: Bodies of further such requests.
        fatal_delay: Run time of such a request until the crash, in seconds.
        fatal_in_prefill: Whether the crash comes before the head of the response.
        limit: Server-Limit header of responses, in requests per second, or None.
        leaving: Server-Leaving header of responses, or None.
        rest: Retry-After header of rejections, in seconds, or None. While it is
            set, every request is rejected.
        slots: Number of requests that run at a time, or None for any number.
        queue: Number of further requests that wait; others are rejected.
        slowness_percent: Fourth figure of the X-Instance-Load header of responses, or
            None for no such header.
        brittle: Server-Brittle header of responses, or None. An endpoint with a number
            there that rejects more requests in a second crashes.
    """

    refusals: int = 0
    break_after: int | None = None
    break_inside: bool = False
    hang_after: int | None = None
    lose_answers: int = 0
    own_status: int = 200
    no_proof: bool = False
    other_id: bool = False
    encoding: str = ""
    extra: bytes = b""
    unframed: bool = False
    close_after: int | None = None
    last_number: int | None = None
    answer_delay: float = 0.0
    first_delay: float = 0.0
    head_delay: float = 0.0
    report_delay: float = 0.0
    event_bytes: int = 0
    fatal_body: bytes | None = None
    fatal_bodies: Collection[bytes] = ()
    fatal_delay: float = 0.05
    fatal_in_prefill: bool = False
    limit: str | None = None
    leaving: str | None = None
    rest: str | None = None
    slots: int | None = None
    queue: int = 0
    brittle: str | None = None
    slowness_percent: int | None = None


class RunnerStandIn:
    """Endpoint that records its requests and injects faults.

    Args:
        name: Endpoint id.
        events: Number of events in a stream.
        gap: Interval between two events, in seconds.
        find: Function that returns the stand-in at an address, or None; replicas
            are stored there.
        on_crash: Callback that receives this stand-in when it crashes.
        version: Version of its software.
        marks_version: Whether each event of a stream names the version.
    """

    def __init__(
        self,
        name: str,
        *,
        events: int = 20,
        gap: float = 0.005,
        find: "Callable[[str], RunnerStandIn | None]" = lambda address: None,
        on_crash: "Callable[[RunnerStandIn], None]" = lambda runner: None,
        version: str = "v1",
        marks_version: bool = False,
    ) -> None:
        self.name = name
        self.version = version
        self._mark = f" of {version}" if marks_version else ""
        self.events = events
        self.gap = gap
        self.faults = RunnerFaults()
        self.requests: list[web.Request] = []
        #: Arrival time of each request, in seconds of the event loop's time.
        self.requested_at: list[float] = []
        self.bodies: list[bytes] = []
        self.ran: list[str] = []
        self.replicas: dict[str, int] = {}
        self.copies: list[str] = []
        self.attached: list[str] = []
        self.prompts_read = 0
        self.cached_parts: list[str] = []
        self.closed_early = 0
        #: Number of requests in progress, and number of report requests received.
        self.working = 0
        self.reports = 0
        self._running = 0
        self._slot_freed = asyncio.Condition()
        self._waiting: list[tuple[int, int]] = []
        self._arrivals = itertools.count()
        #: Times of the rejections in the last second, by the event loop's clock.
        self._rejected_at: list[float] = []
        self.address = ""
        self.is_crashed = False
        #: Body of the request that crashed it, if one did.
        self.crashed_by = b""
        #: Called when a stream was closed after ``close_after`` events.
        self.on_close: Callable[[], Awaitable[None]] = _do_nothing
        self._find = find
        self._on_crash = on_crash
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._crash_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on a loopback port, a free one if it is 0, and return the address."""
        app = web.Application(client_max_size=MAX_BODY)
        app.router.add_post("/api/kv-move", self._copy)
        app.router.add_delete("/api/kv-handle/{handle}", self._drop)
        app.router.add_get("/api/report", self._report)
        app.router.add_get("/api/kv-events", self._list_cache_events)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.05, handler_cancellation=True
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", port)
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def stop_listening(self) -> None:
        """Refuse new connections, and keep those that are open."""
        await self._site.stop()

    def crash(self) -> None:
        """Reset all connections and stop, like a process that gets SIGKILL."""
        if self.is_crashed:
            return
        self.is_crashed = True
        self._reset_connections()
        # Runs in a task of its own: closing cancels the handler that called crash().
        self._crash_task = asyncio.create_task(self._close_after_crash())
        self._on_crash(self)

    async def _close_after_crash(self) -> None:
        await self._site.stop()
        self._reset_connections()
        await self.stop()

    def _reset_connections(self) -> None:
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def entry(self, service: str, **fields: Any) -> dict[str, Any]:
        """Return the endpoint's object in the store; fields override the defaults."""
        return {
            "service": service,
            "address": self.address,
            "zone": "pilar",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        } | fields

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.requests.append(request)
        self.requested_at.append(asyncio.get_running_loop().time())
        self.bodies.append(body)
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        if self.faults.refusals or self.faults.rest is not None:
            self.faults.refusals = max(self.faults.refusals - 1, 0)
            return self._reject()
        slots = self.faults.slots
        if slots is not None and self.working >= slots + self.faults.queue:
            return self._reject_for_lack_of_room()
        self.working += 1
        try:
            rank = int(request.headers.get("X-Request-Priority", DEFAULT_RANK))
            async with self._slot(rank):
                return await self._run(request, body)
        finally:
            self.working -= 1

    async def _run(self, request: web.Request, body: bytes) -> web.StreamResponse:
        await asyncio.sleep(self.faults.head_delay)
        is_stream = "X-Prefix-Hash" in request.headers
        if self.is_fatal(body):
            return await self._run_fatal(request, is_stream=is_stream)
        if is_stream:
            return await self._stream(request)
        return await self._call(request)

    @asynccontextmanager
    async def _slot(self, rank: int) -> AsyncIterator[None]:
        """Wait for a slot, in the order of the ranks and of arrival, and hold it."""
        place = (rank, next(self._arrivals))
        async with self._slot_freed:
            heapq.heappush(self._waiting, place)
            try:
                await self._slot_freed.wait_for(lambda: self._is_next(place))
                self._running += 1
            finally:
                self._waiting.remove(place)
                heapq.heapify(self._waiting)
                self._slot_freed.notify_all()
        try:
            yield
        finally:
            self._running -= 1
            async with self._slot_freed:
                self._slot_freed.notify_all()

    @property
    def busy_slots(self) -> int:
        """The number of requests that run now, without those that wait."""
        return self._running

    def _is_next(self, place: tuple[int, int]) -> bool:
        slots = self.faults.slots
        has_slot = slots is None or self._running < slots
        return has_slot and self._waiting[0] == place

    def _reject_for_lack_of_room(self) -> web.Response:
        """Reject a request; a brittle endpoint crashes after too many in a second."""
        now = asyncio.get_running_loop().time()
        self._rejected_at = [at for at in self._rejected_at if at > now - 1] + [now]
        borne = self.faults.brittle or ""
        if borne.isdigit() and len(self._rejected_at) > int(borne):
            self.crash()
        return self._reject()

    def _reject(self) -> web.Response:
        headers = {"X-Not-Executed": "1"} | self._directives()
        if self.faults.rest is not None:
            headers["Retry-After"] = self.faults.rest
        return web.Response(status=503, headers=headers)

    def _directives(self) -> dict[str, str]:
        """Return the directives in the heads of all responses."""
        directives = {
            "Server-Limit": self.faults.limit,
            "Server-Leaving": self.faults.leaving,
            "Server-Brittle": self.faults.brittle,
            "X-Instance-Load": self._load(),
        }
        return {name: value for name, value in directives.items() if value is not None}

    def _load(self) -> str | None:
        """Return the load that responses report, or None."""
        if self.faults.slowness_percent is None:
            return None
        figures = (
            self._running,
            len(self._waiting),
            self.faults.slots or 0,
            self.faults.slowness_percent,
        )
        return ",".join(map(str, figures))

    def _headers(self, request: web.Request) -> dict[str, str]:
        request_id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": "other" if self.faults.other_id else request_id}
        headers |= self._directives()
        if not self.faults.no_proof:
            headers["X-Response-Stamp"] = PROOF
        if self.faults.encoding:
            headers["Content-Encoding"] = self.faults.encoding
        return headers

    def is_fatal(self, body: bytes) -> bool:
        """Return whether running a request with this body crashes the endpoint."""
        return body == self.faults.fatal_body or body in self.faults.fatal_bodies

    async def _run_fatal(
        self, request: web.Request, *, is_stream: bool
    ) -> web.StreamResponse:
        """Start to run a request and crash after ``fatal_delay``."""
        response = web.StreamResponse(headers=self._headers(request))
        await asyncio.sleep(self.faults.first_delay)
        self.ran.append(request.headers["X-Request-Id"])
        if is_stream and not self.faults.fatal_in_prefill:
            await response.prepare(request)
        await asyncio.sleep(self.faults.fatal_delay)
        if not self.is_crashed:
            self.crashed_by = await request.read()
        self.crash()
        return response

    async def _call(self, request: web.Request) -> web.StreamResponse:
        self.ran.append(request.headers["X-Request-Id"])
        try:
            await asyncio.sleep(self.faults.answer_delay)
        except asyncio.CancelledError:
            self.closed_early += 1
            raise
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abort()
        headers = self._headers(request)
        body = f"{self.name} {request.raw_path}".encode()
        if not self.faults.unframed and not self.faults.extra:
            return web.Response(
                status=self.faults.own_status, headers=headers, body=body
            )
        lines = [f"HTTP/1.1 {self.faults.own_status} OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if not self.faults.unframed:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        request.transport.write(head + body + self.faults.extra)
        if self.faults.unframed:
            request.transport.close()
        await asyncio.sleep(0.05)
        request.transport.close()
        return web.Response()

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        start = int(request.headers.get("Last-Event-Id", "0"))
        source = request.headers.get("Kv-From")
        if source is not None:
            if self.replicas.pop(source, None) is None:
                return self._reject()
            self.attached.append(request_id)
        else:
            self.prompts_read += 1
            parts = request.headers["X-Prefix-Hash"].split(",")
            self.cached_parts += [part.partition(":")[0] for part in parts]
        replica = self._find(request.headers.get("X-Kv-Backup", ""))
        response_class = (
            UnframedResponse if self.faults.unframed else web.StreamResponse
        )
        response = response_class(
            headers=self._headers(request) | {"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        self.ran.append(request_id)
        try:
            await self._send_events(request, response, start, replica)
        except (ConnectionError, asyncio.CancelledError):
            self.closed_early += 1
            raise
        return response

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        start: int,
        replica: "RunnerStandIn | None",
    ) -> None:
        request_id = request.headers["X-Request-Id"]
        await asyncio.sleep(self.faults.first_delay)
        for number in range(start + 1, self.events + 1):
            if self.faults.break_after == number - 1:
                if self.faults.break_inside:
                    await response.write(f"id: {number}\ndata: ha".encode())
                    await asyncio.sleep(0.01)
                request.transport.abort()
                return
            if self.faults.close_after == number - 1:
                request.transport.close()
                await self.on_close()
                return
            if self.faults.hang_after == number - 1:
                await asyncio.sleep(3600)
            padding = "." * self.faults.event_bytes
            sent_number = number
            if number == self.events and self.faults.last_number is not None:
                sent_number = self.faults.last_number
            event = f"id: {sent_number}\ndata: piece {number}{self._mark}{padding}\n\n"
            await response.write(event.encode())
            if replica is not None:
                replica.replicas[f"{replica.address}/{request_id}"] = number
            await asyncio.sleep(self.gap)

    async def _report(self, request: web.Request) -> web.Response:
        self.reports += 1
        await asyncio.sleep(self.faults.report_delay)
        expected = request.headers.get("X-Expect-Instance", self.name)
        if expected != self.name:
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        report = {"models": [{"name": "m"}], "queued": 0, "runs": []}
        return web.json_response(report, headers=self._directives())

    async def _list_cache_events(self, request: web.Request) -> web.Response:
        events = [
            [number, "+", "", part, 100, "m"]
            for number, part in enumerate(self.cached_parts)
        ]
        return web.json_response(
            {"epoch": 1, "next_token": len(events), "lost": False, "events": events}
        )

    async def _copy(self, request: web.Request) -> web.Response:
        order = json.loads(await request.read())
        target = self._find(order["target_version"])
        if target is None:
            return web.Response(status=503)
        handle = f"h-{order['id']}"
        self.copies.append(order["id"])
        target.replicas[f"{self.address}/{handle}"] = 1
        answer = {"handle": handle, "created": 1}
        return web.json_response(answer, headers=self._directives())

    async def _drop(self, request: web.Request) -> web.Response:
        handle = request.match_info["handle"]
        remaining = {
            ref: n for ref, n in self.replicas.items() if not ref.endswith(handle)
        }
        self.replicas = remaining
        return web.json_response({})


async def _do_nothing() -> None:
    """Do nothing after a stream was closed."""
