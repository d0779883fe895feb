"""Connections of hosts in one process to their endpoints, which can fail by host."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar
from enum import StrEnum
from typing import Any

from soak.link import FaultyLink, LinkFault

#: The host whose task runs. Tasks inherit it from the task that started the host.
_current_host: ContextVar[str] = ContextVar("current_host", default="")


class Cut(StrEnum):
    """How a host's connections to endpoints fail."""

    #: Open connections carry nothing more, and new ones are not established.
    SILENT = "silent"
    #: Open connections are reset, and new ones refused.
    RESET = "reset"
    #: Open connections work, and new ones are refused.
    REFUSED = "refused"


class HostNetwork:
    """Routes each host's connections to endpoints over links of its own.

    Connections to other addresses, such as the store's, are left alone.
    """

    def __init__(self) -> None:
        self._endpoint_ports: set[int] = set()
        self._crashed_ports: set[int] = set()
        self._links: dict[tuple[str, int], FaultyLink] = {}
        self._starting: dict[tuple[str, int], asyncio.Task[int]] = {}
        self._cuts: dict[tuple[str, int], Cut] = {}
        loop = asyncio.get_running_loop()
        self._connect_directly = loop.create_connection
        loop.create_connection = self._connect

    @contextmanager
    def starting(self, host_id: str) -> Iterator[None]:
        """Attribute the connections of all tasks started in the block to a host."""
        token = _current_host.set(host_id)
        try:
            yield
        finally:
            _current_host.reset(token)

    def add_endpoint(self, address: str) -> None:
        """Route connections to an address over links from now on."""
        self._endpoint_ports.add(int(address.rpartition(":")[2]))

    def crash_endpoint(self, address: str) -> None:
        """Refuse all hosts' connections to an endpoint that has crashed."""
        self._crashed_ports.add(int(address.rpartition(":")[2]))

    def cut(
        self, host_id: str, how: Cut, *, addresses: list[str] | None = None
    ) -> None:
        """Fail a host's connections to some endpoints, or to all."""
        for port in self._ports(addresses):
            self._cuts[host_id, port] = how
            link = self._links.get((host_id, port))
            if link is not None and how is Cut.SILENT:
                link.fail(LinkFault.SILENT)
            elif link is not None and how is Cut.RESET:
                link.reset()

    def heal(self, host_id: str) -> None:
        """Restore a host's connections; open ones that were silent are reset."""
        for port in self._endpoint_ports:
            how = self._cuts.pop((host_id, port), None)
            link = self._links.get((host_id, port))
            if link is not None and how is Cut.SILENT:
                link.reset()
                link.fail(LinkFault.NONE)

    def stop(self) -> None:
        """Stop all links and close their connections."""
        for host_id in {name for name, _ in self._cuts}:
            self.heal(host_id)
        for link in self._links.values():
            link.stop()

    def _ports(self, addresses: list[str] | None) -> set[int]:
        if addresses is None:
            return set(self._endpoint_ports)
        return {int(address.rpartition(":")[2]) for address in addresses}

    async def _connect(
        self,
        factory: Any,
        host: str | None = None,
        port: int | None = None,
        **args: Any,
    ) -> Any:
        if port not in self._endpoint_ports or not _current_host.get():
            return await self._connect_directly(factory, host, port, **args)
        key = (_current_host.get(), port)
        if port in self._crashed_ports:
            raise ConnectionRefusedError("the endpoint has crashed")
        match self._cuts.get(key):
            case Cut.SILENT:
                await asyncio.sleep(3600)
            case Cut.RESET | Cut.REFUSED:
                raise ConnectionRefusedError("the host's links are cut")
        link = await self._find_link(key)
        return await self._connect_directly(factory, host, link.port, **args)

    async def _find_link(self, key: tuple[str, int]) -> FaultyLink:
        """Return a host's link to an endpoint, started at its first use."""
        if key not in self._starting:
            self._links[key] = FaultyLink(target=key[1])
            # In an empty context: the link's own connections are not the host's.
            self._starting[key] = asyncio.get_running_loop().create_task(
                self._links[key].start(), context=Context()
            )
        await asyncio.shield(self._starting[key])
        return self._links[key]
