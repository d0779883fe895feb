"""The daemon on an entry host: one process with one event loop in one thread."""

import asyncio
import random
import sys
from contextlib import ExitStack
from functools import partial

import aiohttp
import aiomisc
import uvloop
from eliot import to_file

from passtally.address_space import limit_arenas
from passtally.at_most_once import AtMostOnceCaller
from passtally.catalog import Catalog, CatalogKeeper
from passtally.claims import Claims
from passtally.clock import Clock, SystemClock
from passtally.completion_handler import CompletionHandler
from passtally.config_store import ConfigStore
from passtally.copies import CopySender, CopyService, CopyStore
from passtally.crash_guard import CrashGuard
from passtally.decision import log_event
from passtally.departures import Departures, HostListReader
from passtally.dispatcher import Dispatcher
from passtally.drain import Drain
from passtally.endpoint_connector import EndpointConnector
from passtally.endpoint_dialer import EndpointDialer
from passtally.endpoint_links import EndpointLinks
from passtally.executor import LEASE_KEY, Executor
from passtally.fleet import Fleet
from passtally.gate import Gate
from passtally.handle import HandleSigner
from passtally.hedge import HedgePolicy
from passtally.held_bodies import HeldBodies
from passtally.http_engine import HttpEngine
from passtally.http_platform import HttpPlatform
from passtally.intents import Intents
from passtally.jobs import Jobs
from passtally.lease import Lease
from passtally.listeners import CALLERS, PEERS, TUNNELS, Listeners
from passtally.load_probe import LoadProbe
from passtally.member_table import MemberTable
from passtally.membership import Gossip
from passtally.messages import MemberRow
from passtally.metrics import Metrics, NoMetrics
from passtally.objects import Endpoint
from passtally.operator_api import OperatorApi
from passtally.orders import HttpOrders
from passtally.output_buffers import OutputBuffers, OutputLimits
from passtally.own_interface import OwnInterface
from passtally.peers import Peers
from passtally.placement import Placement
from passtally.plain import PlainCaller
from passtally.plain_handler import PlainHandler, SessionSender, open_session
from passtally.quarantine import Quarantine
from passtally.quarantine_exchange import QuarantineExchange
from passtally.retry import RetryLimits
from passtally.retry_budget import RetryBudgets
from passtally.settings import Address, Settings
from passtally.statsd_metrics import StatsdMetrics, report_gauges
from passtally.status import StatusReader
from passtally.stop_signals import StopSignals, block_here
from passtally.supervisor import keep_running
from passtally.task_set import TaskSet
from passtally.tunnel_hosts import TunnelHosts


