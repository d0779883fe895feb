"""Callers: they keep connections, leave now and then, and come back elsewhere."""

import asyncio
import itertools
import random
import re
from collections.abc import Callable, Mapping

import attrs
import h11

from soak.evidence import Asked, Evidence, Seen, find_problem, now
from standins.platform_config import KEY

READ_BYTES = 1 << 16
#: How long a caller waits for any answer, in seconds.
PATIENCE_SECONDS = 6.0
#: The share of requests whose caller leaves before the end.
LEAVING_SHARE = 0.05
#: The share of requests after which a connection is kept for the next.
KEEPING_SHARE = 0.7
#: How often a stream is taken up again before its caller gives it up.
MAX_TRIES = 6
PAUSE_SECONDS = 0.05

_PATHS_BY_KIND = {"stream": "/draft/1", "call": "/look/1", "booking": "/book/1"}
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")
_numbers = itertools.count(1)


@attrs.define(kw_only=True)
class _Connection:
    """One connection to a host; requests go over it one after the other."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    machine: h11.Connection

    @property
    def is_gone(self) -> bool:
        """Whether the far side has closed it."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def close(self) -> None:
        self.writer.transport.abort()


@attrs.define(kw_only=True)
class _Answer:
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_whole: bool = False
    left: bool = False


class Caller:
    """Sends requests of one kind, one after the other.

    Args:
        kind: ``stream``, ``call`` or ``booking``.
        addresses_by_host: Where the hosts are reached.
        evidence: Where its tries are noted.
        rng: Decides what it does.
        events: How many events a whole stream has.
        leaves: Whether it leaves some requests before the end.
    """

    def __init__(
        self,
        *,
        kind: str,
        addresses_by_host: Callable[[], Mapping[str, tuple[str, int]]],
        evidence: Evidence,
        rng: random.Random,
        events: int,
        leaves: bool = True,
    ) -> None:
        self._leaves = leaves
        self._kind = kind
        self._addresses_by_host = addresses_by_host
        self._evidence = evidence
        self._rng = rng
        self._events = events
        self._kept: dict[str, _Connection] = {}
        self.served = 0

    async def run(self) -> None:
        """Send requests for ever."""
        while True:
            await self.ask()
            await asyncio.sleep(self._rng.uniform(0, 0.3))

    async def ask(self, host: str = "") -> bool:
        """Send one request and try it again as a caller would.

        Args:
            host: The host to ask; any if empty.

        Returns:
            Whether it was served in the end.
        """
        tries: list[Seen] = []
        is_served = await self._ask(host, tries)
        self._evidence.asked.append(Asked(tries=tuple(tries), is_served=is_served))
        return is_served

    async def _ask(self, host: str, tries: list[Seen]) -> bool:
        position = 0
        for _ in range(MAX_TRIES):
            names = list(self._addresses_by_host())
            name = host or self._rng.choice(names)
            seen, answer = await self._try(name, position)
            if self._kind == "stream":
                position, problem = self._join(answer.body, position, answer.is_whole)
                seen = attrs.evolve(seen, problem=problem or seen.problem)
            self._evidence.tries.append(seen)
            tries.append(seen)
            if answer.is_whole and 200 <= answer.status < 300:
                self.served += 1
                return True
            if answer.left or (self._kind == "booking" and answer.status != 503):
                return False
            await asyncio.sleep(PAUSE_SECONDS)
        return False

    async def _try(self, host: str, position: int) -> tuple[Seen, _Answer]:
        request_id = f"q{next(_numbers)}-{self._kind}"
        sent_at = now()
        answer = _Answer()
        connection = self._take_kept(host)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                if connection is None:
                    connection = await self._open(host)
                await self._send(connection, request_id, position)
                await self._read(connection, answer)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            answer.is_whole = False
        self._keep(host, connection, answer)
        problem = ""
        if answer.is_whole:
            problem = find_problem(
                self._kind, answer.status, answer.headers, answer.body
            )
            if answer.headers.get("x-request-id", request_id) != request_id:
                problem = "the answer to another request"
        seen = Seen(
            id=request_id,
            kind=self._kind,
            host=host,
            sent_at=sent_at,
            ended_at=now(),
            status=answer.status,
            is_whole=answer.is_whole,
            problem=problem,
            left=answer.left,
        )
        return seen, answer

    def _take_kept(self, host: str) -> _Connection | None:
        """Return a kept connection; one that the host has closed is of no use."""
        connection = self._kept.pop(host, None)
        if connection is None or not connection.is_gone:
            return connection
        connection.close()
        return None

    async def _open(self, host: str) -> _Connection:
        ip, port = self._addresses_by_host()[host]
        reader, writer = await asyncio.open_connection(ip, port)
        machine = h11.Connection(our_role=h11.CLIENT)
        return _Connection(reader=reader, writer=writer, machine=machine)

    async def _send(
        self, connection: _Connection, request_id: str, position: int
    ) -> None:
        headers = [
            ("Host", "shop.example"),
            ("X-Request-Id", request_id),
            ("X-Key", KEY),
            ("X-Deadline-Ms", str(int(PATIENCE_SECONDS * 1000))),
            ("Content-Length", "0"),
        ]
        if self._kind == "stream":
            headers += [
                ("X-Model", "m"),
                ("X-Token-Usage", "500,100"),
                ("X-Prefix-Hash", f"5c1e07a2:200,{self._rng.getrandbits(32):x}:300"),
            ]
        if position:
            headers.append(("Last-Event-Id", str(position)))
        request = h11.Request(
            method="POST", target=_PATHS_BY_KIND[self._kind], headers=headers
        )
        machine = connection.machine
        data = machine.send(request) + machine.send(h11.EndOfMessage())
        connection.writer.write(data)
        await connection.writer.drain()

    async def _read(self, connection: _Connection, answer: _Answer) -> None:
        leaves = self._leaves and self._rng.random() < LEAVING_SHARE
        machine = connection.machine
        while not answer.is_whole:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                machine.receive_data(await connection.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode().lower(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
                if leaves:
                    answer.left = True
                    return
            elif isinstance(event, h11.EndOfMessage):
                answer.is_whole = True
            else:
                return

    def _keep(self, host: str, connection: _Connection | None, answer: _Answer) -> None:
        if connection is None:
            return
        machine = connection.machine
        is_done = answer.is_whole and machine.their_state is h11.DONE
        is_open = is_done and machine.our_state is h11.DONE
        if is_open and self._rng.random() < KEEPING_SHARE:
            machine.start_next_cycle()
            self._kept[host] = connection
        else:
            connection.close()

    def _join(self, body: bytes, position: int, is_whole: bool) -> tuple[int, str]:
        """Join a stream's events on; tell the last one and what was wrong."""
        for number, piece in _EVENT.findall(body):
            if int(number) != position + 1 or number != piece:
                return position, f"event {number.decode()} after {position}"
            position += 1
        rest = _EVENT.sub(b"", body)
        if is_whole and rest.startswith(b"id"):
            return position, "half an event in a whole answer"
        is_short = position < self._events and not rest.startswith(b"{")
        if is_whole and is_short:
            return position, f"complete after {position} events"
        return position, ""
