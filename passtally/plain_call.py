"""A call to a plain service, its answer, and its transport to an endpoint."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import attrs
from multidict import CIMultiDict

from passtally.live_endpoint import LiveEndpoint
from passtally.objects import Service

MAX_ATTEMPTS = 3


@attrs.frozen(kw_only=True)
class PlainCall:
    """A call to forward to an endpoint.

    Attributes:
        id: The call's id in the logs.
        workspace: The id of the calling workspace.
        service: The service to call.
        method: The HTTP method.
        path: The path after the service's name, with the query.
        headers: The headers to forward.
        body: The body to forward.
        repeatable: Whether the call may run more than once.
        key: The caller's idempotency key, or empty.
        failure_domain: The preferred failure domain; empty for the local one.
        max_attempts: The maximum number of endpoints the call is sent to.
        deadline: The time at which the call is aborted, on the monotonic clock.
        patience: The time without an answer after which a repeatable call fails over
            to another endpoint, if there is one and a retry is allowed.
        needs_new_connection: Whether to send the call on a new connection, because an
            earlier connection stayed silent.
        route: The name of the route that selected the service, or empty.
        fingerprint: The fingerprint shared by the caller's retries of this call, see
            :func:`passtally.fingerprint.fingerprint_of`; empty if there is none.
    """

    id: str
    workspace: str
    service: Service
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    repeatable: bool
    key: str
    failure_domain: str = ""
    max_attempts: int = MAX_ATTEMPTS
    deadline: timedelta | None = None
    patience: timedelta | None = None
    needs_new_connection: bool = False
    route: str = ""
    fingerprint: bytes = b""


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """The complete answer of an endpoint.

    Attributes:
        status: The HTTP status.
        headers: The headers to forward.
        body: The body.
        is_framed: Whether the answer had a length or chunked encoding; see
            :class:`passtally.http_client.ResponseHead`.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    is_framed: bool = True


class Sender(Protocol):
    """The transport of calls to endpoints."""

    async def send(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        before_send: Callable[[], None] | None = None,
    ) -> PlainAnswer:
        """Send a call exactly once and return the answer.

        Raises:
            AttemptLostError: No complete answer was received. The kind of the error
                states whether the call may have run.
        """
