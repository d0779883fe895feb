"""Which hosts of a failure domain watch the platform. Pure; nothing is agreed.

Who watches follows from who is heard watching. Where too few do, each host waits the
longer the more hosts stand before it in the order of their names, so that one loss
does not wake the whole domain. Where too many do, the last ones stop. One watcher too
many costs a little; a host that hears no watcher soon watches itself.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

#: Hosts of a large failure domain that watch. Two, so that one's end is no gap.
WATCHERS = 2
#: In a domain of at most so many hosts all watch: little is to be saved.
SMALL_DOMAIN = 4
#: How long a host that has just started first listens for others that watch. By
#: then it has asked its seeds twice; what it listed is younger than that.
JOIN_WAIT = timedelta(seconds=1.2)
#: How much longer each host waits than the one before it while one watcher is heard:
#: changes still arrive, and a beat takes half a second to be heard.
STEP = timedelta(milliseconds=300)
#: The same where no watcher is heard: a change must be in force two or three seconds
#: after the platform took it. Where the platform turns a third of the hosts away, one
#: of so many almost surely reaches it.
URGENT_STEP = timedelta(milliseconds=50)
URGENT_HOSTS = 6
#: The step of the hosts behind those: where none of the first ones reaches the
#: platform it is most likely away, and a further host that watches makes some four
#: calls a second. In an outage of 8 s, 8 hosts of a domain of 42 try, and not 14.
LATE_STEP = timedelta(seconds=4)
#: How long enough others must be heard before a watch is given up.
STAND_DOWN_AFTER = timedelta(seconds=3)


def should_watch(
    own_id: str,
    domain_ids: Collection[str],
    watching_ids: Collection[str],
    *,
    is_watching: bool,
    watchers: int = WATCHERS,
    small_domain: int = SMALL_DOMAIN,
) -> bool:
    """Decide whether a host is to watch the platform.

    One that does not begins only where too few do, whoever they are; one that does
    stops only where enough before it do. So the first ones never stop, and nobody
    begins to take over from one that watches well.

    Args:
        own_id: The host.
        domain_ids: The hosts of its failure domain in reach, itself included.
        watching_ids: Those of its domain that were heard watching a moment ago.
        is_watching: Whether it watches now.
        watchers: How many are enough.
        small_domain: Up to how many hosts all watch.
    """
    if len(domain_ids) <= small_domain:
        return True
    if not is_watching:
        return len(watching_ids) < watchers
    before = [host_id for host_id in watching_ids if host_id < own_id]
    return len(before) < watchers


def waiting_time(
    own_id: str, domain_ids: Collection[str], watching_ids: Collection[str]
) -> timedelta:
    """Return how long a host that is to watch lets the ones before it go first.

    Args:
        own_id: The host.
        domain_ids: The hosts of its failure domain in reach, itself included.
        watching_ids: Those of its domain that were heard watching a moment ago.
    """
    if len(domain_ids) <= SMALL_DOMAIN:
        return timedelta(0)
    idle = [
        host_id
        for host_id in domain_ids
        if host_id < own_id and host_id not in watching_ids
    ]
    if watching_ids:
        return len(idle) * STEP
    urgent = min(len(idle), URGENT_HOSTS - 1)
    return urgent * URGENT_STEP + (len(idle) - urgent) * LATE_STEP


@attrs.define(kw_only=True)
class WatcherElection:
    """Whether one host watches, from moment to moment.

    Attributes:
        own_id: The host.
        started_at: When it started, on the monotonic clock.
        is_watching: Whether it watches now.
    """

    own_id: str
    started_at: timedelta
    is_watching: bool = False
    _wanted_since: timedelta | None = None
    _heard_any: bool = False
    _enough_since: timedelta | None = None

    def decide(
        self,
        domain_ids: Collection[str],
        watching_ids: Collection[str],
        *,
        now: timedelta,
    ) -> bool:
        """Take in who is there and who watches, and return whether to watch.

        Args:
            domain_ids: The hosts of its failure domain in reach, itself included.
            watching_ids: Those of its domain that were heard watching a moment ago.
            now: The monotonic time.
        """
        # A wait that began while no watcher was heard has other steps. Once one is
        # heard again it begins anew: after an outage of 5.5 s the waits of most hosts
        # of a domain were over, and 17 of 19 asked for all changes at once.
        if watching_ids and not self._heard_any:
            self._wanted_since = None
        self._heard_any = bool(watching_ids)
        if should_watch(
            self.own_id, domain_ids, watching_ids, is_watching=self.is_watching
        ):
            self._enough_since = None
            joined_at = self.started_at + JOIN_WAIT
            self._wanted_since = self._wanted_since or max(now, joined_at)
            wait = waiting_time(self.own_id, domain_ids, watching_ids)
            if now - self._wanted_since >= wait:
                self.is_watching = True
            return self.is_watching
        self._wanted_since = None
        self._enough_since = self._enough_since or now
        if now - self._enough_since >= STAND_DOWN_AFTER:
            self.is_watching = False
        return self.is_watching
