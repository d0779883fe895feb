"""An entry host that serves configured routes, with an adapter to its platform."""

import asyncio
import random
import socket
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import aiomisc

from passtally.adapter import Adapter
from passtally.brittle_endpoints import BrittleEndpoints
from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool, PoolFetcher
from passtally.crash_guard import CrashGuard
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.drain import Drain
from passtally.endpoint_backoff import EndpointBackoffs
from passtally.endpoint_changes import EndpointChanges
from passtally.endpoint_dialer import EndpointDialer
from passtally.endpoint_links import EndpointLinks, address_of
from passtally.engine import Engine
from passtally.fleet import Fleet
from passtally.held_bodies import HeldBodies
from passtally.host_config import HostConfig
from passtally.host_gauges import report_gauges
from passtally.host_links import HostLinks
from passtally.host_reload import HostReload
from passtally.host_servers import HostServers
from passtally.host_serving import HostServing
from passtally.host_stop import HostStop
from passtally.http_exchange import ServerLimits
from passtally.isolation import Isolation
from passtally.limit_sharers import LimitSharers
from passtally.listeners import CALLERS, PEERS, TUNNELS, Listeners
from passtally.load_exchange import LoadExchange, LoadTable
from passtally.objects import Endpoint
from passtally.output_buffers import OutputBuffers, OutputLimits
from passtally.overload import Overload
from passtally.quarantine import Quarantine
from passtally.quarantine_exchange import QuarantineExchange
from passtally.reach_check import ReachCheck
from passtally.reported_exits import ReportedExits
from passtally.request_limits import RequestLimits
from passtally.rollouts import Rollouts
from passtally.routes import ActiveRoutes
from passtally.service_index import ServiceIndex
from passtally.settings import Address, Settings
from passtally.silence import Phase, SilenceBounds
from passtally.successor_search import SuccessorSearch
from passtally.supervisor import keep_running
from passtally.task_set import TaskSet
from passtally.text_metrics import TextMetrics

#: Part of the grace period that is reserved for aborting streams and closing
#: connections.
STOP_MARGIN = timedelta(milliseconds=600)
SILENCE_BOUNDS_BY_PHASE = {
    Phase.FIRST_TOKEN: SilenceBounds(
        initial=timedelta(seconds=1),
        floor=timedelta(seconds=0.8),
        ceiling=timedelta(seconds=1.2),
        stuck_after=timedelta(seconds=3),
    ),
    # Callers notice a pause of 700 ms; a failover takes up to 60 ms.
    Phase.NEXT_TOKEN: SilenceBounds(
        initial=timedelta(milliseconds=250),
        floor=timedelta(milliseconds=200),
        ceiling=timedelta(milliseconds=300),
        stuck_after=timedelta(milliseconds=420),
    ),
}


