"""Sends requests to one endpoint and checks that the answers are its own."""

from datetime import timedelta

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
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

#: How long a silent endpoint may take to accept a connection.
REACH_TIMEOUT = timedelta(milliseconds=80)
#: How long a process that ends may take to close its connections.
CLOSING_TIME = timedelta(milliseconds=10)
#: Sent where the caller gave no limit.
NO_DEADLINE = timedelta(seconds=30)
#: The longest answer of an endpoint's own interface, in bytes.
MAX_ORDER_BYTES = 1 << 20
#: A request that was waited for this long and is then given up says that its endpoint's
#: other idle connections may be silent, too: most answers take 50 ms, and one in a
#: hundred 250 ms. A caller that leaves sooner says nothing of them.
SILENT_AFTER = timedelta(milliseconds=500)
_URL_PREFIX = "http://"


class RunnerLink:
    """Sends requests to one endpoint and checks that the answers are its own.

    Args:
        endpoint: The endpoint.
        pool: The connections.
        clock: The clock.
        recorder: Where what its answers say of it is noted.
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
        must_connect: bool = False,
    ) -> tuple[ClientConnection, ResponseHead]:
        """Send a request and return the connection and the answer's head.

        Args:
            method: The method.
            target: The path and query, byte for byte.
            headers: The headers; those of the system are added.
            body: The body.
            workspace: Whose it is.
            deadline: When it is given up, on the monotonic clock.
            must_connect: Whether it is to be sent on a new connection.

        Raises:
            AttemptLostError: No answer of this endpoint came, or it did not run
                the request.
        """
        try:
            connection = await self._pool.take(self.address, must_be_new=must_connect)
        except ExchangeError as error:
            raise self.lost(LossKind.UNREACHABLE, error.detail) from error
        system = self._system_headers(workspace, deadline)
        start = self._recorder.start_of(self.endpoint_id)
        try:
            head = await connection.send(method, target, [*headers, *system], body)
        except ExchangeError as error:
            raise self.lost_in_exchange(error) from error
        except BaseException:
            self.abandon(connection)
            raise
        request_id = find_header(headers, names.REQUEST_ID)
        self._record_directives(head, start, request_id, sent_at=connection.sent_at)
        try:
            self._check(request_id, head)
        except AttemptLostError:
            connection.abort()
            raise
        return connection, head

    def release(self, connection: ClientConnection, head: ResponseHead) -> None:
        """Keep a connection whose answer was read whole."""
        self._pool.release(self.address, connection, head)

    def abandon(self, connection: ClientConnection) -> None:
        """Close a connection that is waited for no more, and what may be as silent."""
        connection.abort()
        if self._clock.monotonic() - connection.sent_at >= SILENT_AFTER:
            self._pool.invalidate(self.address)

    async def order(
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
        """Make a call to the endpoint's own interface and return its answer.

        Args:
            method: The method.
            path: The path.
            body: The JSON, or nothing.
            timeout: How long it may take.
            address: Another endpoint's address, to ask that one instead.
            endpoint_id: That endpoint.
            names_endpoint: Whether another endpoint that has the address by now is
                to refuse.
            headers: More headers.

        Raises:
            AttemptLostError: It was refused, or no answer came.
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
            raise self.lost(LossKind.REFUSED, "it has asked for rest")
        sent_at = self._clock.monotonic()
        try:
            answer = await self._pool.exchange(
                address,
                method,
                path,
                headers,
                body,
                most=MAX_ORDER_BYTES,
                timeout=timeout,
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
        """Return whether the endpoint accepts a connection."""
        try:
            connection = await self._pool.open(self.address, timeout=REACH_TIMEOUT)
        except ExchangeError:
            return False
        connection.abort()
        return True

    async def is_refusing(self) -> bool:
        """Return whether nothing listens at the endpoint's address.

        A process that ends closes one descriptor after the other: a connection that
        still comes up, and is closed at once, is looked at again.
        """
        is_closing = True
        while is_closing:
            try:
                connection = await self._pool.open(self.address, timeout=REACH_TIMEOUT)
            except ExchangeError as error:
                return isinstance(error.__cause__, ConnectionRefusedError)
            await self._clock.sleep(CLOSING_TIME)
            is_closing = connection.is_closed
            connection.abort()
        return False

    def lost(self, kind: LossKind, detail: str) -> AttemptLostError:
        """Return the error for a loss at this endpoint."""
        return AttemptLostError(
            kind, step="stream", peer=self.endpoint_id, detail=detail
        )

    def lost_in_exchange(self, error: ExchangeError) -> AttemptLostError:
        """Return the error for an exchange that failed."""
        if error.step is ExchangeStep.CONNECT:
            return self.lost(LossKind.UNREACHABLE, error.detail)
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
        """Take in what an answer says of the endpoint that was asked."""
        words = read_directives(
            head, endpoint_id=start.endpoint_id, request_id=request_id
        )
        if words is not None:
            self._recorder.record_directives(start, words, sent_at=sent_at)

    def _replaced(self, head: ResponseHead) -> AttemptLostError:
        """Return the error for an address that another endpoint has by now."""
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
        left = NO_DEADLINE
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
            AttemptLostError: It is not, or the endpoint did not run the request.
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
