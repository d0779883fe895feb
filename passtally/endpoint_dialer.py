"""Connects to endpoints: directly, or through another host while the own link is down.

All connections to endpoints are opened here. What uses them needs not know which way
they take: the host that has the caller decides all, and counts each request once.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from typing import Protocol

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.link_table import Link, LinkTable
from passtally.pause_aware_timeout import PauseAwareTimeout
from passtally.settings import Address
from passtally.tunnel import Connected, ProtocolFactory
from passtally.tunnel_hosts import NoTunnelError

#: Time limit for establishing a direct connection. Endpoints are a millisecond away. A
#: full accept queue delays a connection by seconds, while another endpoint could
#: answer.
CONNECT_TIMEOUT = timedelta(milliseconds=150)
#: Time after which a tunnel is opened beside a direct connection that is not
#: established yet.
TUNNEL_DELAY = timedelta(milliseconds=40)
#: Time limit for opening a tunnel.
TUNNEL_TIMEOUT = timedelta(milliseconds=200)
#: Pause between two attempts to connect while this host is cut off.
RECOVERY_INTERVAL = timedelta(milliseconds=100)
#: Maximum number of other endpoints that are tried to find out whether this host is cut
#: off.
MAX_TRIED = 2
#: Maximum number of other links that are checked when one falls silent.
MAX_CHECKS = 16


class LinkDownError(OSError):
    """This host's own link failed, and no other host was found to reach the endpoint.

    Whether the endpoint accepts connections is not known.
    """


class Tunnels(Protocol):
    """Opens connections to endpoints through other hosts."""

    async def open(self, endpoint_id: str, factory: ProtocolFactory) -> Connected:
        """Open a connection to an endpoint.

        Raises:
            NoTunnelError: No host connected to the endpoint.
        """


class NoTunnels:
    """Tunnels of a host that knows no other hosts."""

    async def open(self, endpoint_id: str, factory: ProtocolFactory) -> Connected:
        """Raise NoTunnelError."""
        raise NoTunnelError(endpoint_id, asked=0, is_confirmed=False)


class EndpointDialer:
    """Opens connections to endpoints.

    Args:
        clock: The clock.
        tunnels: Opens connections through other hosts; None for no other hosts.

    Attributes:
        on_silent: Called with the address of an endpoint whose link fell silent, so
            that its open connections may be silent too.
        list_idle: Returns the endpoints that idle connections lead to, with their ids.
        list_endpoints: Returns the addresses of all known endpoints.
    """

    def __init__(self, *, clock: Clock, tunnels: Tunnels | None = None) -> None:
        self.tunnels: Tunnels = tunnels or NoTunnels()
        self.links = LinkTable()
        self.on_silent: Callable[[Address], None] = lambda address: None
        self.list_endpoints: Callable[[], Iterable[Address]] = tuple
        self.list_idle: Callable[[], Collection[tuple[Address, str]]] = tuple
        self._clock = clock
        self._checks: dict[Address, asyncio.Task[None]] = {}
        #: Direct connections that are being opened.
        self._direct: dict[Address, asyncio.Task[Connected]] = {}
        #: Tries the links while all fail.
        self._recovery: asyncio.Task[None] | None = None

    async def connect(
        self, address: Address, endpoint_id: str, factory: ProtocolFactory
    ) -> Connected:
        """Connect to an endpoint on any way.

        Args:
            address: The endpoint's address.
            endpoint_id: The endpoint's id.
            factory: Makes the protocol of the connection.

        Raises:
            OSError: The endpoint accepts no connection, or no way leads there.
        """
        link = self.links.find(address)
        if not link.is_up and self.is_cut_off:
            # Each request would else wait for the time limits of several links.
            self._start_recovery()
            return await self._open_tunnel(address, endpoint_id, factory)
        is_due = not link.is_up and link.acquire_retry(self._clock.monotonic())
        if link.is_up or (is_due and not link.is_bypassed):
            return await self._connect_on_first_way(address, endpoint_id, factory)
        if is_due:
            self._start_check(address, endpoint_id)
        return await self._open_tunnel(address, endpoint_id, factory)

    async def connect_directly(
        self, address: Address, factory: ProtocolFactory
    ) -> Connected:
        """Connect to an endpoint, and record whether the link is up.

        Raises:
            OSError: The connection was refused.
            TimeoutError: It was not established in time.
        """
        began_at = self._clock.monotonic()
        try:
            async with PauseAwareTimeout(CONNECT_TIMEOUT, clock=self._clock):
                connected = await asyncio.get_running_loop().create_connection(
                    factory, address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            self._record_failure(address, error, began_at=began_at)
            raise
        link = self.links.find(address)
        if not link.is_up:
            log_event("links", "Endpoint reached directly again.", endpoint=address)
        self.links.record_contact(address, self._clock.monotonic())
        return connected

    async def connect_for_peer(
        self, address: Address, factory: ProtocolFactory
    ) -> Connected:
        """Connect to an endpoint directly, for another host.

        Raises:
            OSError: The connection was refused, or the link is known to be down.
            TimeoutError: It was not established in time.
        """
        link = self.links.find(address)
        if not link.is_up and not link.acquire_retry(self._clock.monotonic()):
            raise LinkDownError("the link to the endpoint is down")
        return await self.connect_directly(address, factory)

    @property
    def is_cut_off(self) -> bool:
        """Whether this host reaches no endpoint directly."""
        return self.links.is_cut_off(self._clock.monotonic())

    async def check_cut_off(self) -> bool:
        """Return whether this host reaches no endpoint directly, after trying some.

        A host that has just started knows few links.
        """
        if not self.is_cut_off:
            return False
        down = set(self.links.list_down())
        others = [item for item in self.list_endpoints() if item not in down]
        await asyncio.gather(
            *(self._try_directly(address) for address in others[:MAX_TRIED])
        )
        return self.is_cut_off

    async def _try_directly(self, address: Address) -> None:
        """Connect to an endpoint to find out whether the link is up."""
        try:
            transport, _ = await self.connect_directly(address, asyncio.Protocol)
        except (OSError, TimeoutError):
            return
        transport.abort()

    def record_data(self, address: Address) -> None:
        """Record that data arrived on a direct connection to an endpoint."""
        self.links.record_data(address, self._clock.monotonic())

    def may_reuse(self, address: Address, *, is_tunnel: bool) -> bool:
        """Return whether an idle connection to an endpoint may be used.

        A tunnel is not used where the link is up again, nor a direct connection where
        the link fell silent.
        """
        link = self.links.find(address)
        if link.is_up:
            return not is_tunnel
        return is_tunnel or not link.is_silent

    def is_silent(self, address: Address, *, since: timedelta) -> bool:
        """Return whether connections opened before are silent at a reachable endpoint.

        Args:
            address: The endpoint's address.
            since: When a connection was opened, on the monotonic clock.
        """
        link = self.links.find(address)
        is_bypassed = link.is_silent and link.is_bypassed
        return is_bypassed and link.down_since > since

    def is_bypassed(self, address: Address) -> bool:
        """Return whether the link is down while another host reaches the endpoint."""
        link = self.links.find(address)
        return not link.is_up and link.is_bypassed

    def check(self, address: Address, endpoint_id: str, *, since: timedelta) -> None:
        """Check a link in the background if nothing arrived on it since a time.

        Args:
            address: The endpoint's address.
            endpoint_id: The endpoint's id.
            since: When a request was sent that is not answered yet.
        """
        link = self.links.find(address)
        if link.is_up and (link.contact_at is None or link.contact_at < since):
            self._start_check(address, endpoint_id)

    async def is_reachable(self, address: Address, endpoint_id: str) -> bool:
        """Return whether an endpoint accepts connections on any way.

        Afterwards the state of the link is known.
        """
        try:
            transport, _ = await self.connect(address, endpoint_id, asyncio.Protocol)
        except (OSError, TimeoutError):
            return False
        transport.abort()
        direct = self._direct.get(address)
        if direct is not None:
            await asyncio.wait([direct])
        return True

    async def is_refused(self, address: Address) -> bool:
        """Return whether nothing listens at an endpoint's address.

        A direct connection is tried even if the link is down and not due for a retry:
        the refusal that tells it may just have been recorded. One that may be due to
        this host's own link does not count.
        """
        try:
            transport, _ = await self.connect_directly(address, asyncio.Protocol)
        except ConnectionRefusedError:
            return not await self.check_cut_off()
        except (OSError, TimeoutError):
            return False
        transport.abort()
        return False

    def close(self) -> None:
        """Cancel the checks and connection attempts under way."""
        for task in (*self._checks.values(), *self._direct.values()):
            task.cancel()
        if self._recovery is not None:
            self._recovery.cancel()

    def _start_recovery(self) -> None:
        if self._recovery is None or self._recovery.done():
            self._recovery = asyncio.create_task(self._recover())

    async def _recover(self) -> None:
        """Try the links that are down by turns, until this host is not cut off."""
        while self.is_cut_off:
            for address in self.links.list_down():
                await self._try_directly(address)
                if not await self.check_cut_off():
                    return
                await self._clock.sleep(RECOVERY_INTERVAL)

    def _start_check(self, address: Address, endpoint_id: str) -> None:
        if address not in self._checks:
            task = asyncio.create_task(self._check(address, endpoint_id))
            self._checks[address] = task
            task.add_done_callback(lambda _: self._checks.pop(address))

    async def _check(self, address: Address, endpoint_id: str) -> None:
        """Try a direct connection; if it fails, find out if another host has one."""
        try:
            transport, _ = await self.connect_directly(address, asyncio.Protocol)
        except (OSError, TimeoutError):
            if self.links.find(address).is_bypassed:
                return
            try:
                transport, _ = await self._open_tunnel(
                    address, endpoint_id, asyncio.Protocol
                )
            except OSError:
                return
        transport.abort()

    async def _connect_on_first_way(
        self, address: Address, endpoint_id: str, factory: ProtocolFactory
    ) -> Connected:
        """Connect directly, and after a short time or a failure by a tunnel too."""
        direct = self._start_direct(address, factory)
        tunnel: asyncio.Task[Connected] | None = None
        try:
            await asyncio.wait([direct], timeout=TUNNEL_DELAY.total_seconds())
            if _is_connected(direct):
                return direct.result()
            tunnel = asyncio.create_task(
                self._open_tunnel(address, endpoint_id, factory)
            )
            await asyncio.wait([direct, tunnel], return_when=asyncio.FIRST_COMPLETED)
            if not tunnel.done() and not _is_connected(direct):
                await asyncio.wait([tunnel])
            if _is_connected(tunnel) and not _is_connected(direct):
                return tunnel.result()
            return await asyncio.shield(direct)
        except ConnectionRefusedError as error:
            is_confirmed = tunnel is not None and _is_confirmed(tunnel)
            if not is_confirmed and await self.check_cut_off():
                raise LinkDownError("the link to the endpoint is down") from error
            raise
        finally:
            # The direct attempt goes on until its time limit, to tell whether the link
            # is up.
            for task in (direct, tunnel):
                if task is not None and not task.done():
                    task.add_done_callback(_abort_connected)
            if tunnel is not None and not tunnel.done():
                tunnel.cancel()
            # The tunnel's error is read even if the direct attempt has failed too, or
            # asyncio logs it as never retrieved.
            if tunnel is not None and _is_connected(tunnel) and _is_connected(direct):
                _abort_connected(tunnel)

    def _start_direct(
        self, address: Address, factory: ProtocolFactory
    ) -> asyncio.Task[Connected]:
        task = asyncio.create_task(self.connect_directly(address, factory))
        self._direct[address] = task

        def forget(task: asyncio.Task[Connected]) -> None:
            if not task.cancelled():
                task.exception()
            if self._direct.get(address) is task:
                del self._direct[address]

        task.add_done_callback(forget)
        return task

    async def _open_tunnel(
        self, address: Address, endpoint_id: str, factory: ProtocolFactory
    ) -> Connected:
        """Open a tunnel, and record that another host reaches the endpoint.

        Raises:
            LinkDownError: No host connected to the endpoint in time.
        """
        try:
            async with PauseAwareTimeout(TUNNEL_TIMEOUT, clock=self._clock):
                connected = await self.tunnels.open(endpoint_id, factory)
        except (NoTunnelError, TimeoutError) as error:
            raise LinkDownError(str(error) or "no tunnel in time") from error
        link = self.links.find(address)
        if link.is_up:
            # The direct attempt is still under way; it may yet succeed.
            direct = self._direct.get(address)
            if direct is not None:
                direct.add_done_callback(
                    lambda _: self._record_bypass(address, endpoint_id)
                )
        else:
            self._record_bypass(address, endpoint_id)
        return connected

    def _record_failure(
        self, address: Address, error: Exception, *, began_at: timedelta
    ) -> None:
        """Record that a direct connection failed, unless the link has carried data."""
        link = self.links.find(address)
        is_silent = isinstance(error, TimeoutError)
        has_data = link.contact_at is not None and link.contact_at >= began_at
        if is_silent and has_data:
            return
        self._log_failure(address, link, error)
        link.record_failure(self._clock.monotonic(), is_silent=is_silent)

    def _log_failure(self, address: Address, link: Link, error: Exception) -> None:
        if link.is_up:
            log_event(
                "links",
                "Endpoint not reached directly.",
                endpoint=address,
                why=str(error) or type(error).__name__,
            )

    def _record_bypass(self, address: Address, endpoint_id: str) -> None:
        """Record that another host reaches an endpoint that this one does not."""
        link = self.links.find(address)
        if link.is_up or link.is_bypassed:
            return
        link.is_bypassed = True
        log_event(
            "links",
            "Link down, endpoint reached through other hosts.",
            endpoint=endpoint_id,
            address=address,
            is_silent=link.is_silent,
        )
        if link.is_silent:
            self.on_silent(address)
            now = self._clock.monotonic()
            for other, other_id in list(self.list_idle())[:MAX_CHECKS]:
                self.check(other, other_id, since=now)


def _is_connected(task: asyncio.Task[Connected]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _abort_connected(task: asyncio.Task[Connected]) -> None:
    """Close a connection that is no longer needed."""
    if _is_connected(task):
        transport, _ = task.result()
        transport.abort()


def _is_confirmed(tunnel: asyncio.Task[Connected]) -> bool:
    """Return whether another host does not reach the endpoint either.

    Args:
        tunnel: The attempt to connect through another host.
    """
    error = tunnel.exception() if tunnel.done() and not tunnel.cancelled() else None
    cause = error.__cause__ if error is not None else None
    return isinstance(cause, NoTunnelError) and cause.is_confirmed
