"""Fenced orders to endpoints: load a version, change role, and see what they did."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import aiohttp
import msgspec

from passtally.fetch import FetchError
from passtally.http import fetch
from passtally.objects import Endpoint

ORDER_TIMEOUT = timedelta(seconds=3)
OK = 200
CONFLICT = 409


class OrderError(Exception):
    """An order that was not carried out, as far as is known.

    Args:
        message: What happened.
        step: The order.
        peer: The endpoint.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        super().__init__(f"{step} at {peer}: {message}")


class FencedError(OrderError):
    """The endpoint has had an order with a higher fencing number."""


class EndpointReport(msgspec.Struct):
    """What an endpoint says of its state.

    Attributes:
        role: Its role.
        loaded: The versions and adapters that it has loaded.
        fence: The highest fencing number it has seen.
    """

    role: str
    loaded: list[str]
    fence: int = 0


class Orders(Protocol):
    """The way to an endpoint's orders."""

    async def send_order(
        self,
        endpoint: Endpoint,
        *,
        kind: str,
        value: str,
        fence: int,
        before_send: Callable[[], None],
    ) -> None:
        """Give one order; raises OrderError where it was not taken."""

    async def report(self, endpoint: Endpoint) -> EndpointReport:
        """Return an endpoint's state; raises OrderError where it can't be had."""


class HttpOrders:
    """Orders over HTTP.

    Args:
        session: A session that repeats nothing by itself and calls
            ``before_send`` between connection and first byte.
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
        """Give one order.

        Args:
            endpoint: Who is ordered.
            kind: ``load``, ``unload`` or ``role``.
            value: The version, adapter or role.
            fence: The giver's fencing number.
            before_send: Raises where the giver may no longer give orders.

        Raises:
            FencedError: A newer giver has been there.
            OrderError: It was refused, or its answer was lost.
        """
        body = msgspec.json.encode({"fence": fence, "kind": kind, "value": value})
        await self._call(
            endpoint, kind, "POST", "/v1/orders", data=body, context=before_send
        )

    async def report(self, endpoint: Endpoint) -> EndpointReport:
        """Return an endpoint's state; raises OrderError where it can't be had."""
        body = await self._call(endpoint, "report", "GET", "/v1/state")
        return msgspec.json.decode(body, type=EndpointReport)

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
            raise FencedError("fenced off", step=step, peer=endpoint.id)
        if fetched.status != OK:
            message = f"status {fetched.status}"
            raise OrderError(message, step=step, peer=endpoint.id)
        return fetched.body
