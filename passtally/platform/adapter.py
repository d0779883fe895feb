"""Puts the translations of this package together for one host."""

from collections.abc import Callable

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.endpoint_directives import DirectiveRecorder
from passtally.fetch import Fetcher
from passtally.front import Front
from passtally.http_server import Handle
from passtally.object_store import StoredObject
from passtally.objects import Endpoint
from passtally.platform.decode import decode_endpoint, decode_routes
from passtally.platform.ingress import Ingress, encode_ready
from passtally.platform.rollout_object import decode_rollout, encode_status
from passtally.platform.runner import RunnerEngine, RunnerSender
from passtally.platform.store import PlatformStore
from passtally.rollout import RecordedState, RolloutRecord
from passtally.routes import RouteSet
from passtally.settings import Address

_ROUTES_KEY = "config/main"


class PlatformAdapter:
    """See :class:`passtally.adapter.Adapter`."""

    routes_prefix = "config/"
    #: The platform's "servers" are our endpoints.
    endpoints_prefix = "servers/"
    rollouts_prefix = "rollouts/"

    def open_store(self, fetcher: Fetcher, url: str) -> PlatformStore:
        """Return the client of the store."""
        return PlatformStore(
            fetcher=fetcher, url=url, whole_prefixes=(self.rollouts_prefix,)
        )

    def decode_routes(self, stored: StoredObject) -> RouteSet | None:
        """Read the routes; None for an object that holds none."""
        if stored.key != _ROUTES_KEY or stored.is_removed:
            return None
        return decode_routes(bytes(stored.value))

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Read an endpoint's entry."""
        endpoint_id = stored.key.removeprefix(self.endpoints_prefix)
        return decode_endpoint(endpoint_id, bytes(stored.value))

    def decode_rollout(self, stored: StoredObject) -> RolloutRecord:
        """Read an order to move a service to another version."""
        return decode_rollout(stored)

    async def record_rollout(
        self, store: PlatformStore, record: RolloutRecord, state: RecordedState
    ) -> None:
        """Record the state of a roll-out, unless its order has changed."""
        name = record.order.service
        body = encode_status(name, record, state)
        await store.write_status(
            self.rollouts_prefix + name, body, version=record.object_version
        )

    def connect(
        self,
        endpoint: Endpoint,
        *,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
        find_address: Callable[[str], Address | None],
    ) -> RunnerEngine:
        """Return the client of an endpoint's engine."""
        return RunnerEngine(
            endpoint=endpoint,
            pool=pool,
            clock=clock,
            recorder=recorder,
            find_address=find_address,
        )

    async def is_engine(self, engine: RunnerEngine) -> bool:
        """Return whether a model engine answers there."""
        return await engine.is_engine()

    def make_sender(
        self, *, pool: ConnectionPool, clock: Clock, recorder: DirectiveRecorder
    ) -> RunnerSender:
        """Return what sends plain calls."""
        return RunnerSender(pool=pool, clock=clock, recorder=recorder)

    def make_handler(self, front: Front) -> Handle:
        """Return what hands callers' requests to the front."""
        return Ingress(front=front).handle

    def encode_ready(self, is_ready: bool) -> tuple[int, bytes]:
        """Return the status and body for the balancer's question."""
        return encode_ready(is_ready)
