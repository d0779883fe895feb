"""The losses of endpoints, as this host and others find them."""

from collections.abc import Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.domain_losses import DomainLosses
from passtally.live_endpoint import LiveEndpoint
from passtally.objects import Endpoint, EndpointStart, EndpointState
from passtally.return_times import ReturnTimes
from passtally.service_index import ServiceIndex


class EndpointLosses:
    """Records which endpoints are lost, have exited, or have come back.

    Args:
        catalog: The configuration in force.
        clock: The clock.
        find: Returns the live state of an endpoint.
        is_cut_off: Returns whether this host reaches no endpoint, so that what it fails
            to reach says nothing about an endpoint.
        on_unreachable: Called when an endpoint was found unreachable.
        on_successor: Called with an endpoint that has exited and the id of the one
            that has its address now.
        on_exit: Called with each start of an engine that was found to have exited.

    Attributes:
        domain_losses: The losses by failure domain.
        return_times: The times from losses to returns.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        clock: Clock,
        find: Callable[[str], LiveEndpoint | None],
        is_cut_off: Callable[[], bool],
        on_unreachable: Callable[[], None],
        on_successor: Callable[[Endpoint, str], None],
        on_exit: Callable[[EndpointStart], None],
    ) -> None:
        self.domain_losses = DomainLosses()
        self.return_times = ReturnTimes()
        self._catalog = catalog
        self._clock = clock
        self._find = find
        self._is_cut_off = is_cut_off
        self._on_unreachable = on_unreachable
        self._on_successor = on_successor
        self._on_exit = on_exit
        #: Starts that were found unreachable and that other hosts are not told of yet.
        self._unreported: set[EndpointStart] = set()

    def record(self, live: LiveEndpoint, *, is_endpoint_unreachable: bool) -> None:
        """Record the loss of a run, since its whole failure domain may be failing.

        Args:
            live: The endpoint of the run.
            is_endpoint_unreachable: Whether the endpoint itself is unreachable, which
                other hosts are then notified of.
        """
        endpoint, now = live.endpoint, self._clock.monotonic()
        self.domain_losses.record(endpoint.failure_domain, endpoint.id, now=now)
        if is_endpoint_unreachable and not self._is_cut_off():
            self.return_times.record_lost(endpoint.service, endpoint.url, now=now)
            self._unreported.add(endpoint.start)
            self._on_unreachable()

    def record_present(self, live: LiveEndpoint) -> None:
        """Record that an endpoint has registered, or has sent output."""
        now, endpoint = self._clock.monotonic(), live.endpoint
        self.return_times.record_present(endpoint.service, endpoint.url, now=now)

    def record_back(self, live: LiveEndpoint) -> None:
        """Record that an endpoint that was lost answers again under its id."""
        live.record_answer(self._clock.monotonic())
        self.record_present(live)

    def list_recent(
        self, *, within: timedelta, after: timedelta = timedelta(0)
    ) -> list[LiveEndpoint]:
        """Return the endpoints that were lost of late and have no known successor.

        Args:
            within: The maximum time since the loss.
            after: The minimum time since the loss.
        """
        now = self._clock.monotonic()
        lives = [self._find(name) for name in self._catalog.endpoints_by_id]
        return [
            live
            for live in lives
            if live.state is EndpointState.ACTIVE
            and self.return_times.is_lost(
                live.endpoint.url, since=now - within, until=now - after
            )
        ]

    def is_serving(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint is registered and active.

        One that is leaving or no longer registered may exit as planned.
        """
        is_known = live.endpoint.id in self._catalog.endpoints_by_id
        return is_known and live.state is EndpointState.ACTIVE

    def record_exit(self, live: LiveEndpoint) -> None:
        """Record that an engine has exited, and tell all hosts."""
        live.has_exited = True
        self._on_exit(live.endpoint.start)

    def record_end(self, live: LiveEndpoint) -> None:
        """Eject an endpoint that has certainly exited, and notify other hosts."""
        live.has_exited = True
        live.eject(self._clock.monotonic())
        self.record(live, is_endpoint_unreachable=True)

    def record_reported(self, start: EndpointStart) -> None:
        """Eject an endpoint that a peer reports as unreachable.

        Not while this host has open requests there, which are better evidence than the
        report, and not if the endpoint has restarted since.
        """
        endpoint_id = start.endpoint_id
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None or start.precedes(endpoint.start):
            return
        live = self._find(endpoint_id)
        now = self._clock.monotonic()
        self.domain_losses.record(endpoint.failure_domain, endpoint_id, now=now)
        if not live.own_streams and not live.is_ejected:
            self.return_times.record_lost(endpoint.service, endpoint.url, now=now)
            live.eject(now)
            answered_at = live.answered_at
            log_event(
                "endpoints",
                "Peer reports endpoint unreachable.",
                peer=endpoint_id,
                answered_ago=None if answered_at is None else now - answered_at,
            )

    def record_replaced(self, live: LiveEndpoint, successor_id: str) -> None:
        """Record that an endpoint has exited, and which one has its address now.

        Args:
            live: The endpoint that has exited.
            successor_id: The id of the endpoint at its address; empty if unknown.
        """
        live.record_ended()
        if successor_id and successor_id not in self._catalog.endpoints_by_id:
            self._on_successor(live.endpoint, successor_id)

    def pop_unreported(self) -> list[EndpointStart]:
        """Return the starts of endpoints found unreachable since the last call."""
        losses, self._unreported = self._unreported, set()
        return sorted(losses, key=lambda start: start.endpoint_id)
