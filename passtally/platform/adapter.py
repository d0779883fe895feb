"""The platform's implementation of the product's adapter interface."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.endpoint_directives import DirectiveRecorder
from passtally.fetch import Fetcher
from passtally.front import Front
from passtally.held_bodies import HeldBodies
from passtally.http_exchange import Handle
from passtally.object_store import StoredObject
from passtally.objects import Endpoint
from passtally.platform.decode import decode_endpoint, decode_routes
from passtally.platform.ingress import Ingress, encode_ready
from passtally.platform.origin_store import PlatformOriginStore
from passtally.platform.rollout_object import decode_rollout, encode_status
from passtally.platform.runner import RunnerEngine, RunnerSender
from passtally.platform.store import PlatformStore
from passtally.platform.version_store import PlatformVersionStore
from passtally.rollout import RecordedState, RolloutRecord
from passtally.routes import RouteSet
from passtally.settings import Address

_ROUTES_KEY = "config/main"


class PlatformAdapter:
    """Implements :class:`passtally.adapter.Adapter` for the platform."""

    routes_prefix = "config/"
    #: The platform calls endpoints "servers".
    endpoints_prefix = "servers/"
    rollouts_prefix = "rollouts/"

    def open_store(self, fetcher: Fetcher, url: str) -> PlatformStore:
        """Return a client of the store at a URL."""
        return PlatformStore(
            fetcher=fetcher, url=url, full_object_prefixes=(self.rollouts_prefix,)
        )

    def open_versions(
        self, store: PlatformStore, *, heartbeat: Callable[[], timedelta]
    ) -> PlatformVersionStore:
        """Return the records of software versions in a store."""
        return PlatformVersionStore(
            store=store, endpoints_prefix=self.endpoints_prefix, heartbeat=heartbeat
        )

    def open_origins(self, store: PlatformStore) -> PlatformOriginStore:
        """Return the backups of the origins of answers in a store."""
        return PlatformOriginStore(store=store)

    def decode_routes(self, stored: StoredObject) -> RouteSet | None:
        """Decode the routes; return None for any other object, or a removed one."""
        if stored.key != _ROUTES_KEY or stored.is_removed:
            return None
        return decode_routes(bytes(stored.value))

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Decode an endpoint's entry."""
        endpoint_id = stored.key.removeprefix(self.endpoints_prefix)
        endpoint = decode_endpoint(endpoint_id, bytes(stored.value))
        return attrs.evolve(endpoint, created_version=stored.created_version)

    def decode_rollout(self, stored: StoredObject) -> RolloutRecord:
        """Decode an order to move a service to another version."""
        return decode_rollout(stored)

    async def record_rollout(
        self, store: PlatformStore, record: RolloutRecord, state: RecordedState
    ) -> None:
        """Write the state of a roll-out to the store, unless its order has changed."""
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
        """Return whether the endpoint's report is that of a model engine."""
        return await engine.is_engine()

    def make_sender(
        self,
        *,
        pool: ConnectionPool,
        clock: Clock,
        recorder: DirectiveRecorder,
        answers: HeldBodies,
    ) -> RunnerSender:
        """Return a sender of plain calls."""
        return RunnerSender(pool=pool, clock=clock, recorder=recorder, answers=answers)

    def make_handler(self, front: Front) -> Handle:
        """Return the HTTP handler that passes callers' requests to the front."""
        return Ingress(front=front).handle

    def encode_ready(self, is_ready: bool) -> tuple[int, bytes]:
        """Return the status and body that answer the balancer's readiness check."""
        return encode_ready(is_ready)
