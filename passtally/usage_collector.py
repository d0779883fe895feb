"""Adds up what the hosts of a failure domain use, for all that ask. Pure.

Each failure domain has a host that adds up, and a second one for its loss. Every host
computes both from the membership, so nobody is elected. All state is soft: reports
replace each other and expire.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

import attrs

from passtally.host_ring import HostRing
from passtally.messages import MemberRow
from passtally.origin_keepers import MemberSource
from passtally.usage import ServiceUsage, add_up

#: Time after which a report or a sum no longer counts: its sender may be dead or cut
#: off. Reports come several times a second.
EXPIRE_AFTER = timedelta(seconds=2)
#: Number of hosts of a failure domain that may add up, in the order of their use.
COLLECTORS = 2
#: Number of workspaces for which totals are told, the largest ones of each service.
MAX_CLAIMANTS = 48
#: Key of the collectors on the ring of a failure domain.
_RING_KEY = b"usage"


@attrs.frozen(kw_only=True)
class _Report:
    failure_domain: str
    usage_by_service: Mapping[str, ServiceUsage]
    hosts: int
    received_at: timedelta

    def is_fresh(self, now: timedelta) -> bool:
        return now - self.received_at <= EXPIRE_AFTER


class UsageCollector:
    """The reports of the hosts of this failure domain, and the sums of the others."""

    def __init__(self) -> None:
        self._reports_by_host: dict[str, _Report] = {}
        self._sums_by_collector: dict[str, _Report] = {}

    def record_report(
        self,
        host_id: str,
        usage_by_service: Mapping[str, ServiceUsage],
        *,
        now: timedelta,
    ) -> None:
        """Replace what one host of this failure domain uses."""
        self._reports_by_host[host_id] = _Report(
            failure_domain="",
            usage_by_service=usage_by_service,
            hosts=1,
            received_at=now,
        )

    def record_sums(
        self,
        collector_id: str,
        failure_domain: str,
        usage_by_service: Mapping[str, ServiceUsage],
        *,
        now: timedelta,
    ) -> None:
        """Replace what another failure domain uses, as one of its hosts adds it up."""
        hosts = max((usage.hosts for usage in usage_by_service.values()), default=0)
        self._sums_by_collector[collector_id] = _Report(
            failure_domain=failure_domain,
            usage_by_service=usage_by_service,
            hosts=hosts,
            received_at=now,
        )

    def own_sums(self, now: timedelta) -> dict[str, ServiceUsage]:
        """Return the use of each service by the hosts of this failure domain."""
        self._drop_expired(now)
        return _add_up_services(
            report.usage_by_service for report in self._reports_by_host.values()
        )

    def totals(self, now: timedelta) -> dict[str, ServiceUsage]:
        """Return the use of each service by the hosts of all failure domains."""
        own = self.own_sums(now)
        sums = [report.usage_by_service for report in self._sums_of_others()]
        return _add_up_services([own, *sums])

    def _sums_of_others(self) -> Iterable[_Report]:
        """Return the sums of each other failure domain.

        If both of its collectors get reports, the one that knows more hosts counts.
        """
        by_domain: dict[str, _Report] = {}
        for report in self._sums_by_collector.values():
            known = by_domain.get(report.failure_domain)
            if known is None or report.hosts > known.hosts:
                by_domain[report.failure_domain] = report
        return by_domain.values()

    def _drop_expired(self, now: timedelta) -> None:
        self._reports_by_host = _fresh(self._reports_by_host, now)
        self._sums_by_collector = _fresh(self._sums_by_collector, now)


class CollectorChoice:
    """Chooses the collectors of each failure domain by the membership alone.

    Args:
        members: The known hosts.
    """

    def __init__(self, *, members: MemberSource) -> None:
        self._members = members
        self._revision: int | None = None
        self._rows_by_domain: dict[str, list[MemberRow]] = {}

    def of_own_domain(self) -> list[MemberRow]:
        """Return the collectors of this failure domain, the first one first."""
        return self._collectors().get(self._members.own.failure_domain, [])

    def of_other_domains(self) -> list[MemberRow]:
        """Return the collectors of the other failure domains."""
        own = self._members.own.failure_domain
        return [
            row
            for domain, rows in self._collectors().items()
            if domain != own
            for row in rows
        ]

    def count_local_hosts(self) -> int:
        """Return the number of hosts of this failure domain, this one included."""
        own = self._members.own.failure_domain
        others = self._members.others()
        return 1 + sum(row.failure_domain == own for row in others)

    def _collectors(self) -> dict[str, list[MemberRow]]:
        if self._members.revision != self._revision:
            self._revision = self._members.revision
            rows_by_domain: dict[str, list[MemberRow]] = {}
            for row in (self._members.own, *self._members.others()):
                if row.address:
                    rows_by_domain.setdefault(row.failure_domain, []).append(row)
            self._rows_by_domain = {
                domain: HostRing(rows).list_hosts(_RING_KEY, COLLECTORS)
                for domain, rows in rows_by_domain.items()
            }
        return self._rows_by_domain


def _fresh(reports: Mapping[str, _Report], now: timedelta) -> dict[str, _Report]:
    return {name: report for name, report in reports.items() if report.is_fresh(now)}


def _add_up_services(
    parts: Iterable[Mapping[str, ServiceUsage]],
) -> dict[str, ServiceUsage]:
    usages_by_service: dict[str, list[ServiceUsage]] = {}
    for usage_by_service in parts:
        for service, usage in usage_by_service.items():
            usages_by_service.setdefault(service, []).append(usage)
    return {
        service: add_up(usages, max_claimants=MAX_CLAIMANTS)
        for service, usages in usages_by_service.items()
    }
