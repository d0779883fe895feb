"""What an entry host asks of its surroundings, in the product's own types."""

from collections.abc import Callable
from typing import Protocol

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.endpoint_directives import DirectiveRecorder
from passtally.engine import Engine
from passtally.fetch import Fetcher
from passtally.front import Front
from passtally.http_server import Handle
from passtally.object_store import MovablePlatform, Platform, StoredObject
from passtally.objects import Endpoint
from passtally.plain import Sender
from passtally.rollout import RecordedState, RolloutRecord
from passtally.routes import RouteSet
from passtally.settings import Address


class Adapter(Protocol):
    """Translates between a host and what surrounds it; it decides nothing.

    Attributes:
        routes_prefix: What the keys of the configuration start with.
        endpoints_prefix: What the keys of endpoints' entries start with.
        rollouts_prefix: What the keys of orders to move to new versions start with.
    """

    routes_prefix: str
    endpoints_prefix: str
    rollouts_prefix: str

    def open_store(self, fetcher: Fetcher, url: str) -> MovablePlatform:
        """Return the client of the store."""

    def decode_routes(self, stored: StoredObject) -> RouteSet | None:
        """Read the routes; None for an object that holds none.

        Raises:
            ValueError: They can't be read.
        """

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Read an endpoint's entry.

        Raises:
            ValueError: It can't be read.
        """

    def decode_rollout(self, stored: StoredObject) -> RolloutRecord:
        """Read an order to move a service to another version.

        Raises:
            ValueError: It can't be read.
        """

    async def record_rollout(
        self, store: Platform, record: RolloutRecord, state: RecordedState
    ) -> None:
        """Record the state of a roll-out, unless its order has changed.

        Raises:
            PlatformError: It was not recorded, or that is not known.
        """

    def connect(
        self,
        endpoint: Endpoint,
        *,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
        find_address: Callable[[str], Address | None],
    ) -> Engine:
        """Return the client of an endpoint's engine."""

    async def is_engine(self, engine: Engine) -> bool:
        """Return whether a model engine answers there."""

    def make_sender(
        self, *, pool: ConnectionPool, clock: Clock, recorder: DirectiveRecorder
    ) -> Sender:
        """Return what sends plain calls."""

    def make_handler(self, front: Front) -> Handle:
        """Return what hands callers' requests to the front."""

    def encode_ready(self, is_ready: bool) -> tuple[int, bytes]:
        """Return the status and body for the balancer's question."""
