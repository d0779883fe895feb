"""What a host knows of its own links to endpoints. Pure.

A link is down while this host can't connect to an endpoint. It is bypassed if another
host reaches the endpoint meanwhile, which shows that the link failed and not the
endpoint.
"""

from datetime import timedelta

import attrs

from passtally.settings import Address

#: Time until a link that is down is tried again, after the first and after further
#: failures in a row. A link that comes back is thus used after a second at most.
FIRST_RETRY = timedelta(milliseconds=250)
MAX_RETRY = timedelta(seconds=1)
#: Time for which a link must stay up before its next failure counts as a first one, so
#: that a link that goes up and down each second is not tried by each request.
STABLE_TIME = timedelta(seconds=5)
#: Number of links that must be down, with no other one up, for this host to count as
#: cut off. A single link that is down may be the endpoint's fault.
MIN_CUT_LINKS = 2
#: Time after the last contact for which a link shows that it is up.
RECENT_TIME = timedelta(seconds=10)


@attrs.define(kw_only=True)
class Link:
    """This host's link to one endpoint.

    Attributes:
        contact_at: When the endpoint last accepted a direct connection or sent data on
            one; None before that.
        down_since: When a direct connection failed first; None while the link is up.
        is_silent: Whether the connection was not refused but not established in time,
            so that open connections may be silent too.
        is_bypassed: Whether another host reached the endpoint while the link was down.
    """

    contact_at: timedelta | None = None
    down_since: timedelta | None = None
    is_silent: bool = False
    is_bypassed: bool = False
    _retry_at: timedelta = timedelta(0)
    _retry_delay: timedelta = FIRST_RETRY
    _up_since: timedelta = timedelta(0)

    @property
    def is_up(self) -> bool:
        """Whether no direct connection has failed since the last contact."""
        return self.down_since is None

    def is_recent(self, now: timedelta) -> bool:
        """Return whether the last contact is recent."""
        return self.contact_at is not None and now - self.contact_at < RECENT_TIME

    def record_contact(self, now: timedelta) -> None:
        """Record that a direct connection was accepted."""
        self.contact_at = now
        if self.down_since is not None:
            self._up_since = now
        self.down_since = None
        self.is_silent = self.is_bypassed = False

    def record_failure(self, now: timedelta, *, is_silent: bool) -> None:
        """Record that a direct connection was refused or not established in time."""
        if self.down_since is None:
            self.down_since = now
            if now - self._up_since > STABLE_TIME:
                self._retry_delay = FIRST_RETRY
        self.is_silent = self.is_silent or is_silent
        self._retry_at = now + self._retry_delay
        self._retry_delay = min(2 * self._retry_delay, MAX_RETRY)

    def acquire_retry(self, now: timedelta) -> bool:
        """Return whether to try a link that is down; one request at a time does."""
        if now < self._retry_at:
            return False
        self._retry_at = now + self._retry_delay
        return True


class LinkTable:
    """The links of this host to all endpoints."""

    def __init__(self) -> None:
        self._links_by_address: dict[Address, Link] = {}

    def find(self, address: Address) -> Link:
        """Return the link to an endpoint's address."""
        return self._links_by_address.setdefault(address, Link())

    def record_data(self, address: Address, now: timedelta) -> None:
        """Record that data arrived on a direct connection.

        Open connections may go on while new ones are refused, so the link may still be
        down.
        """
        self.find(address).contact_at = now

    def record_contact(self, address: Address, now: timedelta) -> None:
        """Record that an endpoint accepted a direct connection."""
        self.find(address).record_contact(now)

    def forget(self, address: Address) -> None:
        """Remove the link to an address at which another endpoint has started."""
        self._links_by_address.pop(address, None)

    def list_down(self) -> list[Address]:
        """Return the addresses whose links are down."""
        return [
            address
            for address, link in self._links_by_address.items()
            if not link.is_up
        ]

    def is_cut_off(self, now: timedelta) -> bool:
        """Return whether this host reaches no endpoint directly.

        The cause is then most likely this host's own, and what it fails to reach says
        nothing about an endpoint.
        """
        links = self._links_by_address.values()
        is_any_up = any(link.is_up and link.is_recent(now) for link in links)
        return not is_any_up and len(self.list_down()) >= MIN_CUT_LINKS
