"""The aiohttp connector of sessions whose requests go to endpoints."""

import asyncio
from collections.abc import Callable
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

from passtally.endpoint_dialer import EndpointDialer
from passtally.settings import Address, parse_address
from passtally.socket_options import was_reset
from passtally.tunnel import find_tunnel


class EndpointConnector(aiohttp.TCPConnector):
    """Opens each connection to an endpoint by the dialer, for one request only.

    Requests to other addresses take aiohttp's own way.

    Args:
        dialer: Connects to endpoints.
        find_endpoint_id: Returns the id of the endpoint at an address, or None.
    """

    def __init__(
        self,
        *,
        dialer: EndpointDialer,
        find_endpoint_id: Callable[[Address], str | None],
    ) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = partial(EndpointProtocol, loop=self._loop)
        self._dialer = dialer
        self._find_endpoint_id = find_endpoint_id

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        address = _address_of(req)
        endpoint_id = None if address is None else self._find_endpoint_id(address)
        if endpoint_id is None:
            return await super()._create_connection(req, traces, timeout)
        try:
            async with asyncio.timeout(timeout.sock_connect):
                _, protocol = await self._dialer.connect(
                    address, endpoint_id, self._factory
                )
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(str(error)) from error
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        return protocol


class EndpointProtocol(ResponseHandler):
    """The client side of a connection to an endpoint.

    aiohttp takes each end of a connection for the end of a body without a length or
    chunks, also a reset and the loss of a tunnel.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._was_reset = False

    def eof_received(self) -> None:
        """Find out whether the connection was reset."""
        is_direct = find_tunnel(self.transport) is None
        self._was_reset = is_direct and was_reset(self.transport)
        super().eof_received()

    def connection_lost(self, error: BaseException | None) -> None:
        """Break the body off if the connection did not end in order."""
        if error is None and self._was_reset:
            error = ConnectionResetError("connection reset by the endpoint")
        # aiohttp has no public access to the body that is being received;
        # tests/test_cut_answers.py checks that this private one works.
        body = self._payload
        if error is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(str(error)))
        super().connection_lost(error)


def _address_of(request: aiohttp.ClientRequest) -> Address | None:
    """Return the address of a request's URL; None if it names no IP address."""
    try:
        return parse_address(f"{request.url.host}:{request.url.port}")
    except ValueError:
        return None
