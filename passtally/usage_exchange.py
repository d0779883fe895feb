"""Tells the other hosts what this host uses of each service, and learns the totals.

Each host sends its use to the host of its failure domain that adds up, by datagram.
That host exchanges the sums with the other failure domains and sends the totals back.
Nobody waits for an answer: a host that gets no totals goes on with its own use.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.decision import log_event
from passtally.endpoint_speed import EndpointSpeeds, Pace
from passtally.messages import UsageReport, UsageSums, UsageTotals
from passtally.origin_keepers import MemberSource
from passtally.promises import Promises
from passtally.settings import Address, parse_address
from passtally.usage import ServiceUsage
from passtally.usage_collector import EXPIRE_AFTER, CollectorChoice, UsageCollector
from passtally.usage_rows import (
    from_pace_rows,
    from_promise_rows,
    from_rows,
    to_pace_rows,
    to_promise_rows,
    to_row,
)
from passtally.usage_table import UsageTable

#: Range of the interval between reports, and its part for each host of the failure
#: domain: the one that adds up gets some 60 reports a second, and 110 from 55 hosts.
#: Four datagrams have to be lost in a row until a host no longer counts.
MIN_INTERVAL = timedelta(milliseconds=100)
MAX_INTERVAL = timedelta(milliseconds=500)
INTERVAL_PER_HOST = timedelta(milliseconds=16)
#: Time for which a host that does not use a service any more still reports that, so
#: that it has the totals when its next request comes.
KEEP_REPORTING = timedelta(seconds=10)
#: Maximum number of paces in a message; all known ones are sent in turn.
MAX_PACES = 24
#: Maximum number of promises in a message, those that are due next.
MAX_PROMISES = 48
#: Number of intervals without totals after which the second collector is told too.
MISSED_INTERVALS = 2.5


class UsageExchange:
    """Exchanges the use of services with the other hosts.

    Args:
        members: The known hosts.
        datagrams: Sends and receives the messages.
        clock: The clock.
        table: Receives the totals.
        speeds: Receives the paces of endpoints, and has those that this host measured.
        promises: Receives what other hosts told refused callers, and has what this one
            told.
        usage_by_service: Returns the use of each shared service by this host.
        on_totals: Called when new totals have arrived.
    """

    def __init__(
        self,
        *,
        members: MemberSource,
        datagrams: Datagrams,
        clock: Clock,
        table: UsageTable,
        speeds: EndpointSpeeds,
        promises: Promises,
        usage_by_service: Callable[[], Mapping[str, ServiceUsage]],
        on_totals: Callable[[], None] = lambda: None,
    ) -> None:
        self._members = members
        self._datagrams = datagrams
        self._clock = clock
        self._table = table
        self._speeds = speeds
        self._promises = promises
        self._usage_by_service = usage_by_service
        self._on_totals = on_totals
        self._collector = UsageCollector()
        self._choice = CollectorChoice(members=members)
        #: Senders of reports, to whom totals are sent, and when each reported last.
        self._reported_at_by_address: dict[Address, timedelta] = {}
        self._used_at_by_service: dict[str, timedelta] = {}
        self._measured_at: timedelta | None = None
        self._totals_from = ""
        #: When the first collector of the own domain last sent totals.
        self._first_sent_at: timedelta | None = None
        datagrams.listen(UsageReport, self._receive_report)
        datagrams.listen(UsageSums, self._receive_sums)
        datagrams.listen(UsageTotals, self._receive_totals)

    async def run(self) -> None:
        """Send reports and, where this host adds up, sums and totals, forever."""
        while True:
            await self._clock.sleep(self.interval())
            self.send()

    def interval(self) -> timedelta:
        """Return the interval between two reports, by the size of the domain."""
        wanted = self._choice.count_local_hosts() * INTERVAL_PER_HOST
        return min(max(wanted, MIN_INTERVAL), MAX_INTERVAL)

    def send(self) -> None:
        """Send this host's report, and the sums and totals that it adds up."""
        now = self._clock.monotonic()
        usage = self._usage_to_report(now)
        paces = self._speeds.pop_own_samples()
        if paces:
            self._measured_at = now
        if usage or self._follows_paces(now):
            self._send_report(usage, paces)
        if self._reported_at_by_address:
            self._send_sums()

    def _follows_paces(self, now: timedelta) -> bool:
        """Return whether this host has used engines of late."""
        measured_at = self._measured_at
        return measured_at is not None and now - measured_at <= KEEP_REPORTING

    def _usage_to_report(self, now: timedelta) -> dict[str, ServiceUsage]:
        """Return the use of the services that are used now, or were of late."""
        usage_by_service = self._usage_by_service()
        for service, usage in usage_by_service.items():
            if usage.by_standing:
                self._used_at_by_service[service] = now
        self._used_at_by_service = {
            service: at
            for service, at in self._used_at_by_service.items()
            if now - at <= KEEP_REPORTING and service in usage_by_service
        }
        return {name: usage_by_service[name] for name in self._used_at_by_service}

    def _send_report(
        self, usage_by_service: Mapping[str, ServiceUsage], paces: Sequence[Pace]
    ) -> None:
        now = self._clock.monotonic()
        self._table.record_reported(usage_by_service)
        own_id = self._members.own.host_id
        collectors = self._choice.of_own_domain()
        if not self._is_late(now):
            collectors = collectors[:1]
        for row in collectors:
            if row.host_id == own_id:
                self._collector.record_report(own_id, usage_by_service, now=now)
                self._reported_at_by_address[parse_address(row.address)] = now
        rows = [to_row(service, usage) for service, usage in usage_by_service.items()]
        self._datagrams.send(
            [parse_address(row.address) for row in collectors if row.host_id != own_id],
            UsageReport(
                host_id=own_id,
                services=rows,
                paces=to_pace_rows(paces, now=now),
                promises=to_promise_rows(self._promises.pop_own(), now=now),
            ),
        )

    def _is_late(self, now: timedelta) -> bool:
        """Return whether the first collector has sent no totals for some intervals."""
        sent_at = self._first_sent_at
        return sent_at is None or now - sent_at > MISSED_INTERVALS * self.interval()

    def _send_sums(self) -> None:
        now = self._clock.monotonic()
        own = self._members.own
        sums = [
            to_row(service, usage)
            for service, usage in self._collector.own_sums(now).items()
        ]
        paces = to_pace_rows(self._speeds.next_paces(MAX_PACES, now=now), now=now)
        others = [parse_address(row.address) for row in self._choice.of_other_domains()]
        self._datagrams.send(
            others,
            UsageSums(
                host_id=own.host_id,
                failure_domain=own.failure_domain,
                services=sums,
                paces=paces,
            ),
        )
        totals = self._collector.totals(now)
        message = UsageTotals(
            host_id=own.host_id,
            services=[to_row(service, usage) for service, usage in totals.items()],
            paces=paces,
            promises=to_promise_rows(
                self._promises.next_due(MAX_PROMISES, now=now), now=now
            ),
        )
        self._reported_at_by_address = {
            address: at
            for address, at in self._reported_at_by_address.items()
            if now - at <= EXPIRE_AFTER
        }
        own_address = parse_address(own.address)
        if own_address in self._reported_at_by_address:
            self._apply_totals(own.host_id, totals)
        self._datagrams.send(
            [
                address
                for address in self._reported_at_by_address
                if address != own_address
            ],
            message,
        )

    def _receive_report(self, message: UsageReport, sender: Address) -> None:
        now = self._clock.monotonic()
        usage = from_rows(message.services)
        self._collector.record_report(message.host_id, usage, now=now)
        self._reported_at_by_address[sender] = now
        for pace in from_pace_rows(message.paces, now=now):
            self._speeds.record(pace)
        promises = from_promise_rows(message.promises, now=now)
        self._promises.merge(promises, now=now)

    def _receive_sums(self, message: UsageSums, sender: Address) -> None:
        if message.failure_domain == self._members.own.failure_domain:
            return
        now = self._clock.monotonic()
        self._collector.record_sums(
            message.host_id,
            message.failure_domain,
            from_rows(message.services),
            now=now,
        )
        self._speeds.merge(from_pace_rows(message.paces, now=now))

    def _receive_totals(self, message: UsageTotals, sender: Address) -> None:
        now = self._clock.monotonic()
        self._speeds.merge(from_pace_rows(message.paces, now=now))
        promises = from_promise_rows(message.promises, now=now)
        self._promises.merge(promises, now=now)
        self._apply_totals(message.host_id, from_rows(message.services))

    def _apply_totals(
        self, host_id: str, usage_by_service: Mapping[str, ServiceUsage]
    ) -> None:
        collectors = self._choice.of_own_domain()
        is_first = bool(collectors) and collectors[0].host_id == host_id
        now = self._clock.monotonic()
        if is_first:
            self._first_sent_at = now
        elif not self._is_late(now):
            # The second collector may know only some hosts.
            return
        if host_id != self._totals_from:
            self._totals_from = host_id
            log_event("usage", "Totals come from another host.", peer=host_id)
        self._table.record_totals(usage_by_service, now=now)
        self._on_totals()
