"""Sends requests to one endpoint and checks that the answers come from it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum
from functools import partial

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.decision import log_event
from passtally.endpoint_dialer import LinkDownError
from passtally.endpoint_directives import DirectiveRecorder
from passtally.engine import AttemptLostError
from passtally.fetch import find_header
from passtally.http_client import (
    ClientConnection,
    ExchangeError,
    ExchangeStep,
    RawHeaders,
    ResponseHead,
)
from passtally.objects import Endpoint, EndpointStart
from passtally.platform import names
from passtally.platform.answer_directives import read_directives
from passtally.retry import LossKind
from passtally.settings import Address, parse_address

#: Time in which an exiting process closes its connections.
CLOSING_TIME = timedelta(milliseconds=10)
#: Maximum number of checks whether an endpoint that closes connections at once has
#: exited. Another process may listen at its address and close them for good.
MAX_CLOSING_CHECKS = 20
#: Time limit sent to the endpoint if the caller gave none.
DEFAULT_TIME_LEFT = timedelta(seconds=30)
#: Maximum size of an answer to :meth:`RunnerLink.call_interface`, in bytes.
MAX_INTERFACE_BYTES = 1 << 20
#: Wait for the answer to a call after which the link to its endpoint is checked, if the
#: endpoint has sent nothing else meanwhile. Most answers take 50 ms.
LINK_CHECK_AFTER = timedelta(milliseconds=200)
#: Minimum wait after which an abandoned request invalidates its endpoint's idle
#: connections, since they may be silent as well. Most answers take 50 ms, and one in a
#: hundred takes 250 ms, so an earlier end of the wait is no sign of silent connections.
SILENT_AFTER = timedelta(milliseconds=500)
_URL_PREFIX = "http://"


class Listener(StrEnum):
    """What is known of the listener at an endpoint's address."""

    PRESENT = "present"
    #: Nothing listens there: the endpoint has exited.
    GONE = "gone"
    #: It is not reached, which may be due to the link.
    UNKNOWN = "unknown"