class EntryHost(aiomisc.Service):
    """All services of one entry host, started and stopped together.

    Args:
        settings: The settings in force.
        clock: The clock.
    """

    def __init__(self, *, settings: Settings, clock: Clock) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.drain = Drain(max_open=settings.max_streams)
        self.metrics = _open_metrics(settings)
        self.catalog = Catalog()
        self._listeners = Listeners(clock=clock)
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Open the client sessions, start the tasks and open the listening sockets."""
        self._build_links()
        self._build_serving()
        self._build_completions()
        self._build_control()
        self.peers.start()
        for name, work in (
            ("catalog", self.keeper.run),
            ("catalog from peers", self.keeper.follow_peers),
            ("gossip", self.gossip.run),
            ("host list", self.host_list.run),
            ("silence", self.fleet.watch_silence),
            ("load reports", LoadProbe(fleet=self.fleet, clock=self.clock).run),
            ("gate", self.gate.run),
            ("copies", self.copy_sender.run),
            ("claims", self.claims.run),
            ("quarantine", self.quarantine_exchange.run),
            ("quarantine of others", self.quarantine_exchange.ask),
            ("executor", self.executor.run),
            ("jobs", self.jobs.run),
            ("gauges", self._report_gauges),
        ):
            self._tasks.spawn(keep_running(name, work, clock=self.clock))
        await self._listen()
        log_event("daemon", "Started.", listen=self.settings.listen)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the sockets, tasks and sessions; :meth:`leave` has drained requests."""
        await self._listeners.stop()
        await self._interface.stop()
        await self._tasks.cancel()
        await self.peers.stop()
        self.endpoint_links.server.stop()
        self.dialer.close()
        await self._platform_session.close()
        await self._engine_session.close()
        await self._plain_session.close()
        log_event("daemon", "Stopped.")

    async def leave(self) -> None:
        """Become unready and wait for the open requests, without a time limit."""
        self.gossip.leaving = True
        self.endpoint_links.server.close_idle()
        await self.drain.stop(balancer_lag=self.settings.balancer_lag)

    async def _report_gauges(self) -> None:
        await report_gauges(metrics=self.metrics, status=self.status, clock=self.clock)

    def _open_clients(self) -> None:
        """Open the sessions for the platform, engines and plain services."""
        self._platform_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._engine_session = aiohttp.ClientSession(
            connector=self._make_connector(), cookie_jar=aiohttp.DummyCookieJar()
        )
        self._plain_session = open_session(self._make_connector())

    def _make_connector(self) -> EndpointConnector:
        return EndpointConnector(
            dialer=self.dialer, find_endpoint_id=self._find_endpoint_id
        )

    def _find_endpoint_id(self, address: Address) -> str | None:
        """Return the id of the endpoint at an address, or None."""
        url = f"http://{address}"
        for endpoint in self.catalog.endpoints_by_id.values():
            if endpoint.url.rstrip("/") == url:
                return endpoint.id
        return None

    def _build_links(self) -> None:
        """Build the clients of the platform, the peers and the endpoints."""
        settings = self.settings
        self.dialer = EndpointDialer(clock=self.clock)
        self._open_clients()
        self.platform = HttpPlatform(
            session=self._platform_session, url=settings.platform
        )
        self.store = ConfigStore(platform=self.platform, clock=self.clock)
        self.peers = Peers(
            host_id=settings.host_id,
            listen=settings.peer_listen,
            peers_by_id=settings.peers,
            keys=list(settings.resume_keys.values()),
        )
        own = MemberRow(
            host_id=settings.host_id,
            failure_domain=settings.failure_domain,
            counter=int(self.clock.now().timestamp()),
            config_version=0,
            leaving=False,
            tunnel_address=str(settings.tunnel_listen or ""),
        )
        self.departures = Departures()
        self.host_list = HostListReader(
            departures=self.departures,
            catalog=self.catalog,
            platform=self.platform,
            clock=self.clock,
        )
        self.gossip = Gossip(
            table=MemberTable(own=own),
            peers=self.peers,
            clock=self.clock,
            rng=random.Random(),
            departures=self.departures,
        )
        self.keeper = CatalogKeeper(
            catalog=self.catalog,
            platform=self.platform,
            peers=self.peers,
            gossip=self.gossip,
            clock=self.clock,
            rng=random.Random(),
        )
        self.fleet = Fleet(
            catalog=self.catalog,
            clock=self.clock,
            connect=self._connect_engine,
            departures=self.departures,
            is_cut_off=lambda: self.dialer.is_cut_off,
            avoid_slow=lambda: self.settings.avoid_slow,
        )
        self.tunnels = TunnelHosts(
            list_hosts=self.gossip.table.reachable,
            own=lambda: self.gossip.table.own,
            signer=self.peers.signer,
            clock=self.clock,
            rng=random.Random(),
        )
        self.endpoint_links = EndpointLinks(
            dialer=self.dialer,
            find_endpoint=lambda name: self.catalog.endpoints_by_id.get(name),
            list_endpoints=lambda: self.catalog.endpoints_by_id.values(),
            tunnels=self.tunnels,
            signer=self.peers.signer,
            drain=self.drain,
            metrics=self.metrics,
        )

    def _build_serving(self) -> None:
        """Build the components that serve requests."""
        settings = self.settings
        budgets = RetryBudgets()
        self.gate = Gate(fleet=self.fleet, clock=self.clock)
        self.guard = CrashGuard(
            quarantine=Quarantine(),
            clock=self.clock,
            is_bypassed=lambda live: live.engine.is_bypassed,
            has_survived=self.fleet.has_survived,
            metrics=self.metrics,
        )
        self.quarantine_exchange = QuarantineExchange(
            guard=self.guard,
            peers=self.peers,
            linked_ids=lambda: self.peers.ids,
            clock=self.clock,
            rng=random.Random(),
        )
        self.dispatcher = Dispatcher(
            fleet=self.fleet,
            clock=self.clock,
            placement=Placement(
                fleet=self.fleet,
                clock=self.clock,
                failure_domain=settings.failure_domain,
                suspects=self.guard,
            ),
            limits=RetryLimits(),
            metrics=self.metrics,
            budgets=budgets,
            linger=settings.linger,
            guard=self.guard,
        )
        self.signer = HandleSigner(
            keys_by_id=settings.resume_keys, active_key=next(iter(settings.resume_keys))
        )
        self.copy_sender = CopySender(
            peers=self.peers,
            clock=self.clock,
            failure_domain=settings.failure_domain,
            domains_by_host=self.peers.domains_by_id,
        )
        self.copies = CopyService(
            copy_store=CopyStore(clock=self.clock), peers=self.peers
        )
        self.claims = Claims(
            platform=self.platform,
            peers=self.peers,
            clock=self.clock,
            shards=settings.claim_shards,
            retention=settings.claim_retention,
        )
        caller = PlainCaller(
            fleet=self.fleet,
            clock=self.clock,
            failure_domain=settings.failure_domain,
            budgets=budgets,
            sender=SessionSender(
                session=self._plain_session,
                answers=HeldBodies.of_answers(settings, self.metrics),
            ),
            guard=self.guard,
            hedging=HedgePolicy(
                fleet=self.fleet, clock=self.clock, mode=lambda: settings.hedging
            ),
            metrics=self.metrics,
        )
        self.at_most_once = AtMostOnceCaller(
            caller=caller,
            claims=self.claims,
            clock=self.clock,
            peers=self.peers,
        )

    def _build_completions(self) -> None:
        """Build the completion API and its jobs."""
        settings = self.settings
        self.completions = CompletionHandler(
            catalog=self.catalog,
            dispatcher=self.dispatcher,
            signer=self.signer,
            drain=self.drain,
            copy_sender=self.copy_sender,
            copies=self.copies,
            gate=self.gate,
            host_id=settings.host_id,
            output=OutputBuffers(
                limits=OutputLimits.of(settings), metrics=self.metrics
            ),
        )
        self.jobs = Jobs(
            host_id=settings.host_id,
            store=self.store,
            platform=self.platform,
            gossip=self.gossip,
            clock=self.clock,
            drain=self.drain,
            run_job=self.completions.run_job,
        )
        self.completions.jobs = self.jobs

    def _build_control(self) -> None:
        """Build the operators' API and its components."""
        settings = self.settings
        store = self.store
        self.executor = Executor(
            host_id=settings.host_id,
            host_ids=[settings.host_id, *settings.peers],
            store=store,
            catalog=self.catalog,
            fleet=self.fleet,
            orders=HttpOrders(session=self._plain_session),
            lease=Lease(
                key=LEASE_KEY,
                holder=settings.host_id,
                platform=self.platform,
                clock=self.clock,
            ),
            clock=self.clock,
        )
        self.status = StatusReader(
            host_id=settings.host_id,
            failure_domain=settings.failure_domain,
            catalog=self.catalog,
            gossip=self.gossip,
            peers=self.peers,
            fleet=self.fleet,
            drain=self.drain,
            is_platform_reachable=lambda: self.keeper.is_watching,
            count_claim_writes=lambda: self.claims.write_count,
        )
        self.operator_api = OperatorApi(
            token=settings.operator_token,
            store=store,
            intents=Intents(store=store, catalog=self.catalog, fleet=self.fleet),
            status=self.status,
            guard=self.guard,
        )
        self._interface = OwnInterface(
            settings=settings,
            metrics=self.metrics,
            completions=self.completions,
            plain=PlainHandler(
                catalog=self.catalog,
                caller=self.at_most_once,
                drain=self.drain,
                gate=self.gate,
            ),
            operator_api=self.operator_api,
            is_ready=lambda: self.keeper.loaded.is_set() and not self.drain.is_stopping,
            is_stopping=lambda: self.drain.is_stopping,
            config_version=lambda: self.catalog.config_version,
        )

    def _connect_engine(self, endpoint: Endpoint) -> HttpEngine:
        return HttpEngine(
            session=self._engine_session,
            endpoint_id=endpoint.id,
            url=endpoint.url,
            dialer=self.dialer,
        )

    async def _listen(self) -> None:
        interface = self._interface
        await interface.start()
        settings = self.settings
        await self._listeners.open(PEERS, settings.peer_listen, self.peers.bind)
        if settings.tunnel_listen is not None:
            tunnel_server = self.endpoint_links.server
            await self._listeners.open(
                TUNNELS,
                settings.tunnel_listen,
                partial(
                    tunnel_server.start,
                    settings.tunnel_listen.host,
                    settings.tunnel_listen.port,
                ),
            )
        await self._listeners.open(CALLERS, settings.listen, interface.listen)


def _open_metrics(settings: Settings) -> Metrics:
    if settings.statsd is None:
        return NoMetrics()
    return StatsdMetrics(address=settings.statsd, host_id=settings.host_id)


def run_daemon(settings: Settings, signals: StopSignals) -> None:
    """Run an entry host until a stop signal and the end of its last request.

    Args:
        settings: The settings.
        signals: Records a stop signal that arrives before the event loop runs.
    """
    limit_arenas()
    with ExitStack() as stack:
        log = sys.stdout
        if settings.log != "-":
            log = stack.enter_context(open(settings.log, "a"))
        to_file(log)
        _run_host(settings, signals)


def _run_host(settings: Settings, signals: StopSignals) -> None:
    host = EntryHost(settings=settings, clock=SystemClock())
    with aiomisc.entrypoint(
        host,
        pool_size=1,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        loop.run_until_complete(_wait_for_stop(host, signals))


async def _wait_for_stop(host: EntryHost, signals: StopSignals) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.hand_over(loop, stopping.set)
    # The one thread of the loop's pool.
    await asyncio.to_thread(block_here)
    await stopping.wait()
    log_event("daemon", "Stopping.", open=host.drain.open_requests)
    await host.leave()
    signals.ignore(loop)
