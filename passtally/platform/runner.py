"""Clients of the platform's endpoints: model engines and plain services on HTTP/1.1."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from multidict import CIMultiDict

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.decision import log_event
from passtally.endpoint_directives import DirectiveRecorder
from passtally.engine import AttemptLostError, LoadReport
from passtally.generation import Attempt, GenerationRequest
from passtally.held_bodies import MAX_ANSWER_BYTES, HeldBodies
from passtally.http_client import (
    ExchangeError,
    RawHeaders,
    drop_connection_headers,
)
from passtally.live_endpoint import LiveEndpoint
from passtally.objects import Endpoint
from passtally.plain_call import PlainAnswer, PlainCall
from passtally.platform.decode import (
    count_waiting_runs,
    decode_cached_parts,
    decode_copy_handle,
    encode_copy_order,
    is_engine_report,
)
from passtally.platform.runner_link import Listener, RunnerLink
from passtally.platform.runner_stream import RunnerStream
from passtally.retry import LossKind
from passtally.settings import Address

#: Rank of the least urgent requests at an engine; 0 is the most urgent.
MAX_ENGINE_RANK = 9
#: Timeout of copying a run. A copy of 1.8 GB takes 60 to 120 ms, and copies queue for
#: each other.
COPY_TIMEOUT = timedelta(seconds=1.5)
#: Timeout of the report that tells whether an endpoint is a model engine.
REPORT_TIMEOUT = timedelta(milliseconds=300)
#: Timeout of a query that a placement waits for. The query takes no slot and two round
#: trips; an unreachable endpoint is given up about as soon as a connection attempt.
QUERY_TIMEOUT = timedelta(milliseconds=100)
REPORT_PATH = b"/api/report"
#: Requests all cache events that an endpoint still has. It answers at once if there are
#: any; a request with a shorter maximum wait than the one below is charged as a probe.
CACHE_EVENTS_PATH = b"/api/kv-events?since=0"
CACHE_EVENTS_WAIT = ((b"Wait-Ms", b"200"),)


class RunnerSender:
    """Sends plain calls to endpoints.

    Args:
        pool: The connection pool.
        clock: The clock.
        recorder: Records the directives in the answers.
        answers: The bodies of the answers that are being read.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
        answers: HeldBodies,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._recorder = recorder
        self._answers = answers

    async def send(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        before_send: Callable[[], None] | None = None,
    ) -> PlainAnswer:
        """Send a call once and return its answer."""
        link = RunnerLink(
            endpoint=live.endpoint,
            pool=self._pool,
            clock=self._clock,
            recorder=self._recorder,
        )
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
            needs_new_connection=call.needs_new_connection,
            before_send=before_send,
            checks_link=True,
        )
        held = self._answers.open()
        try:
            body = await connection.read_all(MAX_ANSWER_BYTES, reserve=held.reserve)
        except ExchangeError as error:
            log_event(
                "calls",
                "No complete answer.",
                peer=link.endpoint_id,
                size=held.size,
                why=error,
            )
            raise link.lost_in_exchange(error) from error
        except BaseException:
            link.abandon(connection)
            raise
        finally:
            held.release()
        link.release(connection, head)
        if not head.is_framed:
            await link.check_unmarked_end()
        headers = CIMultiDict(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in drop_connection_headers(head.headers)
        )
        return PlainAnswer(
            status=head.status, headers=headers, body=body, is_framed=head.is_framed
        )


class RunnerEngine:
    """A model engine whose answers are forwarded event by event.

    Args:
        endpoint: The endpoint.
        pool: The connection pool.
        clock: The clock.
        recorder: Records the directives in the answers.
        find_address: Returns the address of an endpoint by its id, or None.
    """

    reports_load = False
    keeps_streams = False

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
        find_address: Callable[[str], Address | None],
    ) -> None:
        self._link = RunnerLink(
            endpoint=endpoint, pool=pool, clock=clock, recorder=recorder
        )
        self._find_address = find_address

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> "RunnerStream":
        """Run a request, continuing after the events that were delivered."""
        return await self._open(request, attempt, position=len(prior))

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> "RunnerStream":
        """Resume a run from the replica that this endpoint keeps."""
        extra = [(b"Kv-From", attempt.resume_ref.encode())]
        if not position:
            # A replica is used only by a request that states a position.
            extra.append((b"Last-Event-Id", b"0"))
        return await self._open(request, attempt, position=position, extra=extra)

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Do nothing: the engine stops a run when its connection closes."""

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Copy a run's state to another endpoint while the run continues."""
        address = self._find_address(target)
        if address is None:
            raise self._link.lost(LossKind.REFUSED, f"endpoint {target} is not known")
        order = encode_copy_order(generation_id, str(address))
        body = await self._link.call_interface(
            b"POST", b"/api/kv-move", order, COPY_TIMEOUT
        )
        return f"{self._link.address}/{decode_copy_handle(body)}"

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Delete a copy at another endpoint; a failure is logged and ignored."""
        address = self._find_address(target)
        if address is None:
            return
        _, _, handle = replica_ref.partition("/")
        path = f"/api/kv-handle/{handle}".encode()
        try:
            await self._link.call_interface(
                b"DELETE",
                path,
                b"",
                COPY_TIMEOUT,
                address=address,
                endpoint_id=target,
            )
        except AttemptLostError as error:
            log_event("replica", "Could not drop a copy.", peer=target, why=error)

    async def is_engine(self) -> bool:
        """Return whether the endpoint sends the report of a model engine."""
        try:
            body = await self._link.call_interface(
                b"GET", REPORT_PATH, b"", REPORT_TIMEOUT
            )
        except AttemptLostError as error:
            log_event("successor", "No report.", peer=error.peer, why=error)
            return False
        return is_engine_report(body)

    async def count_waiting(self) -> int:
        """Return the number of runs at the endpoint that have no output yet."""
        body = await self._link.call_interface(
            b"GET", REPORT_PATH, b"", QUERY_TIMEOUT, names_endpoint=True
        )
        try:
            return count_waiting_runs(body)
        except ValueError as error:
            raise self._link.lost(LossKind.RESUME_MISMATCH, str(error)) from error

    async def list_cached_prompts(self) -> frozenset[str]:
        """Return the parts of prompts that the endpoint caches, by its cache events."""
        body = await self._link.call_interface(
            b"GET", CACHE_EVENTS_PATH, b"", QUERY_TIMEOUT, headers=CACHE_EVENTS_WAIT
        )
        try:
            return decode_cached_parts(body)
        except ValueError as error:
            raise self._link.lost(LossKind.RESUME_MISMATCH, str(error)) from error

    async def probe(self) -> LoadReport | None:
        """Return None: reports lag behind the load, and each one is charged."""
        return None

    async def is_reachable(self) -> bool:
        """Return whether the endpoint accepts a connection."""
        return await self._link.is_reachable()

    async def has_ended(self) -> bool:
        """Return whether the endpoint's address refuses connections."""
        return await self._link.find_listener() is Listener.GONE

    def is_silent(self, *, since: timedelta) -> bool:
        """Return whether connections opened before ``since`` fell silent."""
        return self._link.is_silent(since=since)

    @property
    def is_bypassed(self) -> bool:
        """Whether only other hosts reach the endpoint."""
        return self._link.is_bypassed

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
        rank = request.priority.engine_rank(is_resumed=position > 0)
        rank_text = str(min(max(rank, 0), MAX_ENGINE_RANK)).encode()
        headers.append((b"X-Request-Priority", rank_text))
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
            link=self._link,
            connection=connection,
            head=head,
            attempt=attempt,
            position=position,
        )
