"""Callers that leave streams midway and take them up at another host."""

import asyncio
import itertools
import re
import time
from collections.abc import Sequence

import attrs
import h11

from passtally.front_host import FrontHost
from standins.platform_config import KEY

READ_BYTES = 1 << 16
#: Timeout of one try, in seconds, and the time that the caller states to wait.
TRY_SECONDS = 20.0
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\w+)\n\n")
_numbers = itertools.count(1)


@attrs.define(kw_only=True)
class Try:
    """One try of a stream.

    Attributes:
        status: The status; 0 if no answer arrived.
        events: The number of events that it brought.
        is_complete: Whether the answer was complete.
        ended_after: The time until its end, in seconds.
    """

    status: int = 0
    events: int = 0
    is_complete: bool = False
    ended_after: float = 0.0


class ResumingCaller:
    """A caller that joins the events of its tries to one stream.

    Attributes:
        tries: Its tries, in order.
        versions: The software versions that its events name.
        position: The number of its last event.
    """

    def __init__(self) -> None:
        self.tries: list[Try] = []
        self.versions: set[str] = set()
        self.position = 0
        self._began_by = ""
        self._prompt = f"5c1e07a2:200,{next(_numbers):x}:300"

    @property
    def is_mixed(self) -> bool:
        """Whether its events are of more than one software version."""
        return len(self.versions) > 1

    @property
    def is_served(self) -> bool:
        """Whether its last try completed the stream."""
        return bool(self.tries) and self.tries[-1].is_complete

    async def send(self, host: FrontHost, *, leave_after: int | None = None) -> Try:
        """Send the next try, and read it to its end.

        Args:
            host: The host that is asked.
            leave_after: The number of events after which the caller leaves.
        """
        current = Try()
        self.tries.append(current)
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(TRY_SECONDS):
                await self._exchange(host, current, leave_after)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            current.is_complete = False
        current.ended_after = time.monotonic() - sent_at
        return current

    async def _exchange(
        self, host: FrontHost, current: Try, leave_after: int | None
    ) -> None:
        address = host.settings.listen
        reader, writer = await asyncio.open_connection(address.host, address.port)
        protocol = h11.Connection(our_role=h11.CLIENT)
        request_id = f"q{next(_numbers)}"
        try:
            writer.write(protocol.send(self._request(request_id)))
            writer.write(protocol.send(h11.EndOfMessage()))
            rest = b""
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(await reader.read(READ_BYTES))
                elif isinstance(event, h11.Response):
                    current.status = event.status_code
                elif isinstance(event, h11.Data) and current.status == 200:
                    rest = self._join(current, request_id, rest + bytes(event.data))
                    if leave_after is not None and current.events >= leave_after:
                        return
                elif isinstance(event, h11.EndOfMessage):
                    current.is_complete = current.status == 200
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    return
        finally:
            writer.transport.abort()

    def _request(self, request_id: str) -> h11.Request:
        headers = [
            ("Host", "shop.example"),
            ("X-Request-Id", request_id),
            ("X-Key", KEY),
            ("X-Model", "m"),
            ("X-Token-Usage", "500,100"),
            ("X-Prefix-Hash", self._prompt),
            ("X-Deadline-Ms", str(int(TRY_SECONDS * 1000))),
            ("Content-Length", "0"),
        ]
        if self.position:
            headers.append(("Last-Event-Id", str(self.position)))
            headers.append(("Resumes", self._began_by))
        return h11.Request(method="POST", target="/draft/1", headers=headers)

    def _join(self, current: Try, request_id: str, data: bytes) -> bytes:
        """Append the complete events of some data, and return the rest."""
        end = 0
        for found in _EVENT.finditer(data):
            number, piece, version = found.groups()
            assert int(number) == int(piece) == self.position + 1
            self.position += 1
            current.events += 1
            self.versions.add(version.decode())
            self._began_by = self._began_by or request_id
            end = found.end()
        return data[end:]


def count_mixed(callers: Sequence[ResumingCaller]) -> int:
    """Return the number of callers with events of two software versions."""
    return sum(caller.is_mixed for caller in callers)
