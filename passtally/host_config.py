"""What a host knows of its configuration: watches, routes, endpoints and roll-outs."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from datetime import timedelta
from functools import partial
from typing import Any

from passtally.adapter import Adapter
from passtally.clock import Clock
from passtally.endpoint_changes import EndpointChanges
from passtally.endpoint_registry import EndpointRegistry
from passtally.fleet import Fleet
from passtally.follower import Follower
from passtally.host_links import HostLinks
from passtally.metrics import Metrics
from passtally.object_applier import ObjectApplier
from passtally.object_store import RelocatablePlatform
from passtally.rollouts import Rollouts
from passtally.routes import ActiveRoutes
from passtally.routes_exchange import RoutesExchange
from passtally.service_index import ServiceIndex
from passtally.settings import Settings
from passtally.shared_watch import SharedWatch
from passtally.supervisor import keep_running
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
#: Minimum number of hosts that a retry budget is divided by. A host that has just
#: started, or is cut off from most others, knows fewer hosts than share the budget.
MIN_BUDGET_HOSTS = 8


class HostConfig:
    """Follows the objects of the store for one host.

    Args:
        settings: Returns the settings in force.
        clock: The clock.
        adapter: Translates between the host and its platform.
        store: The client of the store.
        links: The links to other hosts.
        catalog: The known endpoints.
        metrics: The sink of metrics.
        spawn: Starts a task that is cancelled when the host stops.

    Attributes:
        rollouts: The trials of new versions; None if the settings disable them.
        registry: The endpoints in force.
        watch: The watch of the store's objects.
        routes_exchange: Fetches routes from other hosts.
    """

    registry: EndpointRegistry
    watch: SharedWatch
    routes_exchange: RoutesExchange

    def __init__(
        self,
        *,
        settings: Callable[[], Settings],
        clock: Clock,
        adapter: Adapter,
        store: RelocatablePlatform,
        links: HostLinks,
        catalog: ServiceIndex,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._adapter = adapter
        self._store = store
        self._links = links
        self._catalog = catalog
        self._metrics = metrics
        self._spawn = spawn
        self.rollouts = self._build_rollouts()

    def build(
        self,
        *,
        changes: EndpointChanges,
        fleet: Fleet,
        routes: ActiveRoutes,
        config_ready: asyncio.Event,
    ) -> None:
        """Build what follows the store, once the host has its endpoints.

        Args:
            changes: Applies changes of endpoints to the host.
            fleet: The recorded states of endpoints.
            routes: The routes in force.
            config_ready: Set once the routes and some endpoints are known.
        """
        self._fleet = fleet
        self.registry = EndpointRegistry(
            catalog=self._catalog,
            clock=self._clock,
            on_removed=changes.remove,
            on_started=changes.record_start,
        )
        object_applier = ObjectApplier(
            adapter=self._adapter,
            routes=routes,
            catalog=self._catalog,
            registry=self.registry,
            rollouts=self.rollouts,
            config_ready=config_ready,
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
            self.rollouts.set_fleet(self._fleet)
            views.append(self._make_rollouts_view())
        self.watch = SharedWatch(
            host_id=self._settings().host_id,
            views=views,
            follow=self._follow,
            peers=self._links.peers,
            roster=self._links.roster,
            clock=self._clock,
            rng=random.Random(),
            reach_changed=self.registry.record_reachability,
        )
        self.routes_exchange = RoutesExchange(
            routes=routes,
            apply=object_applier.apply_routes,
            peers=self._links.peers,
            linked_ids=lambda: [row.host_id for row in self._links.roster.linked()],
            has_seeds=lambda: bool(self._settings().seeds),
            clock=self._clock,
        )
        self._links.gossip.versions = self.watch.newest
        self._links.gossip.seeks_versions = lambda: not self.watch.is_receiving

    def _make_rollouts_view(self) -> View:
        orders = self._adapter.rollouts_prefix
        return View(
            prefix=orders, apply=self._object_applier.apply_rollouts, is_required=False
        )

    def follow_rollouts(self) -> None:
        """Start the task for the roll-outs under way, if they are followed."""
        if self.rollouts is not None:
            work = keep_running("roll-outs", self.rollouts.run, clock=self._clock)
            self._rollouts_task = self._spawn(work)

    def enable_rollouts(self) -> None:
        """Start following the orders of new versions."""
        self.rollouts = self._object_applier.rollouts = self._build_rollouts()
        self.rollouts.set_fleet(self._fleet)
        for endpoint in self._catalog.endpoints_by_id.values():
            self.rollouts.record_endpoint(endpoint)
        self._fleet.versions = self.rollouts
        self.watch.add(self._make_rollouts_view())
        self.follow_rollouts()

    def disable_rollouts(self) -> None:
        """Stop following the orders of new versions."""
        if self.rollouts is None:
            return
        self._rollouts_task.cancel()
        self.watch.remove(self._adapter.rollouts_prefix)
        self._fleet.versions = AllVersions()
        self.rollouts.stop()
        self.rollouts = None

    def _build_rollouts(self) -> Rollouts | None:
        """Build the trials of new versions; None if the settings disable them."""
        settings = self._settings()
        if not settings.trial_share:
            return None
        return Rollouts(
            host_id=settings.host_id,
            life=int(self._clock.now().timestamp() * 1000),
            share=settings.trial_share,
            slack=settings.trial_extra,
            min_hosts=MIN_BUDGET_HOSTS,
            catalog=self._catalog,
            loans=self._links.loans,
            peers=self._links.peers,
            roster=self._links.roster,
            clock=self._clock,
            rng=random.Random(),
            is_current=self._knows_orders,
            record=partial(self._adapter.record_rollout, self._store),
            metrics=self._metrics,
        )

    def _publish_config_version(self, version: int) -> None:
        self._links.gossip.config_version = version

    def is_behind(self) -> bool:
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
            platform=self._store,
            replace=lambda listing: share.replace(view, listing),
            advance=lambda changes: share.advance(view, changes),
            clock=self._clock,
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
        return WATCH_WAIT_SHARE * self._settings().apply_within

    def gather_pause(self) -> timedelta:
        """Return the time for which changes are batched before the next watch."""
        return BATCH_SHARE * self._settings().apply_within
