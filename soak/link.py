"""A loopback TCP proxy that can delay, block or reset its connections."""

import asyncio
from enum import StrEnum

CHUNK_BYTES = 1 << 16
#: Delay of each chunk under ``LinkFault.DELAY``, in seconds.
DELAY_SECONDS = 0.08


class LinkFault(StrEnum):
    """The fault in effect on a link."""

    NONE = "none"
    #: Each chunk is delayed, in both directions.
    DELAY = "delay"
    #: Data in both directions is blocked until the fault ends.
    SILENT = "silent"
    #: Data from the target is blocked until the fault ends.
    ONE_WAY = "one_way"
    #: Open and new connections are reset.
    RESET = "reset"


class FaultyLink:
    """Forwards connections to a port on the loopback interface.

    Args:
        target: The port; a change applies to new connections.
    """

    def __init__(self, *, target: int) -> None:
        self.target = target
        self.port = 0
        self.fault = LinkFault.NONE
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen and return the port; after a stop, on the same port as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.close()
        self.reset()

    @property
    def is_listening(self) -> bool:
        """Whether the link accepts connections."""
        return self._server is not None and self._server.is_serving()

    def fail(self, fault: LinkFault) -> None:
        """Begin a fault, or end it with ``LinkFault.NONE``."""
        self.fault = fault
        if fault in (LinkFault.SILENT, LinkFault.ONE_WAY):
            self._unblocked.clear()
        else:
            self._unblocked.set()
        if fault is LinkFault.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Drop all further data on the open connections; new ones work."""
        self._silenced_writers |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_answer=False),
                self._pump(far_reader, writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, far_writer}
            self._silenced_writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Forward bytes until the sender closes; forward a reset as a reset."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                if is_answer or self.fault is LinkFault.SILENT:
                    await self._unblocked.wait()
                if writer in self._silenced_writers:
                    continue
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
