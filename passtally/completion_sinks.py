"""Sinks that send or buffer the answers of the completion API."""

from datetime import timedelta

from aiohttp import web

from passtally.completion import EventWriter
from passtally.generation import Attempt, Delivery, Generation
from passtally.outcome import RefusedError
from passtally.output_buffers import OutputBuffer, OutputBuffers

EVENT_STREAM = "text/event-stream"
GENERATION_HEADER = "X-Generation-Id"
#: Time after which a caller should reconnect to a broken stream.
CLIENT_RETRY = timedelta(milliseconds=200)


class EventSink:
    """Sends an answer as server-sent events.

    Args:
        request: The caller's request.
        writer: Encodes output as events.
        buffers: The unread output of all callers.
    """

    def __init__(
        self, *, request: web.Request, writer: EventWriter, buffers: OutputBuffers
    ) -> None:
        self.response: web.StreamResponse | None = None
        self._request = request
        self._writer = writer
        self._generation: Generation | None = None
        self._buffers = buffers
        self._output: OutputBuffer | None = None

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Switch to a new attempt, before its first output."""
        self._generation = generation
        self._writer.switch(generation, attempt)

    async def write(self, deliveries: list[Delivery]) -> None:
        """Send new output, and return when the connection accepts more."""
        if self.response is None:
            self.response = await self._open()
        data = self._writer.encode(self._generation, deliveries)
        with self._output.expect_progress():
            await self.response.write(data)
        self._output.record()

    async def flush(self) -> None:
        """Wait until nearly all of the answer is sent."""
        if self._output is None:
            return
        self._output.end_stream()
        with self._output.expect_progress():
            await self.response.write_eof()

    def close(self) -> None:
        """Forget the unread output."""
        if self._output is not None:
            self._output.close()

    async def fail(self, error: RefusedError) -> None:
        """End the stream with an error event."""
        data = error.failure.to_json()
        await self.response.write(b"event: error\ndata: %b\n\n" % data)

    async def _open(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": EVENT_STREAM,
                "Cache-Control": "no-cache",
                GENERATION_HEADER: self._generation.request.id,
            }
        )
        await response.prepare(self._request)
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller closed the connection")
        self._output = OutputBuffer(buffers=self._buffers, transport=transport)
        self._output.begin_stream()
        milliseconds = int(CLIENT_RETRY.total_seconds() * 1000)
        await response.write(b"retry: %d\n\n" % milliseconds)
        return response


class BufferedSink:
    """Buffers an answer that is not streamed.

    Args:
        request: The caller's request; its connection shows whether the caller left.
    """

    def __init__(self, *, request: web.Request) -> None:
        self.texts: list[str] = []
        self._request = request

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Ignore a new attempt: the texts do not depend on it."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Append new output.

        Raises:
            ConnectionError: The caller left.
        """
        transport = self._request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller closed the connection")
        self.texts.extend(delivery.text for delivery in deliveries)


class JobSink:
    """Buffers the answer of a job, for which no caller waits on a connection."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Ignore a new attempt: the texts do not depend on it."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Append new output."""
        self.texts.extend(delivery.text for delivery in deliveries)
