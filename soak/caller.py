"""Callers that reuse connections, disconnect at times and retry at other hosts."""

import asyncio
import itertools
import random
import re
from collections.abc import Callable, Mapping

import attrs
import h11

from soak.evidence import Evidence, RequestOutcome, TryOutcome, find_problem, now
from soak.joined_streams import StreamTry
from standins.platform_config import KEY

READ_BYTES = 1 << 16
#: Timeout and deadline of each request, in seconds.
ANSWER_TIMEOUT_SECONDS = 6.0
#: Share of requests whose caller disconnects before the answer is complete.
DISCONNECT_SHARE = 0.05
#: Share of complete answers after which the connection is kept for the next request.
KEEP_ALIVE_SHARE = 0.7
#: Number of tries of a request, including resumptions of a stream, before its caller
#: gives up.
MAX_TRIES = 6
#: Delay between two tries of a request, in seconds.
RETRY_DELAY_SECONDS = 0.05

_PATHS_BY_KIND = {"stream": "/draft/1", "call": "/look/1", "booking": "/book/1"}
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\w+)\n\n")
_numbers = itertools.count(1)


@attrs.define(kw_only=True)
class _Connection:
    """A connection to a host, for one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection

    @property
    def is_closed(self) -> bool:
        """Whether the host has closed the connection, or it has failed."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def close(self) -> None:
        self.writer.transport.abort()


@attrs.define(kw_only=True)
class _Answer:
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False
    caller_left: bool = False


@attrs.define(kw_only=True)
class _Stream:
    """What a caller has received of a stream, over all its tries.

    Attributes:
        position: The number of the last event received in order.
        first_id: The id of the try that brought the first event; empty before it.
        version: The software version of the first event; empty before it.
    """

    position: int = 0
    first_id: str = ""
    version: str = ""


