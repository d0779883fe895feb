"""A stand-in for the users' endpoints: plain calls, and streams with replicas."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs
from aiohttp import web

PROOF = "3e1b.07.5a2.600.0.c9f2a4d1"


@attrs.define(kw_only=True)
class RunnerFaults:
    """What a stand-in does wrong.

    Attributes:
        refusals: How many requests it still refuses unrun.
        break_after: After how many events of a stream it resets the connection.
        break_inside: Whether it breaks off inside an event.
        hang_after: After how many events of a stream it falls silent.
        lose_answers: How many answers of plain calls it loses after running them.
        own_status: The status of plain answers.
        no_proof: Whether its answers lack the proof.
        other_id: Whether its answers carry another request's id.
        encoding: The content encoding that its answers claim.
        extra: Bytes sent after each plain answer.
        unframed: Whether plain answers come without a length.
        answer_delay: How long a plain call takes, in seconds.
        first_delay: How long a stream's first event takes, in seconds.
        head_delay: How long the head of an answer takes, in seconds.
        report_delay: How long a report takes, in seconds.
        event_bytes: How many bytes more each event of a stream has.
        fatal_body: The body of a request that ends the endpoint when it is run; None
            for no such request.
        fatal_delay: How long it runs until then, in seconds.
        limit: The requests a second that its answers name as its limit; None for none.
        leaving: What its answers name as whether it leaves; None for nothing.
        rest: The seconds of rest that it asks each host for that it turns away; None
            for none. While it is set, it turns every request away.
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
    answer_delay: float = 0.0
    first_delay: float = 0.0
    head_delay: float = 0.0
    report_delay: float = 0.0
    event_bytes: int = 0
    fatal_body: bytes | None = None
    fatal_delay: float = 0.05
    limit: str | None = None
    leaving: str | None = None
    rest: str | None = None


class RunnerStandIn:
    """One endpoint.

    Args:
        name: Its id.
        events: How many events a stream has.
        gap: The time between two events, in seconds.
        find: Returns the stand-in at an address, to keep replicas there.
        on_crash: Called with the stand-in that a request has ended.
    """

    def __init__(
        self,
        name: str,
        *,
        events: int = 20,
        gap: float = 0.005,
        find: "Callable[[str], RunnerStandIn | None]" = lambda address: None,
        on_crash: "Callable[[RunnerStandIn], None]" = lambda runner: None,
    ) -> None:
        self.name = name
        self.events = events
        self.gap = gap
        self.faults = RunnerFaults()
        self.requests: list[web.Request] = []
        #: When they came, by the loop's time.
        self.requested_at: list[float] = []
        self.bodies: list[bytes] = []
        self.ran: list[str] = []
        self.replicas: dict[str, int] = {}
        self.copies: list[str] = []
        self.attached: list[str] = []
        self.prompts_read = 0
        self.kept_parts: list[str] = []
        self.closed_early = 0
        #: How many requests it works on, and how many reports it was asked for.
        self.working = 0
        self.reports = 0
        self.address = ""
        self.is_crashed = False
        self._find = find
        self._on_crash = on_crash
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._ending: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Listen on the loopback and return the address."""
        app = web.Application()
        app.router.add_post("/api/kv-move", self._copy)
        app.router.add_delete("/api/kv-handle/{handle}", self._drop)
        app.router.add_get("/api/report", self._report)
        app.router.add_get("/api/kv-events", self._tell_events)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.05, handler_cancellation=True
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening, and reset what is open."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def crash(self) -> None:
        """End at once, as a process that is killed: nothing is said or finished."""
        if self.is_crashed:
            return
        self.is_crashed = True
        self._reset_connections()
        # Not within the handler that is run: it is cancelled by this.
        self._ending = asyncio.create_task(self._end())
        self._on_crash(self)

    async def _end(self) -> None:
        await self._site.stop()
        self._reset_connections()
        await self.stop()

    def _reset_connections(self) -> None:
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def entry(self, service: str, **fields: Any) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "pilar",
            "version": "v1",
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
            return self._turn_away()
        self.working += 1
        try:
            await asyncio.sleep(self.faults.head_delay)
            is_stream = "X-Prefix-Hash" in request.headers
            if self.is_fatal(body):
                return await self._run_fatal(request, is_stream=is_stream)
            if is_stream:
                return await self._stream(request)
            return await self._call(request)
        finally:
            self.working -= 1

    def _turn_away(self) -> web.Response:
        headers = {"X-Not-Executed": "1"} | self._words()
        if self.faults.rest is not None:
            headers["Retry-After"] = self.faults.rest
        return web.Response(status=503, headers=headers)

    def _words(self) -> dict[str, str]:
        """Return what all its answers say of itself."""
        words = {
            "Server-Limit": self.faults.limit,
            "Server-Leaving": self.faults.leaving,
        }
        return {name: value for name, value in words.items() if value is not None}

    def _headers(self, request: web.Request) -> dict[str, str]:
        request_id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": "other" if self.faults.other_id else request_id}
        headers |= self._words()
        if not self.faults.no_proof:
            headers["X-Response-Stamp"] = PROOF
        if self.faults.encoding:
            headers["Content-Encoding"] = self.faults.encoding
        return headers

    def is_fatal(self, body: bytes) -> bool:
        """Return whether a request of this body ends the endpoint."""
        return body == self.faults.fatal_body

    async def _run_fatal(
        self, request: web.Request, *, is_stream: bool
    ) -> web.StreamResponse:
        """Begin to run a request, and end by it."""
        response = web.StreamResponse(headers=self._headers(request))
        await asyncio.sleep(self.faults.first_delay)
        self.ran.append(request.headers["X-Request-Id"])
        if is_stream:
            await response.prepare(request)
        await asyncio.sleep(self.faults.fatal_delay)
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
                return self._turn_away()
            self.attached.append(request_id)
        else:
            self.prompts_read += 1
            parts = request.headers["X-Prefix-Hash"].split(",")
            self.kept_parts += [part.partition(":")[0] for part in parts]
        replica = self._find(request.headers.get("X-Kv-Backup", ""))
        response = web.StreamResponse(
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
            if self.faults.hang_after == number - 1:
                await asyncio.sleep(3600)
            padding = "." * self.faults.event_bytes
            event = f"id: {number}\ndata: piece {number}{padding}\n\n"
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
        return web.json_response(report, headers=self._words())

    async def _tell_events(self, request: web.Request) -> web.Response:
        events = [
            [number, "+", "", part, 100, "m"]
            for number, part in enumerate(self.kept_parts)
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
        return web.json_response(answer, headers=self._words())

    async def _drop(self, request: web.Request) -> web.Response:
        handle = request.match_info["handle"]
        kept = {ref: n for ref, n in self.replicas.items() if not ref.endswith(handle)}
        self.replicas = kept
        return web.json_response({})
