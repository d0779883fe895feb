"""Sends fenced orders to endpoints (load a version, set a role), reads their state."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import aiohttp
import msgspec

from passtally.fetch import FetchError
from passtally.http import fetch
from passtally.json_decoding import decode_json
from passtally.objects import Endpoint

#: Time limit of one call to an endpoint.
ORDER_TIMEOUT = timedelta(seconds=3)
OK = 200
CONFLICT = 409


class OrderError(Exception):
    """Raised when an order or report failed; an order may have been executed anyway.

    Args:
        message: The cause.
        step: The kind of order, or ``report``.
        peer: The endpoint's id.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        super().__init__(f"{step} at {peer}: {message}")


class FencedError(OrderError):
    """Raised when the endpoint has already seen a higher fencing number."""


class EndpointReport(msgspec.Struct):
    """The state that an endpoint reports.

    Attributes:
        role: The current role.
        loaded: The loaded versions and adapters.
        fence: The highest fencing number seen.
    """

    role: str
    loaded: list[str]
    fence: int = 0


class Orders(Protocol):
    """Client that sends orders to endpoints and reads their state."""

    async def send_order(
        self,
        endpoint: Endpoint,
        *,
        kind: str,
        value: str,
        fence: int,
        before_send: Callable[[], None],
    ) -> None:
        """Send an order; raise OrderError unless the endpoint accepted it."""

    async def report(self, endpoint: Endpoint) -> EndpointReport:
        """Return an endpoint's state; raise OrderError if it cannot be read."""


class HttpOrders:
    """Sends orders over HTTP.

    Args:
        session: A session that does not retry, and that calls ``before_send`` once
            connected, before the first byte is sent.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send_order(
        self,
        endpoint: Endpoint,
        *,
        kind: str,
        value: str,
        fence: int,
        before_send: Callable[[], None],
    ) -> None:
        """Send an order.

        Args:
            endpoint: The endpoint that receives the order.
            kind: ``load``, ``unload`` or ``role``.
            value: The version, adapter or role.
            fence: The sender's fencing number.
            before_send: A check that raises if the sender no longer holds the lease.

        Raises:
            FencedError: The endpoint has seen an order of a newer lease holder.
            OrderError: The order was refused, or its answer was lost.
        """
        body = msgspec.json.encode({"fence": fence, "kind": kind, "value": value})
        await self._call(
            endpoint, kind, "POST", "/v1/orders", data=body, context=before_send
        )

    async def report(self, endpoint: Endpoint) -> EndpointReport:
        """Return an endpoint's state; raise OrderError if it cannot be read."""
        body = await self._call(endpoint, "report", "GET", "/v1/state")
        try:
            return decode_json(body, EndpointReport)
        except ValueError as error:
            raise OrderError(str(error), step="report", peer=endpoint.id) from error

    async def _call(
        self,
        endpoint: Endpoint,
        step: str,
        method: str,
        path: str,
        *,
        data: bytes | None = None,
        context: Callable[[], None] | None = None,
    ) -> bytes:
        try:
            fetched = await fetch(
                self._session,
                method,
                endpoint.url + path,
                timeout=ORDER_TIMEOUT,
                data=data,
                trace_request_ctx=context,
            )
        except FetchError as error:
            raise OrderError(str(error), step=step, peer=endpoint.id) from error
        if fetched.status == CONFLICT:
            raise FencedError(
                "rejected for its old fencing number", step=step, peer=endpoint.id
            )
        if fetched.status != OK:
            message = f"status {fetched.status}"
            raise OrderError(message, step=step, peer=endpoint.id)
        return fetched.body