class Caller:
    """Sends requests of one kind, one at a time, and records every try.

    Args:
        kind: ``stream``, ``call`` or ``booking``.
        addresses_by_host: Returns the address for callers of each host.
        evidence: The record for its tries and requests.
        rng: The generator of its choices: hosts, delays, disconnects.
        events: Number of events in a complete stream.
        disconnects: Whether it leaves some requests before the end.
        key: The key of its workspace.
    """

    def __init__(
        self,
        *,
        kind: str,
        addresses_by_host: Callable[[], Mapping[str, tuple[str, int]]],
        evidence: Evidence,
        rng: random.Random,
        events: int,
        disconnects: bool = True,
        key: str = KEY,
    ) -> None:
        self._disconnects = disconnects
        self._key = key
        self._kind = kind
        self._addresses_by_host = addresses_by_host
        self._evidence = evidence
        self._rng = rng
        self._events = events
        self._idle_connections: dict[str, _Connection] = {}
        self.served = 0

    async def run(self) -> None:
        """Send requests until cancelled, at random intervals of up to 0.3 s."""
        while True:
            await self.send_request()
            await asyncio.sleep(self._rng.uniform(0, 0.3))

    async def send_request(self, host: str = "") -> bool:
        """Send one request, and retry or resume it as a caller would.

        Args:
            host: The host for all tries; a random one for each try if empty.

        Returns:
            Whether a try was answered completely with a 2xx status.
        """
        tries: list[TryOutcome] = []
        is_served = await self._send_with_retries(host, tries)
        self._evidence.requests.append(
            RequestOutcome(tries=tuple(tries), is_served=is_served)
        )
        return is_served

    async def _send_with_retries(self, host: str, tries: list[TryOutcome]) -> bool:
        stream = _Stream()
        for _ in range(MAX_TRIES):
            names = list(self._addresses_by_host())
            name = host or self._rng.choice(names)
            could_go_on = self._evidence.streams.can_go_on(stream.version)
            outcome, answer = await self._try(name, stream)
            if self._kind == "stream":
                self._record_stream(outcome, answer, stream, could_go_on=could_go_on)
                problem = self._join_events(outcome.id, answer, stream)
                outcome = attrs.evolve(outcome, problem=problem or outcome.problem)
            self._evidence.tries.append(outcome)
            tries.append(outcome)
            if answer.is_complete and 200 <= answer.status < 300:
                self.served += 1
                return True
            if answer.caller_left or (self._kind == "booking" and answer.status != 503):
                return False
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return False

    async def _try(self, host: str, stream: "_Stream") -> tuple[TryOutcome, _Answer]:
        request_id = f"q{next(_numbers)}-{self._kind}"
        sent_at = now()
        answer = _Answer()
        connection = self._pop_idle_connection(host)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                if connection is None:
                    connection = await self._open(host)
                await self._send(connection, request_id, stream)
                await self._read(connection, answer)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            answer.is_complete = False
        self._keep_or_close(host, connection, answer)
        problem = ""
        if answer.is_complete:
            problem = find_problem(
                self._kind, answer.status, answer.headers, answer.body
            )
            if answer.headers.get("x-request-id", request_id) != request_id:
                problem = "the answer has another request's id"
        outcome = TryOutcome(
            id=request_id,
            kind=self._kind,
            host=host,
            sent_at=sent_at,
            ended_at=now(),
            status=answer.status,
            is_complete=answer.is_complete,
            problem=problem,
            caller_left=answer.caller_left,
        )
        return outcome, answer

    def _pop_idle_connection(self, host: str) -> _Connection | None:
        """Return the idle connection to a host, unless the host has closed it."""
        connection = self._idle_connections.pop(host, None)
        if connection is None or not connection.is_closed:
            return connection
        connection.close()
        return None

    async def _open(self, host: str) -> _Connection:
        ip, port = self._addresses_by_host()[host]
        reader, writer = await asyncio.open_connection(ip, port)
        protocol = h11.Connection(our_role=h11.CLIENT)
        return _Connection(reader=reader, writer=writer, protocol=protocol)

    async def _send(
        self, connection: _Connection, request_id: str, stream: "_Stream"
    ) -> None:
        headers = [
            ("Host", "shop.example"),
            ("X-Request-Id", request_id),
            ("X-Key", self._key),
            ("X-Deadline-Ms", str(int(ANSWER_TIMEOUT_SECONDS * 1000))),
            ("Content-Length", "0"),
        ]
        if self._kind == "stream":
            headers += [
                ("X-Model", "m"),
                ("X-Token-Usage", "500,100"),
                ("X-Prefix-Hash", f"5c1e07a2:200,{self._rng.getrandbits(32):x}:300"),
            ]
        if stream.position:
            headers.append(("Last-Event-Id", str(stream.position)))
            headers.append(("Resumes", stream.first_id))
        request = h11.Request(
            method="POST", target=_PATHS_BY_KIND[self._kind], headers=headers
        )
        protocol = connection.protocol
        data = protocol.send(request) + protocol.send(h11.EndOfMessage())
        connection.writer.write(data)
        await connection.writer.drain()

    async def _read(self, connection: _Connection, answer: _Answer) -> None:
        disconnects = self._disconnects and self._rng.random() < DISCONNECT_SHARE
        protocol = connection.protocol
        while not answer.is_complete:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await connection.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode().lower(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
                if disconnects:
                    answer.caller_left = True
                    return
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
            else:
                return

    def _keep_or_close(
        self, host: str, connection: _Connection | None, answer: _Answer
    ) -> None:
        if connection is None:
            return
        protocol = connection.protocol
        is_done = answer.is_complete and protocol.their_state is h11.DONE
        is_open = is_done and protocol.our_state is h11.DONE
        if is_open and self._rng.random() < KEEP_ALIVE_SHARE:
            protocol.start_next_cycle()
            self._idle_connections[host] = connection
        else:
            connection.close()

    def _record_stream(
        self,
        outcome: TryOutcome,
        answer: _Answer,
        stream: _Stream,
        *,
        could_go_on: bool,
    ) -> None:
        """Record a try of a stream before its events are appended."""
        streams = self._evidence.streams
        brought = {version.decode() for _, _, version in _EVENT.findall(answer.body)}
        streams.record_versions(outcome.id, brought | {stream.version})
        stream_try = StreamTry(
            host=outcome.host,
            sent_at=outcome.sent_at,
            ended_at=outcome.ended_at,
            went_on=bool(brought),
        )
        if not stream.version:
            streams.record_new(stream_try)
        elif could_go_on:
            streams.record_take_up(stream_try)

    def _join_events(self, try_id: str, answer: _Answer, stream: _Stream) -> str:
        """Append the events of an answer, and check that they continue the stream.

        Returns:
            The problem found; empty for none.
        """
        body = answer.body
        for number, piece, version in _EVENT.findall(body):
            if int(number) != stream.position + 1 or number != piece:
                return f"event {number.decode()} after {stream.position}"
            stream.position += 1
            stream.first_id = stream.first_id or try_id
            stream.version = stream.version or version.decode()
        rest = _EVENT.sub(b"", body)
        if answer.is_complete and rest.startswith(b"id"):
            return "incomplete event in a complete answer"
        is_short = stream.position < self._events and not rest.startswith(b"{")
        if answer.is_complete and is_short:
            return f"complete after {stream.position} events"
        return ""
