"""The parts of an entry host that reach endpoints through other hosts."""

import asyncio
from collections.abc import Callable, Iterable

from passtally.drain import Drain
from passtally.endpoint_dialer import EndpointDialer, Tunnels
from passtally.message_signing import MessageSigner
from passtally.metrics import Metrics
from passtally.objects import Endpoint
from passtally.settings import Address, parse_address
from passtally.tunnel import ProtocolFactory
from passtally.tunnel_server import TunnelServer, UnknownEndpointError

_URL_PREFIX = "http://"


class EndpointLinks:
    """The dialer of this host, and the server of the tunnels of other hosts.

    Args:
        dialer: The dialer.
        find_endpoint: Returns an endpoint by its id, or None.
        list_endpoints: Returns all known endpoints.
        tunnels: Opens tunnels through other hosts.
        signer: Signs and checks the messages of tunnels.
        drain: Counts the tunnels of other hosts.
        metrics: Counts refused tunnels.
        is_busy: Returns whether this host has too little processor time.
    """

    def __init__(
        self,
        *,
        dialer: EndpointDialer,
        find_endpoint: Callable[[str], Endpoint | None],
        list_endpoints: Callable[[], Iterable[Endpoint]],
        tunnels: Tunnels,
        signer: MessageSigner,
        drain: Drain,
        metrics: Metrics,
        is_busy: Callable[[], bool] = lambda: False,
    ) -> None:
        self.dialer = dialer
        dialer.tunnels = tunnels
        dialer.list_endpoints = lambda: [
            address_of(endpoint.url) for endpoint in list_endpoints()
        ]
        self._find_endpoint = find_endpoint
        self.server = TunnelServer(
            signer=signer,
            connect=self._connect_for_peer,
            is_cut_off=dialer.check_cut_off,
            drain=drain,
            metrics=metrics,
            is_busy=is_busy,
        )

    async def _connect_for_peer(
        self, endpoint_id: str, factory: ProtocolFactory
    ) -> asyncio.Protocol:
        endpoint = self._find_endpoint(endpoint_id)
        if endpoint is None:
            raise UnknownEndpointError(f"endpoint {endpoint_id} is not known")
        address = address_of(endpoint.url)
        _, protocol = await self.dialer.connect_for_peer(address, factory)
        return protocol


def address_of(url: str) -> Address:
    """Return the address in an endpoint's URL.

    Raises:
        ValueError: The URL names no IP address.
    """
    return parse_address(url.removeprefix(_URL_PREFIX).partition("/")[0])
