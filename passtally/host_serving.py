"""The way of a request through a host: admission, placement, dispatch and retries."""

import asyncio
from datetime import timedelta
from functools import partial
from typing import Protocol

from passtally.adapter import Adapter
from passtally.backed_up_origins import BackedUpOrigins
from passtally.budget_loans import BudgetLoans
from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.crash_guard import CrashGuard
from passtally.datagrams import Datagrams
from passtally.dispatcher import Dispatcher
from passtally.drain import Drain
from passtally.fleet import Fleet
from passtally.forecast import Forecast
from passtally.front import Front
from passtally.hedge import HedgePolicy
from passtally.held_bodies import HeldBodies
from passtally.host_admission import HostAdmission
from passtally.host_config import MIN_BUDGET_HOSTS, HostConfig
from passtally.known_versions import KnownVersions
from passtally.metrics import Metrics
from passtally.object_store import RelocatablePlatform
from passtally.origin_backup import OriginBackupWriter
from passtally.origin_exchange import OriginExchange
from passtally.origin_keepers import OriginKeepers
from passtally.origin_lookup import OriginLookup
from passtally.placement import Placement
from passtally.plain import PlainCaller
from passtally.retry import RetryLimits
from passtally.retry_budget import ServiceBudgets
from passtally.roster import Roster
from passtally.routes import ActiveRoutes
from passtally.seen_versions import SeenVersions
from passtally.service_index import ServiceIndex
from passtally.settings import Settings
from passtally.shared_watch import SharedWatch
from passtally.survey import Survey
from passtally.version_records import VersionRecords

#: Warm-up time of the retry budget. By its end a host knows nearly all others, even if
#: all 195 start at once. A host without seeds has no warm-up, since it shares its
#: budget with no other host.
BUDGET_WARM_UP = timedelta(seconds=3)


class ServingHost(Protocol):
    """A host that serves requests.

    Attributes:
        settings: The settings in force.
        clock: The clock.
        metrics: The sink of metrics.
        drain: Counts the open requests.
        catalog: The known endpoints.
        routes: The routes in force.
        config: What follows the store.
        config_ready: Set once the routes and some endpoints are known.
        store: The client of the store.
        watch: The watch of the store's objects.
        roster: The known other hosts.
        loans: Lends parts of the retry budgets to other hosts and from them.
        datagrams: The datagrams to and from other hosts.
        fleet: The recorded states of endpoints.
        pool: The open connections to endpoints.
        guard: Recognizes requests that crash endpoints.
    """

    settings: Settings
    clock: Clock
    metrics: Metrics
    drain: Drain
    catalog: ServiceIndex
    routes: ActiveRoutes
    config: HostConfig
    config_ready: asyncio.Event
    store: RelocatablePlatform
    watch: SharedWatch
    roster: Roster
    loans: BudgetLoans
    datagrams: Datagrams
    fleet: Fleet
    pool: ConnectionPool
    guard: CrashGuard


