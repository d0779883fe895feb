"""Lets a running host take settings that it is told anew.

What was made of a setting at the start would else stay as it was: each setting that a
host uses has something here that takes it. What is open goes on: requests, connections,
what endpoints were found to be, what is spent of the budgets.
"""

from collections.abc import Mapping
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import attrs

from passtally.decision import log_event
from passtally.http_server import HttpServer
from passtally.listeners import CALLERS, METRICS, PEERS, READINESS
from passtally.settings import Address, Settings
from passtally.settings_change import Take, find_changes, hand_out, keep_untakeable

if TYPE_CHECKING:
    from passtally.front_host import FrontHost

#: How long a host that is told another key for messages between hosts signs with the
#: one before as well. The hosts of a fleet are told within seconds of each other, and
#: each looks at its settings every five.
KEY_OVERLAP = timedelta(minutes=1)
#: The most keys of before that sign: settings may go to and fro.
MAX_FORMER_KEYS = 2


class HostReload:
    """Hands each setting that changes to the part of a host that uses it.

    Args:
        host: The host.
    """

    def __init__(self, *, host: "FrontHost") -> None:
        self._host = host
        #: Until when keys of before sign, on the monotonic clock.
        self._until_by_former_key: dict[bytes, timedelta] = {}

    def take(self, told: Settings) -> None:
        """Put what has changed in force."""
        host = self._host
        takers_by_name = self.takers_by_name
        before = host.settings
        changes = find_changes(before, told)
        host.settings = keep_untakeable(before, told, takeable=takers_by_name)
        if before.resume_keys != host.settings.resume_keys:
            self._note_former_key(before)
        failed = hand_out(changes, takers_by_name=takers_by_name)
        # Not in force: so they are told again, and tried again, at the next look.
        kept = {change.name: change.was for change in failed}
        host.settings = attrs.evolve(host.settings, **kept)
        names = [change.name for change in changes]
        log_event("daemon", "Settings read again.", changed=names)

    @property
    def takers_by_name(self) -> Mapping[str, Take]:
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
        host.peers.host_id = host.news.host_id = host_id
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
        self._move(CALLERS, self._host.front_server, self._host.settings.listen)

    def _take_ready_listen(self) -> None:
        self._move(READINESS, self._host.ready_server, self._host.settings.ready_listen)

    def _take_metrics_listen(self) -> None:
        address = self._host.settings.metrics_listen
        self._move(METRICS, self._host.metrics_server, address)

    def _move(self, name: str, server: HttpServer, address: Address | None) -> None:
        place = () if address is None else (address.host, address.port)
        self._host.listeners.move(
            name,
            address,
            partial(server.start, *place),
            close=partial(server.leave, *place),
        )

    def _take_peer_listen(self) -> None:
        host = self._host
        address = host.settings.peer_listen
        host.listeners.move(
            PEERS,
            address,
            partial(host.peers.bind, address),
            close=partial(host.peers.unbind, address),
        )

    def _take_seeds(self) -> None:
        self._host.roster.use_seeds(self._host.settings.seeds)

    def _take_platform(self) -> None:
        host = self._host
        host.store.move(host.settings.platform)
        host.routes.renew()
        host.watch.list_anew()

    def _note_former_key(self, before: Settings) -> None:
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
