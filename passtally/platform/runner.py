"""The endpoints on the platform: model engines and plain services over HTTP/1.1."""

import asyncio
import re
from collections.abc import Callable, Sequence
from datetime import timedelta

from multidict import CIMultiDict

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import AttemptLostError, LoadReport
from passtally.generation import Attempt, GenerationRequest, TokenEvent
from passtally.http_client import (
    ClientConnection,
    ConnectionPool,
    ExchangeError,
    ExchangeStep,
    RawHeaders,
    ResponseHead,
    drop_connection_headers,
)
from passtally.live_endpoint import LiveEndpoint
from passtally.objects import Endpoint
from passtally.plain import PlainAnswer, PlainCall
from passtally.platform import names
from passtally.platform.decode import (
    count_unread_runs,
    decode_copy_handle,
    decode_kept_parts,
    encode_copy_order,
    is_engine_report,
)
from passtally.retry import LossKind
from passtally.settings import Address, parse_address

#: The longest answer of a call that is taken, in bytes.
MAX_ANSWER_BYTES = 16 << 20
#: The longest event of a stream that is taken, in bytes.
MAX_EVENT_BYTES = 1 << 20
#: How long a silent endpoint may take to accept a connection.
REACH_TIMEOUT = timedelta(milliseconds=80)
#: Sent where the caller gave no limit.
NO_DEADLINE = timedelta(seconds=30)
DEFAULT_PRIORITY = 5
#: How long copying a run may take. A copy of 1.8 GB takes 60 to 120 ms, and copies
#: wait for each other.
COPY_TIMEOUT = timedelta(seconds=1.5)
REPORT_TIMEOUT = timedelta(milliseconds=300)
#: How long a report may take that a placement waits for. It takes no slot and two
#: trips; one that is out of reach is given up as soon as a connection would be.
ASK_TIMEOUT = timedelta(milliseconds=100)
REPORT_PATH = b"/api/report"
#: All cache events that it still has. They are told at once where there are some; a
#: call that would wait for less than this is paid for as a probe.
CACHE_EVENTS_PATH = b"/api/kv-events?since=0"
CACHE_EVENTS_WAIT = ((b"Wait-Ms", b"200"),)
#: The longest answer of an endpoint's own interface, in bytes.
MAX_ORDER_BYTES = 1 << 20

_URL_PREFIX = "http://"
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_EVENT_END = b"\n\n"


