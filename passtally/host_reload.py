"""Lets a running host take settings that it is told anew.

What was made of a setting at the start would else stay as it was: each setting that a
host uses has something here that takes it. What is open goes on: requests, connections,
what endpoints were found to be, what is spent of the budgets.
"""

import asyncio
from collections.abc import Coroutine, Mapping
from datetime import timedelta
from typing import Any, Protocol

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.host_servers import HostServers
from passtally.listeners import CALLERS, METRICS, PEERS, READINESS
from passtally.load_exchange import LoadExchange
from passtally.membership import Gossip
from passtally.object_store import MovablePlatform
from passtally.peers import Peers
from passtally.placement import Placement
from passtally.plain import PlainCaller
from passtally.retry_budget import ServiceBudgets
from passtally.rollouts import Rollouts
from passtally.roster import Roster
from passtally.routes import ActiveRoutes
from passtally.settings import Settings
from passtally.settings_change import (
    Apply,
    apply_changes,
    find_changes,
    keep_unappliable,
)
from passtally.shared_watch import SharedWatch
from passtally.view import View

#: How long a host that is told another key for messages between hosts signs with the
#: one before as well. The hosts of a fleet are told within seconds of each other, and
#: each looks at its settings every five.
KEY_OVERLAP = timedelta(minutes=1)
#: The most keys of before that sign: settings may go to and fro.
MAX_FORMER_KEYS = 2


class ReloadableHost(Protocol):
    """A host whose parts take settings while it serves.

    Attributes:
        settings: What it was told last.
        clock: The clock.
        servers: What listens at its addresses.
        peers: The links to other hosts.
        gossip: Tells other hosts of it.
        roster: Knows the other hosts.
        load_exchange: Tells other hosts its load.
        store: The client of the store.
        watch: Follows the store's objects.
        routes: The routes in force.
        placement: Chooses endpoints for generations.
        caller: Passes calls on.
        budgets: How many repeats are left.
        rollouts: The orders of new versions; None where they are not followed.
    """

    settings: Settings
    clock: Clock
    servers: HostServers
    peers: Peers
    gossip: Gossip
    roster: Roster
    load_exchange: LoadExchange
    store: MovablePlatform
    watch: SharedWatch
    routes: ActiveRoutes
    placement: Placement
    caller: PlainCaller
    budgets: ServiceBudgets
    rollouts: Rollouts | None

    def add_rollouts(self) -> None:
        """Follow orders of new versions from now on."""

    def leave_rollouts(self) -> None:
        """Follow no orders of new versions any more."""

    def watch_wait(self, view: View) -> timedelta:
        """Return how long one watch of a view waits for a change."""

    def gather_pause(self) -> timedelta:
        """Return how long changes are gathered before the next watch."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task until the host stops."""