class FrontHost(aiomisc.Service):
    """All services of one entry host.

    Args:
        settings: The settings in force.
        clock: The clock.
        adapter: Translates between the host and its platform.
        front_socket: A socket that already listens for callers; None to open one.
        are_settings_current: Returns whether the settings in force are those of their
            source at this moment; see :class:`~passtally.listeners.Listeners`.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        adapter: Adapter,
        front_socket: socket.socket | None = None,
        are_settings_current: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self._front_socket = front_socket
        self.settings = settings
        self._adapter = adapter
        self.clock = clock
        self.metrics = TextMetrics()
        self.drain = Drain(max_open=settings.max_streams)
        self.catalog = ServiceIndex()
        self.routes = ActiveRoutes()
        #: Endpoints that exited for good, so that their replicas are lost. Hosts learn
        #: this from each other even if the platform is unreachable.
        self.departures = Departures()
        self.exits = ReportedExits(clock=self.clock)
        self.dialer = EndpointDialer(clock=clock)
        self.pool = ConnectionPool(clock=clock, dialer=self.dialer)
        #: Set once the routes and some endpoints are known.
        self.config_ready = asyncio.Event()
        self._stopping = HostStop(
            drain=self.drain,
            clock=clock,
            margin=STOP_MARGIN,
            own_lag=lambda: self.fleet.longest_own_lag,
        )
        self.listeners = Listeners(
            clock=clock,
            on_open=self._record_open,
            are_settings_current=are_settings_current,
        )
        self.reloading = HostReload(host=self)
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Start the background tasks and open the listening sockets."""
        self._build_knowledge()
        self._build_serving()
        self._build_servers()
        for name, work in (
            ("watch", self.watch.run),
            ("missing endpoints", self.registry.run),
            ("silence", self.fleet.watch_silence),
            ("gate", self.gate.run),
            ("usage", self.admission.exchange.run),
            ("successors", self.successor_search.run),
            ("gossip", self.gossip.run),
            ("roster", lambda: self.roster.run(self.gossip)),
            ("news", self.load_exchange.run),
            ("quarantine", self.quarantine_exchange.run),
            ("quarantine of others", self.quarantine_exchange.ask),
            ("isolation", self.isolation.run),
            ("datagrams", self.datagrams.run),
            ("origins", self.origins.run),
            ("versions", self.version_records.run),
            ("origin backup", self.origin_backup.run),
        ):
            self.spawn(keep_running(name, work, clock=self.clock))
        self.spawn(self.routes_exchange.run())
        self.spawn(self._look_back())
        self.config.follow_rollouts()
        self.peers.start()
        await self.servers.open(self.settings, front_socket=self._front_socket)
        log_event("daemon", "Started.", listen=self.settings.listen)

    async def _look_back(self) -> None:
        """Look up the past versions of services as soon as the routes name these."""
        await self.config_ready.wait()
        self.version_records.wake()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listening sockets, tasks and connections."""
        self.drain.is_over = True
        await self.listeners.stop()
        await self.servers.stop()
        await self._tasks.cancel()
        await self.watch.stop()
        await self.peers.stop()
        self.dialer.close()
        self.pool.close()
        self._stopping.log("Stopped.")

    async def leave(self, *, waited: timedelta = timedelta(0)) -> None:
        """Become unready and finish the open requests within the grace period.

        Args:
            waited: The time since the stop was requested.
        """
        self.front_server.is_closing = True
        self.servers.tunnels.close_idle()
        self.spawn(self._close_idle_later())
        await self._stopping.run(
            grace=self.settings.grace,
            balancer_lag=self.settings.balancer_lag,
            waited=waited,
        )

    async def _close_idle_later(self) -> None:
        """Close idle connections once the balancer opens no new ones here."""
        await self.clock.sleep(self.settings.balancer_lag)
        self.front_server.close_idle()

    def reload(self, settings: Settings) -> None:
        """Apply the changed settings, unless the host is stopping."""
        if self.drain.is_stopping:
            log_event("daemon", "Kept the old settings, since the host is stopping.")
            return
        self.reloading.apply(settings)

    def _record_open(self, name: str, address: Address) -> None:
        """Publish this host's address to the other hosts once it is open."""
        table = self.gossip.table
        now = self.clock.monotonic()
        if name == PEERS:
            self.datagrams.receive_at(address)
            if table.own.address != str(address):
                table.change_own(now=now, address=str(address))
        elif name == TUNNELS and table.own.tunnel_address != str(address):
            table.change_own(now=now, tunnel_address=str(address))

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections to this host."""
        return (
            self.routes.current is not None
            and self.listeners.is_open(CALLERS)
            and not self.drain.is_stopping
            and not self.isolation.is_isolated
        )

    def _build_knowledge(self) -> None:
        """Build the components that follow the configuration and the endpoints."""
        fetcher = PoolFetcher(pool=self.pool)
        changes = EndpointChanges(
            host=self, adapter=self._adapter, connect=self._connect
        )
        self.store = self._adapter.open_store(fetcher, self.settings.platform)
        links = HostLinks(
            settings=self.settings,
            clock=self.clock,
            departures=self.departures,
            exits=self.exits,
        )
        self.peers, self.roster = links.peers, links.roster
        self.gossip, self.loans = links.gossip, links.loans
        self.tunnels, self.datagrams = links.tunnels, links.datagrams
        self.load_table = LoadTable()
        self.config = HostConfig(
            settings=lambda: self.settings,
            clock=self.clock,
            adapter=self._adapter,
            store=self.store,
            links=links,
            catalog=self.catalog,
            metrics=self.metrics,
            spawn=self.spawn,
        )
        self.departures.on_successor = changes.learn_successor
        sharers = LimitSharers(roster=self.roster, catalog=self.catalog)
        self.fleet = Fleet(
            limits=RequestLimits(count_hosts=sharers.count, rank=sharers.rank),
            backoffs=EndpointBackoffs(count_hosts=sharers.count, rank=sharers.rank),
            brittle=BrittleEndpoints(count_hosts=sharers.count, rank=sharers.rank),
            versions=self.rollouts,
            is_cut_off=lambda: self.dialer.is_cut_off,
            departures=self.departures,
            others_load=self.load_table.load,
            on_successor=changes.use_successor,
            on_silent=self.pool.invalidate_older,
            catalog=self.catalog,
            clock=self.clock,
            connect=self._connect,
            bounds_by_phase=SILENCE_BOUNDS_BY_PHASE,
            capacity_of=self.routes.capacity_of,
            exits_are_final=True,
            on_exit=self.exits.report,
            avoid_slow=lambda: self.settings.avoid_slow,
        )
        self.exits.on_exit = self.fleet.losses.record_reported
        self.config.build(
            changes=changes,
            fleet=self.fleet,
            routes=self.routes,
            config_ready=self.config_ready,
        )
        self.registry = self.config.registry
        self.watch = self.config.watch
        self.routes_exchange = self.config.routes_exchange

    @property
    def rollouts(self) -> Rollouts | None:
        """The trials of new versions; None if the settings disable them."""
        return self.config.rollouts

    def _build_serving(self) -> None:
        """Build the components that serve requests."""
        self.successor_search = SuccessorSearch(
            fleet=self.fleet,
            members=self.roster,
            clock=self.clock,
            is_informed=lambda: self.watch.is_receiving,
        )
        self.load_exchange = LoadExchange(
            host_id=self.settings.host_id,
            load_table=self.load_table,
            fleet=self.fleet,
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            on_lost=self.fleet.losses.record_reported,
        )
        self.guard = CrashGuard(
            quarantine=Quarantine(),
            clock=self.clock,
            has_ended=lambda live: live.engine.has_ended(),
            is_bypassed=lambda live: live.engine.is_bypassed,
            on_quarantined=self.fleet.end_streams,
            has_survived=self.fleet.has_survived,
            metrics=self.metrics,
        )
        self.quarantine_exchange = QuarantineExchange(
            guard=self.guard,
            peers=self.peers,
            linked_ids=lambda: [row.host_id for row in self.roster.linked()],
            remote_ids=lambda: (
                () if self.roster.is_fully_linked else self.roster.remote_ids()
            ),
            clock=self.clock,
            rng=random.Random(),
        )
        self.overload = Overload()
        self.isolation = Isolation(
            reach=ReachCheck(catalog=self.catalog, fleet=self.fleet),
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            services=lambda: self.catalog.services_by_id,
            has_platform=lambda: self.watch.is_receiving,
            overload=self.overload,
            changed=self._record_isolation,
        )
        serving = HostServing(host=self, adapter=self._adapter)
        self.admission, self.origins = serving.admission, serving.origins
        self.version_records = serving.version_records
        self.origin_backup = serving.origin_backup
        self.budgets, self.placement = serving.budgets, serving.placement
        self.dispatcher, self.caller = serving.dispatcher, serving.caller
        self.gate, self.front = serving.admission.gate, serving.front

    def _record_isolation(self, is_isolated: bool) -> None:
        """Make callers on open connections reconnect while isolated or stopping."""
        self.front_server.is_closing = is_isolated or self.drain.is_stopping

    def _build_servers(self) -> None:
        """Build the servers, which :meth:`start` opens."""
        endpoint_links = EndpointLinks(
            dialer=self.dialer,
            find_endpoint=lambda name: self.catalog.endpoints_by_id.get(name),
            list_endpoints=lambda: self.catalog.endpoints_by_id.values(),
            tunnels=self.tunnels,
            signer=self.peers.signer,
            drain=self.drain,
            metrics=self.metrics,
            is_busy=lambda: self.overload.is_overloaded,
        )
        self.servers = HostServers(
            listeners=self.listeners,
            peers=self.peers,
            tunnels=endpoint_links.server,
            handle=self._adapter.make_handler(self.front),
            limits=self._limits,
            accepted=lambda waited: self.overload.record_connection(
                waited, now=self.clock.monotonic()
            ),
            encode_ready=lambda: self._adapter.encode_ready(self.is_ready),
            render_metrics=self.render_metrics,
            output=OutputBuffers(
                limits=OutputLimits.of(self.settings), metrics=self.metrics
            ),
            bodies=HeldBodies(limit=self.settings.max_bodies, metrics=self.metrics),
        )
        self.front_server = self.servers.callers

    def _limits(self) -> ServerLimits:
        current = self.routes.current
        return ServerLimits() if current is None else current.limits

    def _connect(self, endpoint: Endpoint) -> Engine:
        return self._adapter.connect(
            endpoint,
            pool=self.pool,
            clock=self.clock,
            recorder=self.fleet.send_limits,
            find_address=self._find_address,
        )

    def _find_address(self, endpoint_id: str) -> Address | None:
        endpoint = self.catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        return address_of(endpoint.url)

    @property
    def config_version(self) -> int:
        """The version of the routes in force; 0 before the first."""
        current = self.routes.current
        return 0 if current is None else current.version

    @property
    def config_behind(self) -> timedelta:
        """The time since newer routes than those in force were first heard of."""
        return self.watch.time_behind(self._adapter.routes_prefix)

    def render_metrics(self) -> bytes:
        """Return the metrics as text, with the current values of the gauges."""
        report_gauges(self)
        return self.metrics.render()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that is cancelled when this host stops."""
        return self._tasks.spawn(work)
