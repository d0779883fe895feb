"""Chooses the hosts through which endpoints are reached, and opens tunnels there."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

from passtally.clock import Clock
from passtally.member_table import MemberState
from passtally.message_signing import MessageSigner
from passtally.messages import MemberRow
from passtally.settings import parse_address
from passtally.tunnel import (
    Connected,
    ProtocolFactory,
    TunnelInfo,
    TunnelRefusedError,
    open_tunnel,
)
from passtally.tunnel_messages import TunnelRefusal

#: Maximum number of hosts that are asked for one tunnel, and the time after which the
#: next one is asked too. A host answers within 5 ms, or, while it finds out that it
#: does not reach the endpoint either, after its own connection timeout.
MAX_ASKED = 4
ASK_INTERVAL = timedelta(milliseconds=30)
#: Time limit for opening a tunnel through one host.
OPEN_TIMEOUT = timedelta(milliseconds=300)
#: Time for which a host is not asked again after it was cut off itself, full or
#: stopping, or, for one endpoint, did not reach that endpoint. A host that did not
#: answer in time is asked last for as long.
AVOID_TIME = timedelta(seconds=1)


class NoTunnelError(Exception):
    """No other host connected to an endpoint.

    Args:
        asked: The number of hosts that were asked.
        is_confirmed: Whether a host that is not cut off itself does not reach the
            endpoint either.
    """

    def __init__(self, endpoint_id: str, *, asked: int, is_confirmed: bool) -> None:
        self.is_confirmed = is_confirmed
        self.asked = asked
        super().__init__(f"none of {asked} hosts connects to endpoint {endpoint_id}")


class TunnelHosts:
    """Opens tunnels through the other hosts.

    Args:
        list_hosts: Returns the rows of the other hosts that are reachable.
        own: Returns the row of this host.
        signer: Signs the messages.
        clock: The clock.
        rng: The source of randomness, which spreads tunnels over equal hosts.
    """

    def __init__(
        self,
        *,
        list_hosts: Callable[[], Sequence[MemberRow]],
        own: Callable[[], MemberRow],
        signer: MessageSigner,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._list_hosts = list_hosts
        self._own = own
        self._signer = signer
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._avoided_until: dict[tuple[str, str], timedelta] = {}
        self._slow_until: dict[str, timedelta] = {}
        #: Number of open tunnels through each host.
        self._open_by_host: Counter[str] = Counter()

    @property
    def count(self) -> int:
        """The number of open tunnels."""
        return self._open_by_host.total()

    async def open(self, endpoint_id: str, factory: ProtocolFactory) -> Connected:
        """Open a tunnel through the first host that connects to the endpoint.

        Hosts are asked one after the other, the next one early if one does not answer.

        Raises:
            NoTunnelError: No host connected to the endpoint.
        """
        attempts = _Attempts()
        hosts = self._choose(endpoint_id)
        try:
            while True:
                row = next(hosts, None)
                if row is None and not attempts.pending:
                    break
                if row is not None:
                    work = self._open_at(row, endpoint_id, factory, attempts)
                    attempts.start(row.host_id, work)
                connected = await attempts.wait_for_next(
                    None if row is None else ASK_INTERVAL
                )
                if connected is not None:
                    for host_id in attempts.pending.values():
                        self._record_slow(host_id)
                    return connected
        finally:
            attempts.cancel()
        raise NoTunnelError(
            endpoint_id, asked=attempts.asked, is_confirmed=attempts.is_confirmed
        )

    def _choose(self, endpoint_id: str) -> Iterator[MemberRow]:
        """Return hosts to ask: by turns one of this failure domain and one of another.

        Within a domain, the hosts with the fewest tunnels of this host come first.
        Hosts of one domain often lose their links together, so that only asking these
        would take long.
        """
        now = self._clock.monotonic()
        self._avoided_until = {
            key: until for key, until in self._avoided_until.items() if until > now
        }
        usable = [
            row for row in self._list_hosts() if self._is_usable(row, endpoint_id)
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda row: self._open_by_host[row.host_id])
        own_domain = self._own().failure_domain
        near = [row for row in usable if row.failure_domain == own_domain]
        far = [row for row in usable if row.failure_domain != own_domain]
        turns = itertools.chain.from_iterable(itertools.zip_longest(near, far))
        ordered = [row for row in turns if row is not None]
        ordered.sort(key=lambda row: self._slow_until.get(row.host_id, now) > now)
        return iter(ordered[:MAX_ASKED])

    def _is_usable(self, row: MemberRow, endpoint_id: str) -> bool:
        is_running = row.state == MemberState.ALIVE and not row.leaving
        return (
            bool(row.tunnel_address)
            and is_running
            and (row.host_id, "") not in self._avoided_until
            and (row.host_id, endpoint_id) not in self._avoided_until
        )

    async def _open_at(
        self,
        row: MemberRow,
        endpoint_id: str,
        factory: ProtocolFactory,
        attempts: "_Attempts",
    ) -> Connected | None:
        """Open a tunnel through one host; return None if that fails."""
        own_id = self._own().host_id
        info = TunnelInfo(
            id=f"{own_id}-{next(self._numbers)}",
            host_id=row.host_id,
            endpoint_id=endpoint_id,
        )
        try:
            async with asyncio.timeout(OPEN_TIMEOUT.total_seconds()):
                return await open_tunnel(
                    parse_address(row.tunnel_address),
                    info,
                    factory,
                    own_id=own_id,
                    signer=self._signer,
                    count=partial(self._count, row.host_id),
                )
        except TunnelRefusedError as error:
            attempts.is_confirmed |= self._record_refusal(error, endpoint_id)
        except TimeoutError:
            self._record_slow(row.host_id)
        return None

    def _count(self, host_id: str, change: int) -> None:
        self._open_by_host[host_id] += change

    def _record_refusal(self, error: TunnelRefusedError, endpoint_id: str) -> bool:
        """Avoid a host for a while; return whether it confirms the failure."""
        is_about_endpoint = error.reason in (
            TunnelRefusal.ENDPOINT_REFUSED,
            TunnelRefusal.UNREACHABLE,
            TunnelRefusal.UNKNOWN_ENDPOINT,
        )
        if error.is_cut_off or not is_about_endpoint:
            self._avoid(error.peer)
            return False
        self._avoid(error.peer, endpoint_id)
        return error.reason is not TunnelRefusal.UNKNOWN_ENDPOINT

    def _record_slow(self, host_id: str) -> None:
        """Ask a host last for a while; it may be the only one that has a link."""
        self._slow_until[host_id] = self._clock.monotonic() + AVOID_TIME

    def _avoid(self, host_id: str, endpoint_id: str = "") -> None:
        until = self._clock.monotonic() + AVOID_TIME
        self._avoided_until[host_id, endpoint_id] = until


class _Attempts:
    """The requests for one tunnel, to one host each.

    Attributes:
        asked: The number of hosts that were asked.
        is_confirmed: Whether a host that is not cut off does not reach the endpoint.
        pending: The hosts that have not answered, by task.
    """

    def __init__(self) -> None:
        self.asked = 0
        self.is_confirmed = False
        self.pending: dict[asyncio.Task[Connected | None], str] = {}

    def start(self, host_id: str, work: Coroutine[Any, Any, Connected | None]) -> None:
        """Ask one more host."""
        self.asked += 1
        self.pending[asyncio.create_task(work)] = host_id

    async def wait_for_next(self, timeout: timedelta | None) -> Connected | None:
        """Wait until a host has answered, and return its tunnel if it opened one."""
        seconds = None if timeout is None else timeout.total_seconds()
        done, _ = await asyncio.wait(
            self.pending, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.result() is not None:
                del self.pending[task]
                return task.result()
        for task in done:
            del self.pending[task]
        return None

    def cancel(self) -> None:
        """Stop asking, and close tunnels that are no longer needed."""
        for task in self.pending:
            task.add_done_callback(_abort_opened)
            task.cancel()


def _abort_opened(task: asyncio.Task[Connected | None]) -> None:
    """Close a tunnel that was opened when it was no longer needed."""
    if not task.cancelled() and task.exception() is None and task.result() is not None:
        transport, _ = task.result()
        transport.abort()
