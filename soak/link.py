"""A loopback link that delays, silences, cuts one way or resets what it carries."""

import asyncio
from enum import StrEnum

CHUNK_BYTES = 1 << 16
DELAY_SECONDS = 0.08


class LinkFault(StrEnum):
    """What a link does wrong."""

    NONE = "none"
    #: Everything arrives late.
    DELAY = "delay"
    #: Nothing arrives, in either direction, until the fault ends.
    SILENT = "silent"
    #: What the far side sends does not arrive until the fault ends.
    ONE_WAY = "one_way"
    #: Connections are reset, and new ones too.
    RESET = "reset"


class FaultyLink:
    """Passes connections on to a port on the loopback.

    Args:
        target: The port; it may change.
    """

    def __init__(self, *, target: int) -> None:
        self.target = target
        self.port = 0
        self.fault = LinkFault.NONE
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen, where it did before if it was stopped, and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Stop listening and reset what is open."""
        self._server.close()
        self.reset()

    @property
    def is_listening(self) -> bool:
        """Whether connections are taken."""
        return self._server is not None and self._server.is_serving()

    def fail(self, fault: LinkFault) -> None:
        """Begin a fault, or end it with ``LinkFault.NONE``."""
        self.fault = fault
        if fault in (LinkFault.SILENT, LinkFault.ONE_WAY):
            self._healed.clear()
        else:
            self._healed.set()
        if fault is LinkFault.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Swallow for good what open connections carry; new ones work."""
        self._silent |= self._writers

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
            self._silent -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Pass bytes on until one side ends; a reset stays a reset."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                if is_answer or self.fault is LinkFault.SILENT:
                    await self._healed.wait()
                if writer in self._silent:
                    continue
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
