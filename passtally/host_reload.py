"""Applies changed settings to a running host.

The parts of a host copy setting values when they are built, so each setting that may
change has a function here that updates them. Open requests and connections, the
recorded states of endpoints and the spent budgets are kept.
"""

import asyncio
from collections.abc import Coroutine, Mapping
from datetime import timedelta
from typing import Any, Protocol

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.host_config import HostConfig
from passtally.host_servers import HostServers
from passtally.listeners import CALLERS, METRICS, PEERS, READINESS, TUNNELS
from passtally.load_exchange import LoadExchange
from passtally.membership import Gossip
from passtally.object_store import RelocatablePlatform
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

#: Time for which a host also signs messages between hosts with the previous key after
#: a change. The hosts of a fleet are given a new key within seconds of each other, and
#: each polls its settings every second.
KEY_OVERLAP = timedelta(minutes=1)
#: Maximum number of previous keys that still sign; a setting may change repeatedly.
MAX_FORMER_KEYS = 2


class ReloadableHost(Protocol):
    """A host whose settings can change while it serves.

    Attributes:
        settings: The settings in force.
        clock: The clock.
        servers: The servers at its addresses.
        peers: The links to other hosts.
        gossip: The gossip with other hosts.
        roster: The known other hosts.
        load_exchange: The exchange of load reports with other hosts.
        store: The client of the store.
        watch: The watch of the store's objects.
        routes: The routes in force.
        placement: The choice of endpoints for generations.
        caller: The forwarding of plain calls.
        budgets: The retry budgets.
        rollouts: The orders of new versions; None if they are not followed.
        config: What follows the store.
    """

    settings: Settings
    clock: Clock
    servers: HostServers
    peers: Peers
    gossip: Gossip
    roster: Roster
    load_exchange: LoadExchange
    store: RelocatablePlatform
    watch: SharedWatch
    routes: ActiveRoutes
    placement: Placement
    caller: PlainCaller
    budgets: ServiceBudgets
    rollouts: Rollouts | None
    config: HostConfig

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that is cancelled when the host stops."""


class HostReload:
    """Applies each changed setting to the part of a host that uses it.

    Args:
        host: The host.
    """

    def __init__(self, *, host: ReloadableHost) -> None:
        self._host = host
        #: When each previous key stops signing, on the monotonic clock.
        self._until_by_former_key: dict[bytes, timedelta] = {}

    def apply(self, new: Settings) -> None:
        """Apply the changed settings.

        Args:
            new: The new settings.
        """
        host = self._host
        appliers_by_name = self.appliers_by_name
        before = host.settings
        changes = find_changes(before, new)
        host.settings = keep_unappliable(before, new, applicable=appliers_by_name)
        if before.resume_keys != host.settings.resume_keys:
            self._record_former_key(before)
        failed = apply_changes(changes, appliers_by_name=appliers_by_name)
        # Failed changes keep the old value, so the next reload retries them.
        kept = {change.name: change.was for change in failed}
        host.settings = attrs.evolve(host.settings, **kept)
        names = [change.name for change in changes]
        log_event("daemon", "Settings read again.", changed=names)

    @property
    def appliers_by_name(self) -> Mapping[str, Apply]:
        """Functions that apply each changeable setting, by the setting's name."""
        return {
            "host_id": self._apply_host_id,
            "region": self._use_when_needed,
            "failure_domain": self._apply_domain,
            "listen": self._apply_listen,
            "ready_listen": self._apply_ready_listen,
            "metrics_listen": self._apply_metrics_listen,
            "peer_listen": self._apply_peer_listen,
            "tunnel_listen": self._apply_tunnel_listen,
            "seeds": self._apply_seeds,
            "platform": self._apply_platform,
            "resume_keys": self._apply_keys,
            "grace": self._use_when_needed,
            "balancer_lag": self._use_when_needed,
            "retry_share": self._apply_budgets,
            "retry_extra": self._use_when_needed,
            "retry_window": self._apply_budgets,
            "trial_share": self._apply_trials,
            "trial_extra": self._apply_trials,
            "apply_within": self._apply_watch_times,
            "shared_admission": self._use_when_needed,
            "hedging": self._use_when_needed,
            "avoid_slow": self._use_when_needed,
        }

    def _use_when_needed(self) -> None:
        """Do nothing, since the setting is read from the host at each use."""

    def _apply_host_id(self) -> None:
        host = self._host
        host_id = host.settings.host_id
        host.gossip.table.change_own(now=host.clock.monotonic(), host_id=host_id)
        host.peers.host_id = host.load_exchange.host_id = host_id
        host.watch.rename(host_id)
        if host.rollouts is not None:
            # Starts over, as after a restart: other hosts keep the reported counts
            # under the old name.
            host.config.disable_rollouts()
            host.config.enable_rollouts()

    def _apply_domain(self) -> None:
        host = self._host
        domain = host.settings.failure_domain
        host.gossip.table.change_own(now=host.clock.monotonic(), failure_domain=domain)
        host.placement.set_failure_domain(domain)
        host.caller.router.failure_domain = domain

    def _apply_listen(self) -> None:
        self._host.servers.move(CALLERS, self._host.settings.listen)

    def _apply_ready_listen(self) -> None:
        self._host.servers.move(READINESS, self._host.settings.ready_listen)

    def _apply_metrics_listen(self) -> None:
        self._host.servers.move(METRICS, self._host.settings.metrics_listen)

    def _apply_peer_listen(self) -> None:
        self._host.servers.move(PEERS, self._host.settings.peer_listen)

    def _apply_tunnel_listen(self) -> None:
        self._host.servers.move(TUNNELS, self._host.settings.tunnel_listen)

    def _apply_seeds(self) -> None:
        self._host.roster.set_seeds(self._host.settings.seeds)

    def _apply_platform(self) -> None:
        host = self._host
        host.store.set_url(host.settings.platform)
        host.routes.accept_any_version()
        host.watch.relist()

    def _record_former_key(self, before: Settings) -> None:
        """Keep signing with the previous key until all hosts have the new one."""
        key = next(iter(before.resume_keys.values()))
        until = self._host.clock.monotonic() + KEY_OVERLAP
        self._until_by_former_key.pop(key, None)
        self._until_by_former_key[key] = until

    def _apply_keys(self) -> None:
        self._use_keys()
        self._host.spawn(self._drop_former_keys())

    def _use_keys(self) -> None:
        former = list(self._until_by_former_key)[-MAX_FORMER_KEYS:]
        keys = list(self._host.settings.resume_keys.values())
        self._host.peers.signer.use_keys(keys, former=former)

    async def _drop_former_keys(self) -> None:
        clock = self._host.clock
        await clock.sleep(KEY_OVERLAP)
        now = clock.monotonic()
        for key, until in list(self._until_by_former_key.items()):
            if until <= now:
                del self._until_by_former_key[key]
        self._use_keys()

    def _apply_budgets(self) -> None:
        """Change the share and the window; keep what was spent and earned."""
        budgets, settings = self._host.budgets, self._host.settings
        budgets.share = settings.retry_share
        budgets.window = settings.retry_window

    def _apply_trials(self) -> None:
        host = self._host
        share, slack = host.settings.trial_share, host.settings.trial_extra
        if not share:
            host.config.disable_rollouts()
        elif host.rollouts is None:
            host.config.enable_rollouts()
        else:
            host.rollouts.adjust(share=share, slack=slack)

    def _apply_watch_times(self) -> None:
        host = self._host
        for view in host.watch.views:
            view.follower.set_pace(
                wait=host.config.watch_wait(view), pause=host.config.gather_pause()
            )
