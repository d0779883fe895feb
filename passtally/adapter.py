"""The interface between an entry host and its store, engines and callers."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.endpoint_directives import DirectiveRecorder
from passtally.engine import Engine
from passtally.fetch import Fetcher
from passtally.front import Front
from passtally.held_bodies import HeldBodies
from passtally.http_exchange import Handle
from passtally.object_store import Platform, RelocatablePlatform, StoredObject
from passtally.objects import Endpoint
from passtally.origin_backup import OriginBackupStore
from passtally.plain_call import Sender
from passtally.rollout import RecordedState, RolloutRecord
from passtally.routes import RouteSet
from passtally.settings import Address
from passtally.version_records import VersionStore


class Adapter(Protocol):
    """Translates between passtally's types and a platform's formats and protocols.

    An adapter makes no decisions.

    Attributes:
        routes_prefix: Key prefix of the configuration.
        endpoints_prefix: Key prefix of endpoint entries.
        rollouts_prefix: Key prefix of roll-out orders.
    """

    routes_prefix: str
    endpoints_prefix: str
    rollouts_prefix: str

    def open_store(self, fetcher: Fetcher, url: str) -> RelocatablePlatform:
        """Return a client of the store at this URL."""

    def open_versions(
        self, store: RelocatablePlatform, *, heartbeat: Callable[[], timedelta]
    ) -> VersionStore:
        """Return the records of software versions in a store.

        Args:
            store: The store.
            heartbeat: Returns the interval in which endpoints write their entries; zero
                if it is not known.
        """

    def open_origins(self, store: RelocatablePlatform) -> OriginBackupStore:
        """Return the backups of the origins of answers in a store."""

    def decode_routes(self, stored: StoredObject) -> RouteSet | None:
        """Decode the routes; return None for an object that holds no routes.

        Raises:
            ValueError: The object is malformed.
        """

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Decode an endpoint's entry.

        Raises:
            ValueError: The entry is malformed.
        """

    def decode_rollout(self, stored: StoredObject) -> RolloutRecord:
        """Decode an order to roll a service out to another version.

        Raises:
            ValueError: The order is malformed.
        """

    async def record_rollout(
        self, store: Platform, record: RolloutRecord, state: RecordedState
    ) -> None:
        """Write the state of a roll-out to the store, unless its order has changed.

        Raises:
            PlatformError: The state was not written, or the outcome is unknown.
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
        """Return a client of an endpoint's engine."""

    async def is_engine(self, engine: Engine) -> bool:
        """Return whether a model engine answers through this client."""

    def make_sender(
        self,
        *,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
        answers: HeldBodies,
    ) -> Sender:
        """Return the sender of plain calls to endpoints."""

    def make_handler(self, front: Front) -> Handle:
        """Return the HTTP handler that passes callers' requests to the front."""

    def encode_ready(self, is_ready: bool) -> tuple[int, bytes]:
        """Return the HTTP status and body of the answer to a readiness check."""
