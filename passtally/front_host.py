"""An entry host that serves configured routes, with an adapter to its platform."""

import asyncio
import random
import socket
from collections.abc import Callable, Coroutine
from datetime import timedelta
from functools import partial
from typing import Any

import aiomisc

from passtally.adapter import Adapter
from passtally.brittle_endpoints import BrittleEndpoints
from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool, PoolFetcher
from passtally.crash_guard import CrashGuard
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.dispatcher import Dispatcher
from passtally.drain import Drain
from passtally.endpoint_backoff import EndpointBackoffs
from passtally.endpoint_changes import EndpointChanges
from passtally.endpoint_dialer import EndpointDialer
from passtally.endpoint_links import EndpointLinks, address_of
from passtally.endpoint_registry import EndpointRegistry
from passtally.engine import Engine
from passtally.fleet import Fleet
from passtally.follower import Follower
from passtally.forecast import Forecast
from passtally.front import Front
from passtally.gate import Gate
from passtally.host_links import HostLinks
from passtally.host_reload import HostReload
from passtally.host_servers import HostServers
from passtally.host_stop import HostStop
from passtally.http_server import ServerLimits
from passtally.isolation import Isolation
from passtally.limit_sharers import LimitSharers
from passtally.listeners import CALLERS, PEERS, TUNNELS, Listeners
from passtally.load_exchange import LoadExchange, LoadTable
from passtally.metrics import Metric
from passtally.object_applier import ObjectApplier
from passtally.objects import Endpoint
from passtally.origin_exchange import OriginExchange
from passtally.overload import Overload
from passtally.placement import Placement
from passtally.plain import PlainCaller
from passtally.quarantine import Quarantine
from passtally.quarantine_exchange import QuarantineExchange
from passtally.request_limits import RequestLimits
from passtally.retry import RetryLimits
from passtally.retry_budget import ServiceBudgets
from passtally.rollouts import Rollouts
from passtally.routes import ActiveRoutes
from passtally.routes_exchange import RoutesExchange
from passtally.service_index import ServiceIndex
from passtally.settings import Address, Settings
from passtally.shared_watch import SharedWatch
from passtally.silence import Phase, SilenceBounds
from passtally.supervisor import keep_running
from passtally.survey import Survey
from passtally.task_set import TaskSet
from passtally.text_metrics import TextMetrics
from passtally.versions import AllVersions
from passtally.view import View

