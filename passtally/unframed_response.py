"""An aiohttp response whose body ends when its connection closes."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from passtally.socket_options import set_reset_on_close


class UnframedResponse(web.StreamResponse):
    """A response without a Content-Length and without chunked encoding.

    Args:
        options: Passed on to :class:`aiohttp.web.StreamResponse`.
    """

    # aiohttp sends a body without a Content-Length in chunks and has no public option
    # against that; tests/test_plain.py checks that this private one works.
    _length_check = False

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.force_close()
        self._writer: AbstractStreamWriter | None = None
        self._transport: asyncio.Transport | None = None

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the head; from now on the connection is reset if the process dies."""
        self._transport = request.transport
        if self._transport is not None:
            set_reset_on_close(self._transport, True)
        self._writer = await super().prepare(request)
        return self._writer

    async def write_eof(self, data: bytes = b"") -> None:
        """End the body, once all of it is passed on to the system."""
        if data:
            await self.write(data)
        if self._writer is not None and self._transport is not None:
            self._transport.set_write_buffer_limits(high=0)
            await self._writer.drain()
            set_reset_on_close(self._transport, False)
        await super().write_eof()