class HostServing:
    """Builds and holds what serves the requests of one host.

    Args:
        host: What a host knows and holds before it serves.
        adapter: Translates between the host and its platform.

    Attributes:
        budgets: The retry budgets.
        admission: Admits the requests.
        placement: Chooses endpoints for streams.
        dispatcher: Runs streams.
        caller: Forwards plain calls.
        version_records: The versions that services had before this host's start.
        origins: Tells other hosts where answers began.
        origin_backup: Keeps the origins of this host's answers in the store.
        front: Serves each request, from its arrival to its end.
    """

    def __init__(self, *, host: ServingHost, adapter: Adapter) -> None:
        self.budgets = ServiceBudgets(
            share=host.settings.retry_share,
            extra=lambda: (
                host.settings.retry_extra
                / max(host.roster.peak_hosts, MIN_BUDGET_HOSTS)
            ),
            window=host.settings.retry_window,
            clock=host.clock,
            warm_up=BUDGET_WARM_UP if host.settings.seeds else timedelta(0),
            ask_others=host.loans.ask,
        )
        host.loans.lend_from(self.budgets)
        forecast = Forecast()
        self.admission = HostAdmission(
            settings=lambda: host.settings,
            routes=host.routes,
            fleet=host.fleet,
            members=host.roster,
            datagrams=host.datagrams,
            clock=host.clock,
            metrics=host.metrics,
        )
        self.gate = self.admission.gate
        self.placement = Placement(
            fleet=host.fleet,
            clock=host.clock,
            failure_domain=host.settings.failure_domain,
            keeps_replicas=host.routes.keeps_replicas,
            survey=Survey(
                fleet=host.fleet, is_needed=lambda: not host.roster.is_fully_linked
            ),
            forecast=forecast,
            suspects=host.guard,
        )
        self.dispatcher = Dispatcher(
            fleet=host.fleet,
            clock=host.clock,
            placement=self.placement,
            limits=RetryLimits(),
            budgets=self.budgets,
            linger=timedelta(0),
            metrics=host.metrics,
            guard=host.guard,
        )
        self.caller = PlainCaller(
            fleet=host.fleet,
            clock=host.clock,
            failure_domain=host.settings.failure_domain,
            budgets=self.budgets,
            sender=adapter.make_sender(
                pool=host.pool,
                clock=host.clock,
                recorder=host.fleet.send_limits,
                answers=HeldBodies.of_answers(host.settings, host.metrics),
            ),
            guard=host.guard,
            hedging=HedgePolicy(
                fleet=host.fleet, clock=host.clock, mode=lambda: host.settings.hedging
            ),
            metrics=host.metrics,
        )
        seen = SeenVersions()
        version_store = adapter.open_versions(
            host.store, heartbeat=lambda: host.settings.endpoint_heartbeat
        )
        self.version_records = VersionRecords(
            store=version_store,
            seen=seen,
            clock=host.clock,
            is_writer=lambda: host.watch.is_first_watcher,
            is_resumable=lambda service: host.routes.may_resume(service),
            is_first_start=lambda: host.settings.first_start,
        )
        keepers = OriginKeepers(members=host.roster)
        backup_store = adapter.open_origins(host.store)
        backups = BackedUpOrigins(store=backup_store, clock=host.clock)
        versions = KnownVersions(
            catalog=host.catalog,
            seen=seen,
            records=self.version_records,
            clock=host.clock,
            is_current=lambda: host.watch.is_receiving,
            find_changed=lambda service: version_store.find_changed(
                service, after=host.watch.known_version(adapter.endpoints_prefix)
            ),
            has_others=lambda: host.roster.peak_hosts > 1 or bool(host.settings.seeds),
            keepers=keepers,
        )
        host.catalog.on_new_version = partial(self._record_versions, versions)
        self.origins = OriginExchange(
            keepers=keepers,
            datagrams=host.datagrams,
            catalog=host.catalog,
            rule=host.fleet.origin_rule,
            versions=versions,
            backups=backups,
            clock=host.clock,
        )
        self.origin_backup = OriginBackupWriter(
            store=backup_store,
            host_id=host.settings.host_id,
            clock=host.clock,
            take_origins=self.origins.take_origins,
            count_hosts=lambda: host.roster.peak_hosts,
        )
        self.origins.on_told = self.origin_backup.wake
        self.front = Front(
            routes=host.routes,
            dispatcher=self.dispatcher,
            caller=self.caller,
            gate=self.gate,
            drain=host.drain,
            clock=host.clock,
            metrics=host.metrics,
            config_ready=host.config_ready,
            forecast=forecast,
            guard=host.guard,
            origins=self.origins,
            origin_lookup=OriginLookup(
                table=self.origins.table,
                keepers=keepers,
                datagrams=host.datagrams,
                rule=host.fleet.origin_rule,
                versions=versions,
                backups=backups,
                clock=host.clock,
                metrics=host.metrics,
            ),
            is_behind=host.config.is_behind,
        )

    def _record_versions(self, versions: KnownVersions) -> None:
        """Record a version that has appeared before streams begin at it."""
        versions.record()
        self.version_records.wake()