class RunnerLink:
    """Sends requests to one endpoint and checks that the answers come from it.

    Args:
        endpoint: The endpoint.
        pool: The connection pool.
        clock: The clock.
        recorder: Records the directives in the answers.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
    ) -> None:
        self._recorder = recorder
        self.address = parse_address(endpoint.url.removeprefix(_URL_PREFIX))
        self.endpoint_id = endpoint.id
        self._pool = pool
        self._clock = clock

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        *,
        workspace: str,
        deadline: timedelta | None,
        needs_new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
        checks_link: bool = False,
    ) -> tuple[ClientConnection, ResponseHead]:
        """Send a request and return the connection and the answer's head.

        Args:
            method: The method.
            target: The path and query, byte for byte.
            headers: The headers, without those that the system adds.
            body: The body.
            workspace: The workspace that the request belongs to.
            deadline: The time at which the caller gives up, on the monotonic clock.
            needs_new_connection: Whether to use a new connection instead of a pooled
                one.
            before_send: Called once there is a connection, before the first byte; an
                error that it raises prevents the send.
            checks_link: Whether to check the link to the endpoint if the answer takes
                longer than those of calls.

        Raises:
            AttemptLostError: No answer of this endpoint arrived, or the endpoint did
                not run the request.
        """
        try:
            connection = await self._pool.acquire(
                self.address,
                endpoint_id=self.endpoint_id,
                must_be_new=needs_new_connection,
            )
        except ExchangeError as error:
            raise self.lost(LossKind.UNREACHABLE, error.detail) from error
        try:
            if before_send is not None:
                before_send()
        except BaseException:
            connection.abort()
            raise
        system = self._system_headers(workspace, deadline)
        start = self._recorder.start_of(self.endpoint_id)
        request_id = find_header(headers, names.REQUEST_ID)
        _log_tunnel(connection, request_id)
        check = self._schedule_check() if checks_link else None
        try:
            head = await connection.send(method, target, [*headers, *system], body)
        except ExchangeError as error:
            raise self.lost_in_exchange(error) from error
        except BaseException:
            self.abandon(connection)
            raise
        finally:
            if check is not None:
                check.cancel()
        self._record_directives(head, start, request_id, sent_at=connection.sent_at)
        try:
            self._check(request_id, head)
        except AttemptLostError:
            connection.abort()
            raise
        return connection, head

    def _schedule_check(self) -> asyncio.TimerHandle:
        """Schedule a check of the link, for an answer that takes long."""
        return asyncio.get_running_loop().call_later(
            LINK_CHECK_AFTER.total_seconds(),
            partial(
                self._pool.dialer.check,
                self.address,
                self.endpoint_id,
                since=self._clock.monotonic(),
            ),
        )

    def release(self, connection: ClientConnection, head: ResponseHead) -> None:
        """Return a connection to the pool after its answer was read completely."""
        self._pool.release(self.address, connection, head)

    def abandon(self, connection: ClientConnection) -> None:
        """Close the connection of a request that is no longer waited for.

        After a long wait the endpoint's idle connections are invalidated as well.
        """
        connection.abort()
        if self._clock.monotonic() - connection.sent_at >= SILENT_AFTER:
            self._pool.invalidate(self.address)

    async def call_interface(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
        timeout: timedelta,
        *,
        address: Address | None = None,
        endpoint_id: str = "",
        names_endpoint: bool = False,
        headers: RawHeaders = (),
    ) -> bytes:
        """Call the endpoint's management interface and return the body of the answer.

        Args:
            method: The method.
            path: The path.
            body: The JSON body; may be empty.
            timeout: Timeout of the whole call.
            address: The address of another endpoint to call instead of this one.
            endpoint_id: The id of that other endpoint.
            names_endpoint: Whether to send the expected endpoint's id, so that
                another endpoint at a reused address rejects the call.
            headers: Additional headers.

        Raises:
            AttemptLostError: The call was rejected, or no answer arrived in time.
        """
        address = address or self.address
        headers = [
            (b"Host", str(address).encode()),
            (b"Content-Type", b"application/json"),
            *headers,
        ]
        if names_endpoint:
            headers.append((b"X-Expect-Instance", self.endpoint_id.encode()))
        start = self._recorder.start_of(endpoint_id or self.endpoint_id)
        if not self._recorder.may_query(start):
            raise self.lost(LossKind.REFUSED, "the endpoint asked for a back-off")
        sent_at = self._clock.monotonic()
        try:
            answer = await self._pool.exchange(
                address,
                method,
                path,
                headers,
                body,
                most=MAX_INTERFACE_BYTES,
                timeout=timeout,
                endpoint_id=endpoint_id or self.endpoint_id,
                on_head=lambda head: self._record_directives(
                    head, start, sent_at=sent_at
                ),
            )
        except ExchangeError as error:
            raise self.lost_in_exchange(error) from error
        except TimeoutError as error:
            raise self.lost(LossKind.FROZEN, "no answer in time") from error
        head = answer.head
        if head.status == 421:
            raise self._replaced(head)
        if head.status != 200:
            raise self.lost(LossKind.REFUSED, f"status {head.status}")
        return answer.body

    async def is_reachable(self) -> bool:
        """Return whether the endpoint accepts a connection, on any way."""
        return await self._pool.dialer.is_reachable(self.address, self.endpoint_id)

    def is_silent(self, *, since: timedelta) -> bool:
        """Return whether connections opened before are silent at a live endpoint.

        Args:
            since: When a connection was opened, on the monotonic clock.
        """
        return self._pool.dialer.is_silent(self.address, since=since)

    @property
    def is_bypassed(self) -> bool:
        """Whether only other hosts reach the endpoint."""
        return self._pool.dialer.is_bypassed(self.address)

    async def find_listener(self) -> Listener:
        """Find out whether the endpoint listens at its address.

        A refusal that may be due to this host's own link does not count.

        An exiting process closes its descriptors one after the other, so its listener
        may still accept connections. If a new connection is closed at once, the check
        is repeated.
        """
        for _ in range(MAX_CLOSING_CHECKS):
            try:
                connection = await self._pool.open(
                    self.address, endpoint_id=self.endpoint_id
                )
            except ExchangeError as error:
                return await self._explain(error)
            await self._clock.sleep(CLOSING_TIME)
            is_closing = connection.is_closed
            connection.abort()
            if not is_closing:
                return Listener.PRESENT
        return Listener.UNKNOWN

    async def _explain(self, error: ExchangeError) -> Listener:
        """Return what a failure to connect tells about the listener."""
        is_gone = isinstance(error.__cause__, ConnectionRefusedError)
        if isinstance(error.__cause__, LinkDownError):
            is_gone = await self._pool.dialer.is_refused(self.address)
        return Listener.GONE if is_gone else Listener.UNKNOWN

    async def check_unmarked_end(self) -> None:
        """Check that an answer may be whole whose end only a close marks.

        Raises:
            AttemptLostError: The endpoint was not found to run. A killed process closes
                its connections in order, in the middle of an answer.
        """
        listener = await self.find_listener()
        if listener is not Listener.PRESENT:
            detail = f"closed without a mark of the end, listener {listener}"
            raise self.lost(LossKind.RESET, detail)

    def lost(self, kind: LossKind, detail: str) -> AttemptLostError:
        """Return the error for an attempt that was lost at this endpoint."""
        return AttemptLostError(
            kind, step="stream", peer=self.endpoint_id, detail=detail
        )

    def lost_in_exchange(self, error: ExchangeError) -> AttemptLostError:
        """Return the error for an exchange that failed."""
        if error.step is ExchangeStep.CONNECT:
            return self.lost(LossKind.UNREACHABLE, error.detail)
        if error.is_link_lost:
            return self.lost(LossKind.LINK, error.detail)
        if error.is_not_held:
            return self.lost(LossKind.NOT_HELD, error.detail)
        kind = LossKind.RESUME_MISMATCH if error.is_garbled else LossKind.RESET
        return self.lost(kind, error.detail)

    def _record_directives(
        self,
        head: ResponseHead,
        start: EndpointStart,
        request_id: bytes | None = None,
        *,
        sent_at: timedelta,
    ) -> None:
        """Record the directives of an answer if it is the endpoint's own."""
        directives = read_directives(
            head, endpoint_id=start.endpoint_id, request_id=request_id
        )
        if directives is not None:
            self._recorder.record_directives(start, directives, sent_at=sent_at)

    def _replaced(self, head: ResponseHead) -> AttemptLostError:
        """Return the error for an address that another endpoint has taken over."""
        successor = head.header(names.ANSWERED_BY) or b""
        return AttemptLostError(
            LossKind.REPLACED,
            step="stream",
            peer=self.endpoint_id,
            detail="another endpoint has the address",
            successor=successor.decode("latin-1"),
        )

    def _system_headers(
        self, workspace: str, deadline: timedelta | None
    ) -> list[tuple[bytes, bytes]]:
        left = DEFAULT_TIME_LEFT
        if deadline is not None:
            left = max(deadline - self._clock.monotonic(), timedelta(milliseconds=1))
        headers = [
            (b"X-Expect-Instance", self.endpoint_id.encode()),
            (b"X-Deadline-Ms", str(int(left / timedelta(milliseconds=1))).encode()),
        ]
        if workspace:
            headers.append((b"X-Tenant-Id", workspace.encode()))
        return headers

    def _check(self, request_id: bytes | None, head: ResponseHead) -> None:
        """Check that an answer is this endpoint's answer to the request.

        Raises:
            AttemptLostError: The answer is not, or the endpoint did not run the
                request.
        """
        if head.header(names.REQUEST_ID) not in (None, request_id):
            raise self.lost(
                LossKind.RESUME_MISMATCH, "the answer belongs to another request"
            )
        if head.status == 421:
            raise self._replaced(head)
        if head.header(names.NOT_RUN) is not None:
            raise self.lost(LossKind.REFUSED, f"not run, status {head.status}")
        if head.header(names.CONTENT_ENCODING) is not None:
            raise self.lost(
                LossKind.RESUME_MISMATCH, "the answer has a content encoding"
            )
        is_success = 200 <= head.status < 300
        if is_success and head.header(names.PROOF) is None:
            raise self.lost(LossKind.RESUME_MISMATCH, "a success without proof")


def _log_tunnel(connection: ClientConnection, request_id: bytes | None) -> None:
    """Log which tunnel carries a request; both hosts log the tunnel's id."""
    if connection.tunnel is not None:
        log_event(
            "tunnel",
            "Sent a request.",
            request=(request_id or b"").decode("latin-1"),
            tunnel=connection.tunnel.id,
            peer=connection.tunnel.host_id,
            endpoint=connection.tunnel.endpoint_id,
        )