#: Share of the setting ``apply_within``, the time limit for applying a change, that one
#: watch waits for a change. A store that compacts its history stops sending changes to
#: open watches and does not always close them. A quiet watch is therefore renewed early
#: enough to list and apply the missed changes in time.
WATCH_WAIT_SHARE = 0.6
#: Share of ``apply_within`` for which changes are batched before the next watch.
#: Endpoints start and stop by the dozen, each as a change of its own that ends a watch,
#: and each watch is a billed call: of 2,035 to 3,418 calls a day of 74 hosts, some 500
#: were listings.
BATCH_SHARE = 0.125
#: Time that a watch waits for objects that change a few times a day. Each call is
#: billed: with the shorter wait, and a listing at each start, the orders of new
#: versions would take a quarter of the calls of 90 hosts in a quiet minute (256 beside
#: 789).
LONG_WATCH = timedelta(seconds=10)
#: Maximum delay between two attempts to reach the store. The store counts as recovered
#: three seconds after its return, and a change must be in force two seconds later.
MAX_RETRY_DELAY = timedelta(milliseconds=800)
#: Time without updates after which a host lists all objects instead of requesting all
#: states since. 19 hosts on links of 5 Mbit/s that reconnect after 5.5 s, while 110 KB
#: change every 200 ms, have the newest state within 0.4 s, without a listing within
#: 6.1 s.
OUT_OF_DATE_AFTER = timedelta(seconds=1)
RELIST_PAUSE = timedelta(milliseconds=200)
#: Part of the grace period that is reserved for aborting streams and closing
#: connections.
STOP_MARGIN = timedelta(milliseconds=600)
#: Minimum number of hosts that a retry budget is divided by. A host that has just
#: started, or is cut off from most others, knows fewer hosts than share the budget.
MIN_BUDGET_HOSTS = 8
#: Warm-up time of the retry budget. By its end a host knows nearly all others, even if
#: all 195 start at once. A host without seeds has no warm-up, since it shares its
#: budget with no other host.
BUDGET_WARM_UP = timedelta(seconds=3)
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
        self.dialer = EndpointDialer(clock=clock)
        self.pool = ConnectionPool(clock=clock, dialer=self.dialer)
        #: Set once the routes and some endpoints are known.
        self._config_ready = asyncio.Event()
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
            ("gossip", self.gossip.run),
            ("roster", lambda: self.roster.run(self.gossip)),
            ("news", self.load_exchange.run),
            ("quarantine", self.quarantine_exchange.run),
            ("quarantine of others", self.quarantine_exchange.ask),
            ("isolation", self.isolation.run),
            ("datagrams", self.datagrams.run),
            ("origins", self.origins.run),
        ):
            self.spawn(keep_running(name, work, clock=self.clock))
        self.spawn(self.routes_exchange.run())
        self._follow_rollouts()
        self.peers.start()
        await self.servers.open(self.settings, front_socket=self._front_socket)
        log_event("daemon", "Started.", listen=self.settings.listen)

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
            settings=self.settings, clock=self.clock, departures=self.departures
        )
        self.peers, self.roster = links.peers, links.roster
        self.gossip, self.loans = links.gossip, links.loans
        self.tunnels, self.datagrams = links.tunnels, links.datagrams
        self.load_table = LoadTable()
        self.rollouts = self._build_rollouts()
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
        )
        self.registry = EndpointRegistry(
            catalog=self.catalog,
            clock=self.clock,
            on_removed=changes.remove,
            on_started=changes.record_start,
        )
        object_applier = ObjectApplier(
            adapter=self._adapter,
            routes=self.routes,
            catalog=self.catalog,
            registry=self.registry,
            rollouts=self.rollouts,
            config_ready=self._config_ready,
            routes_changed=self._publish_config_version,
        )
        self._object_applier = object_applier
        views = [
            View(prefix=self._adapter.routes_prefix, apply=object_applier.apply_routes),
            View(
                prefix=self._adapter.endpoints_prefix,
                apply=object_applier.apply_endpoints,
            ),
        ]
        if self.rollouts is not None:
            self.rollouts.set_fleet(self.fleet)
            views.append(self._make_rollouts_view())
        self.watch = SharedWatch(
            host_id=self.settings.host_id,
            views=views,
            follow=self._follow,
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            rng=random.Random(),
            reach_changed=self.registry.record_reachability,
        )
        self.routes_exchange = RoutesExchange(
            routes=self.routes,
            apply=object_applier.apply_routes,
            peers=self.peers,
            linked_ids=lambda: [row.host_id for row in self.roster.linked()],
            has_seeds=lambda: bool(self.settings.seeds),
            clock=self.clock,
        )
        self.gossip.versions = self.watch.newest
        self.gossip.seeks_versions = lambda: not self.watch.is_receiving

    def _make_rollouts_view(self) -> View:
        orders = self._adapter.rollouts_prefix
        return View(
            prefix=orders, apply=self._object_applier.apply_rollouts, is_required=False
        )

    def _follow_rollouts(self) -> None:
        """Start the task for the roll-outs under way, if they are followed."""
        if self.rollouts is not None:
            work = keep_running("roll-outs", self.rollouts.run, clock=self.clock)
            self._rollouts_task = self.spawn(work)

    def enable_rollouts(self) -> None:
        """Start following the orders of new versions."""
        self.rollouts = self._object_applier.rollouts = self._build_rollouts()
        self.rollouts.set_fleet(self.fleet)
        for endpoint in self.catalog.endpoints_by_id.values():
            self.rollouts.record_endpoint(endpoint)
        self.fleet.versions = self.rollouts
        self.watch.add(self._make_rollouts_view())
        self._follow_rollouts()

    def disable_rollouts(self) -> None:
        """Stop following the orders of new versions."""
        if self.rollouts is None:
            return
        self._rollouts_task.cancel()
        self.watch.remove(self._adapter.rollouts_prefix)
        self.fleet.versions = AllVersions()
        self.rollouts.stop()
        self.rollouts = None

    def _build_rollouts(self) -> Rollouts | None:
        """Build the trials of new versions; None if the settings disable them."""
        settings = self.settings
        if not settings.trial_share:
            return None
        return Rollouts(
            host_id=settings.host_id,
            life=int(self.clock.now().timestamp() * 1000),
            share=settings.trial_share,
            slack=settings.trial_extra,
            min_hosts=MIN_BUDGET_HOSTS,
            catalog=self.catalog,
            loans=self.loans,
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            rng=random.Random(),
            is_current=self._knows_orders,
            record=partial(self._adapter.record_rollout, self.store),
            metrics=self.metrics,
        )

    def _publish_config_version(self, version: int) -> None:
        self.gossip.config_version = version

    def _is_behind(self) -> bool:
        """Return whether newer routes than those of this host may be in force."""
        is_watch_behind = self.watch.is_behind(self._adapter.routes_prefix)
        return is_watch_behind or self.routes_exchange.may_be_behind

    def _knows_orders(self) -> bool:
        """Return whether this host knows all orders that other hosts know."""
        orders = self._adapter.rollouts_prefix
        return self.watch.is_receiving and not self.watch.is_behind(orders)

    def _follow(self, share: SharedWatch, view: View) -> Follower:
        return Follower(
            prefix=view.prefix,
            platform=self.store,
            replace=lambda listing: share.replace(view, listing),
            advance=lambda changes: share.advance(view, changes),
            clock=self.clock,
            rng=random.Random(),
            relist_pause=lambda: RELIST_PAUSE,
            wait=self.watch_wait(view),
            pause=self.gather_pause(),
            max_retry_delay=MAX_RETRY_DELAY,
            out_of_date_after=OUT_OF_DATE_AFTER,
        )

    def watch_wait(self, view: View) -> timedelta:
        """Return the time that one watch of a view waits for a change."""
        if not view.is_required:
            return LONG_WATCH
        return WATCH_WAIT_SHARE * self.settings.apply_within

    def gather_pause(self) -> timedelta:
        """Return the time for which changes are batched before the next watch."""
        return BATCH_SHARE * self.settings.apply_within

    def _build_serving(self) -> None:
        """Build the components that serve requests."""
        settings = self.settings
        loans = self.loans
        self.budgets = budgets = ServiceBudgets(
            share=settings.retry_share,
            extra=lambda: (
                self.settings.retry_extra
                / max(self.roster.peak_hosts, MIN_BUDGET_HOSTS)
            ),
            window=settings.retry_window,
            clock=self.clock,
            warm_up=BUDGET_WARM_UP if settings.seeds else timedelta(0),
            ask_others=loans.ask,
        )
        loans.lend_from(budgets)
        self.load_exchange = LoadExchange(
            host_id=settings.host_id,
            load_table=self.load_table,
            fleet=self.fleet,
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            on_lost=self.fleet.record_peer_loss,
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
            fleet=self.fleet,
            peers=self.peers,
            roster=self.roster,
            clock=self.clock,
            services=lambda: self.catalog.services_by_id,
            has_platform=lambda: self.watch.is_receiving,
            overload=self.overload,
            changed=self._record_isolation,
        )
        forecast = Forecast()
        self.gate = Gate(fleet=self.fleet, clock=self.clock)
        self.placement = Placement(
            fleet=self.fleet,
            clock=self.clock,
            failure_domain=settings.failure_domain,
            keeps_replicas=self.routes.keeps_replicas,
            survey=Survey(
                fleet=self.fleet, is_needed=lambda: not self.roster.is_fully_linked
            ),
            forecast=forecast,
            suspects=self.guard,
        )
        self.dispatcher = Dispatcher(
            fleet=self.fleet,
            clock=self.clock,
            placement=self.placement,
            limits=RetryLimits(),
            budgets=budgets,
            linger=timedelta(0),
            metrics=self.metrics,
            guard=self.guard,
        )
        self.caller = PlainCaller(
            fleet=self.fleet,
            clock=self.clock,
            failure_domain=settings.failure_domain,
            budgets=budgets,
            sender=self._adapter.make_sender(
                pool=self.pool, clock=self.clock, recorder=self.fleet.send_limits
            ),
            guard=self.guard,
        )
        self.origins = OriginExchange(
            members=self.roster,
            datagrams=self.datagrams,
            catalog=self.catalog,
            rule=self.fleet.origin_rule,
            clock=self.clock,
            metrics=self.metrics,
            is_current=lambda: self.watch.is_receiving,
            has_others=lambda: self.roster.peak_hosts > 1 or bool(self.settings.seeds),
        )
        self.front = Front(
            routes=self.routes,
            dispatcher=self.dispatcher,
            caller=self.caller,
            gate=self.gate,
            drain=self.drain,
            clock=self.clock,
            metrics=self.metrics,
            config_ready=self._config_ready,
            forecast=forecast,
            guard=self.guard,
            origins=self.origins,
            is_behind=self._is_behind,
        )

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

    def render_metrics(self) -> bytes:
        """Return the metrics as text, with the current values of the gauges."""
        current = self.routes.current
        self.metrics.gauge(Metric.OPEN, self.drain.open_requests)
        self.metrics.gauge(Metric.CONFIG_VERSION, current.version if current else 0)
        behind = self.watch.time_behind(self._adapter.routes_prefix)
        self.metrics.gauge(Metric.CONFIG_BEHIND, round(behind.total_seconds() * 1000))
        self.metrics.gauge(Metric.QUARANTINED, len(self.guard.list_quarantined()))
        self.metrics.gauge(Metric.LINKS_DOWN, len(self.dialer.links.list_down()))
        now = self.clock.monotonic()
        self.metrics.gauge(
            Metric.BRITTLE, self.fleet.send_limits.brittle.count(now=now)
        )
        self.metrics.gauge(Metric.TUNNELS, self.tunnels.count)
        self.metrics.gauge(Metric.TUNNELS_SERVED, self.servers.tunnels.count)
        bytes_sent = self.peers.bytes_sent + self.datagrams.bytes_sent
        self.metrics.gauge(Metric.PEER_BYTES, bytes_sent)
        if self.rollouts is not None:
            self.metrics.gauge(Metric.ROLLOUTS, self.rollouts.active_count)
        self.metrics.gauge(Metric.PLATFORM_AWAY, int(not self.watch.is_receiving))
        return self.metrics.render()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that is cancelled when this host stops."""
        return self._tasks.spawn(work)