class HostReload:
    """Hands each setting that changes to the part of a host that uses it.

    Args:
        host: The host.
    """

    def __init__(self, *, host: ReloadableHost) -> None:
        self._host = host
        #: Until when keys of before sign, on the monotonic clock.
        self._until_by_former_key: dict[bytes, timedelta] = {}

    def take(self, told: Settings) -> None:
        """Put what has changed in force."""
        host = self._host
        appliers_by_name = self.appliers_by_name
        before = host.settings
        changes = find_changes(before, told)
        host.settings = keep_unappliable(before, told, takeable=appliers_by_name)
        if before.resume_keys != host.settings.resume_keys:
            self._record_former_key(before)
        failed = apply_changes(changes, appliers_by_name=appliers_by_name)
        # Not in force: so they are told again, and tried again, at the next look.
        kept = {change.name: change.was for change in failed}
        host.settings = attrs.evolve(host.settings, **kept)
        names = [change.name for change in changes]
        log_event("daemon", "Settings read again.", changed=names)

    @property
    def appliers_by_name(self) -> Mapping[str, Apply]:
        """What takes each setting that a host uses and may be told anew."""
        return {
            "host_id": self._take_name,
            "region": self._use_when_needed,
            "failure_domain": self._take_domain,
            "listen": self._take_listen,
            "ready_listen": self._take_ready_listen,
            "metrics_listen": self._take_metrics_listen,
            "peer_listen": self._take_peer_listen,
            "seeds": self._take_seeds,
            "platform": self._take_platform,
            "resume_keys": self._take_keys,
            "grace": self._use_when_needed,
            "balancer_lag": self._use_when_needed,
            "retry_share": self._take_budgets,
            "retry_extra": self._use_when_needed,
            "retry_window": self._take_budgets,
            "trial_share": self._take_trials,
            "trial_extra": self._take_trials,
            "apply_within": self._take_apply_within,
        }

    def _use_when_needed(self) -> None:
        """Do nothing: such a setting is looked up whenever it is needed."""

    def _take_name(self) -> None:
        host = self._host
        host_id = host.settings.host_id
        host.gossip.table.change_own(now=host.clock.monotonic(), host_id=host_id)
        host.peers.host_id = host.load_exchange.host_id = host_id
        host.watch.rename(host_id)
        if host.rollouts is not None:
            # As after a start: what was counted stays told of the old name.
            host.leave_rollouts()
            host.add_rollouts()

    def _take_domain(self) -> None:
        host = self._host
        domain = host.settings.failure_domain
        host.gossip.table.change_own(now=host.clock.monotonic(), failure_domain=domain)
        host.placement.move(domain)
        host.caller.failure_domain = domain

    def _take_listen(self) -> None:
        self._host.servers.move(CALLERS, self._host.settings.listen)

    def _take_ready_listen(self) -> None:
        self._host.servers.move(READINESS, self._host.settings.ready_listen)

    def _take_metrics_listen(self) -> None:
        self._host.servers.move(METRICS, self._host.settings.metrics_listen)

    def _take_peer_listen(self) -> None:
        self._host.servers.move(PEERS, self._host.settings.peer_listen)

    def _take_seeds(self) -> None:
        self._host.roster.use_seeds(self._host.settings.seeds)

    def _take_platform(self) -> None:
        host = self._host
        host.store.move(host.settings.platform)
        host.routes.renew()
        host.watch.relist()

    def _record_former_key(self, before: Settings) -> None:
        """Let the key that signed sign on for a while, until all hosts were told."""
        key = next(iter(before.resume_keys.values()))
        until = self._host.clock.monotonic() + KEY_OVERLAP
        self._until_by_former_key.pop(key, None)
        self._until_by_former_key[key] = until

    def _take_keys(self) -> None:
        self._use_keys()
        self._host.spawn(self._drop_former_keys())

    def _use_keys(self) -> None:
        former = list(self._until_by_former_key)[-MAX_FORMER_KEYS:]
        keys = list(self._host.settings.resume_keys.values())
        self._host.peers.use_keys(keys, former=former)

    async def _drop_former_keys(self) -> None:
        clock = self._host.clock
        await clock.sleep(KEY_OVERLAP)
        now = clock.monotonic()
        for key, until in list(self._until_by_former_key.items()):
            if until <= now:
                del self._until_by_former_key[key]
        self._use_keys()

    def _take_budgets(self) -> None:
        """Hold what was spent and earned already against the other figures."""
        budgets, settings = self._host.budgets, self._host.settings
        budgets.share = settings.retry_share
        budgets.window = settings.retry_window

    def _take_trials(self) -> None:
        host = self._host
        share, slack = host.settings.trial_share, host.settings.trial_extra
        if not share:
            host.leave_rollouts()
        elif host.rollouts is None:
            host.add_rollouts()
        else:
            host.rollouts.adjust(share=share, slack=slack)

    def _take_apply_within(self) -> None:
        host = self._host
        for view in host.watch.views:
            view.follower.pace(wait=host.watch_wait(view), pause=host.gather_pause())