class RunnerLink:
    """Sends requests to one endpoint and checks that the answers are its own.

    Args:
        endpoint: The endpoint.
        pool: The connections.
        clock: The clock.
    """

    def __init__(
        self, *, endpoint: Endpoint, pool: ConnectionPool, clock: Clock
    ) -> None:
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
    ) -> tuple[ClientConnection, ResponseHead]:
        """Send a request and return the connection and the answer's head.

        Raises:
            AttemptLostError: No answer of this endpoint came, or it did not run
                the request.
        """
        try:
            connection = await self._pool.take(self.address)
        except ExchangeError as error:
            raise self.lost(LossKind.UNREACHABLE, error.detail) from error
        system = self._system_headers(workspace, deadline)
        try:
            head = await connection.send(method, target, [*headers, *system], body)
        except ExchangeError as error:
            raise self.lost_in_exchange(error) from error
        except BaseException:
            connection.abort()
            raise
        try:
            self._check(headers, head)
        except AttemptLostError:
            connection.abort()
            raise
        return connection, head

    def give_back(self, connection: ClientConnection, head: ResponseHead) -> None:
        """Keep a connection whose answer was read whole."""
        self._pool.give_back(self.address, connection, head)

    async def order(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
        timeout: timedelta,
        *,
        address: Address | None = None,
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
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                connection = await self._pool.take(address)
                try:
                    head = await connection.send(method, path, headers, body)
                    answer = await connection.read_all(MAX_ORDER_BYTES)
                except BaseException:
                    connection.abort()
                    raise
        except ExchangeError as error:
            raise self.lost_in_exchange(error) from error
        except TimeoutError as error:
            raise self.lost(LossKind.FROZEN, "no answer in time") from error
        self._pool.give_back(address, connection, head)
        if head.status == 421:
            raise self._replaced(head)
        if head.status != 200:
            raise self.lost(LossKind.REFUSED, f"status {head.status}")
        return answer

    async def is_reachable(self) -> bool:
        """Return whether the endpoint accepts a connection."""
        try:
            connection = await self._pool.open(self.address, timeout=REACH_TIMEOUT)
        except ExchangeError:
            return False
        connection.abort()
        return True

    def lost(self, kind: LossKind, detail: str) -> AttemptLostError:
        """Return the error for a loss at this endpoint."""
        return AttemptLostError(
            kind, step="stream", peer=self.endpoint_id, detail=detail
        )

    def lost_in_exchange(self, error: ExchangeError) -> AttemptLostError:
        """Return the error for an exchange that failed."""
        if error.step is ExchangeStep.CONNECT:
            return self.lost(LossKind.UNREACHABLE, error.detail)
        kind = LossKind.SEAM if error.is_garbled else LossKind.RESET
        return self.lost(kind, error.detail)

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

    def _check(self, headers: RawHeaders, head: ResponseHead) -> None:
        """Check that an answer is this endpoint's answer to the request.

        Raises:
            AttemptLostError: It is not, or the endpoint did not run the request.
        """
        sent_id = next(
            (value for name, value in headers if name.lower() == names.REQUEST_ID),
            None,
        )
        if head.header(names.REQUEST_ID) not in (None, sent_id):
            raise self.lost(LossKind.SEAM, "the answer belongs to another request")
        if head.status == 421:
            raise self._replaced(head)
        if head.header(names.NOT_RUN) is not None:
            raise self.lost(LossKind.REFUSED, f"not run, status {head.status}")
        if head.header(names.CONTENT_ENCODING) is not None:
            raise self.lost(LossKind.SEAM, "the answer has a content encoding")
        is_success = 200 <= head.status < 300
        if is_success and head.header(names.PROOF) is None:
            raise self.lost(LossKind.SEAM, "a success without proof")


class RunnerSender:
    """Sends plain calls.

    Args:
        pool: The connections.
        clock: The clock.
    """

    def __init__(self, *, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def send(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        before_send: Callable[[], None] | None = None,
    ) -> PlainAnswer:
        """Send a call once and return its answer."""
        link = RunnerLink(endpoint=live.endpoint, pool=self._pool, clock=self._clock)
        if before_send is not None:
            before_send()
        connection, head = await link.send(
            call.method.encode("latin-1"),
            call.path.encode("latin-1"),
            [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in call.headers.items()
            ],
            call.body,
            workspace=call.workspace,
            deadline=call.deadline,
        )
        try:
            body = await connection.read_all(MAX_ANSWER_BYTES)
        except ExchangeError as error:
            raise link.lost_in_exchange(error) from error
        except BaseException:
            connection.abort()
            raise
        link.give_back(connection, head)
        headers = CIMultiDict(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in drop_connection_headers(head.headers)
        )
        return PlainAnswer(
            status=head.status, headers=headers, body=body, is_framed=head.is_framed
        )


class RunnerEngine:
    """A model engine whose answers are passed on event by event.

    Args:
        endpoint: The endpoint.
        pool: The connections.
        clock: The clock.
        find_address: Returns where an endpoint listens, by its id.
    """

    reports_load = False
    keeps_streams = False

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        pool: ConnectionPool,
        clock: Clock,
        find_address: Callable[[str], Address | None],
    ) -> None:
        self._link = RunnerLink(endpoint=endpoint, pool=pool, clock=clock)
        self._find_address = find_address

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> "RunnerStream":
        """Run a request, going on after the events that were delivered."""
        return await self._open(request, attempt, position=len(prior))

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> "RunnerStream":
        """Go on from the replica that this endpoint keeps."""
        extra = [(b"Kv-From", attempt.resume_ref.encode())]
        return await self._open(request, attempt, position=position, extra=extra)

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Do nothing: closing the connection has ended the run."""

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Copy a run's state to another endpoint; the run goes on."""
        address = self._find_address(target)
        if address is None:
            raise self._link.lost(LossKind.REFUSED, f"{target} is not known")
        order = encode_copy_order(generation_id, str(address))
        body = await self._link.order(b"POST", b"/api/kv-move", order, COPY_TIMEOUT)
        return f"{self._link.address}/{decode_copy_handle(body)}"

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Let go of a copy at another endpoint; it may not hear."""
        address = self._find_address(target)
        if address is None:
            return
        _, _, handle = replica_ref.partition("/")
        path = f"/api/kv-handle/{handle}".encode()
        try:
            await self._link.order(b"DELETE", path, b"", COPY_TIMEOUT, address=address)
        except AttemptLostError as error:
            log_event("replica", "Could not drop a copy.", peer=target, why=error)

    async def is_engine(self) -> bool:
        """Return whether a model engine answers at its address."""
        try:
            body = await self._link.order(b"GET", REPORT_PATH, b"", REPORT_TIMEOUT)
        except AttemptLostError as error:
            log_event("successor", "No report.", peer=error.peer, why=error)
            return False
        return is_engine_report(body)

    async def count_unread(self) -> int:
        """Return how many runs there have no output yet."""
        body = await self._link.order(
            b"GET", REPORT_PATH, b"", ASK_TIMEOUT, names_endpoint=True
        )
        try:
            return count_unread_runs(body)
        except ValueError as error:
            raise self._link.lost(LossKind.SEAM, str(error)) from error

    async def list_kept_prompts(self) -> frozenset[str]:
        """Return the parts of prompts that its last cache events name."""
        body = await self._link.order(
            b"GET", CACHE_EVENTS_PATH, b"", ASK_TIMEOUT, headers=CACHE_EVENTS_WAIT
        )
        try:
            return decode_kept_parts(body)
        except ValueError as error:
            raise self._link.lost(LossKind.SEAM, str(error)) from error

    async def probe(self) -> LoadReport | None:
        """Return none: reports lag, and each is paid for."""
        return None

    async def is_reachable(self) -> bool:
        """Return whether the endpoint accepts a connection."""
        return await self._link.is_reachable()

    async def _open(
        self,
        request: GenerationRequest,
        attempt: Attempt,
        *,
        position: int,
        extra: RawHeaders = (),
    ) -> "RunnerStream":
        raw = request.raw
        headers = [*raw.headers, *extra]
        if position:
            headers.append((b"Last-Event-Id", str(position).encode()))
        if request.priority != DEFAULT_PRIORITY:
            headers.append((b"X-Request-Priority", str(request.priority).encode()))
        replica_at = self._find_address(attempt.replica_id)
        if replica_at is not None:
            headers.append((b"X-Kv-Backup", str(replica_at).encode()))
            attempt.replica_ref = f"{replica_at}/{request.id}"
        connection, head = await self._link.send(
            raw.method,
            raw.target,
            headers,
            raw.body,
            workspace=request.workspace,
            deadline=request.deadline,
        )
        if not 200 <= head.status < 300:
            connection.abort()
            raise self._link.lost(LossKind.RESET, f"status {head.status}")
        attempt.head = head
        return RunnerStream(
            link=self._link, connection=connection, head=head, position=position
        )


class RunnerStream:
    """The events of one attempt; each event counts as one token.

    Args:
        link: The endpoint.
        connection: The connection that they come on.
        head: The head of the answer.
        position: The last event that was delivered before.
    """

    report: LoadReport | None = None

    def __init__(
        self,
        *,
        link: RunnerLink,
        connection: ClientConnection,
        head: ResponseHead,
        position: int,
    ) -> None:
        self._link = link
        self._connection = connection
        self._head = head
        self._position = position
        self._rest = b""
        self._is_whole = False

    async def read(self) -> list[TokenEvent]:
        """Return the events that arrived together; none once it has ended."""
        try:
            while not self._is_whole:
                chunk = await self._connection.read()
                if not chunk:
                    return [self._end()]
                events = self._decode(chunk)
                if events:
                    return events
        except ExchangeError as error:
            raise self._link.lost_in_exchange(error) from error
        return []

    def close(self) -> None:
        """Give the connection back after a whole answer, else drop it."""
        if self._is_whole:
            self._link.give_back(self._connection, self._head)
        else:
            self._connection.abort()

    def _end(self) -> TokenEvent:
        if self._rest.strip():
            raise self._link.lost(LossKind.RESET, "the stream ended inside an event")
        self._is_whole = True
        return TokenEvent(
            position=self._position,
            token_ids=[],
            text_offset=0,
            text="",
            finish_reason="end",
        )

    def _decode(self, chunk: bytes) -> list[TokenEvent]:
        """Return the whole events so far; a part event waits for its rest."""
        *whole, self._rest = (self._rest + chunk).split(_EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise self._link.lost(LossKind.SEAM, "an event is too long")
        return [self._decode_one(raw + _EVENT_END) for raw in whole]

    def _decode_one(self, raw: bytes) -> TokenEvent:
        found = _EVENT_ID.search(raw)
        if found is None:
            raise self._link.lost(LossKind.SEAM, "an event without an id")
        self._position = int(found.group(1))
        return TokenEvent(
            position=self._position - 1,
            token_ids=[0],
            text_offset=0,
            text="",
            payload=raw,
        )
