"""Translates uses, paces and promises to and from the rows of messages."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

from passtally.admission_request import Claimant, Standing
from passtally.endpoint_speed import Pace
from passtally.messages import PaceRow, PromiseRow, ServiceUsageRow, UseRow
from passtally.priority import Priority
from passtally.promises import Promise
from passtally.usage import ServiceUsage, Use


def to_row(service: str, usage: ServiceUsage) -> ServiceUsageRow:
    """Return the row of one service's use; fractions of a unit are dropped."""
    return ServiceUsageRow(
        service=service,
        hosts=usage.hosts,
        standings=[
            _to_use_row(standing, use) for standing, use in usage.by_standing.items()
        ],
        claimants=[
            _to_use_row(claimant.standing, use, workspace=claimant.workspace)
            for claimant, use in usage.by_claimant.items()
        ],
        released=int(usage.released),
    )


def from_row(row: ServiceUsageRow) -> ServiceUsage:
    """Return the use of a service in a row."""
    return ServiceUsage(
        hosts=row.hosts,
        by_standing={_standing_of(use): _from_use_row(use) for use in row.standings},
        by_claimant={
            Claimant(
                standing=_standing_of(use), workspace=use.workspace
            ): _from_use_row(use)
            for use in row.claimants
        },
        released=row.released,
    )


def from_rows(rows: Sequence[ServiceUsageRow]) -> dict[str, ServiceUsage]:
    """Return the use of each service in a message."""
    return {row.service: from_row(row) for row in rows}


def to_pace_rows(paces: Iterable[Pace], *, now: timedelta) -> list[PaceRow]:
    """Return the rows of some paces, with their ages instead of times."""
    return [
        PaceRow(
            service=pace.service,
            address=pace.address,
            gap_us=pace.gap // timedelta(microseconds=1),
            age_ms=(now - pace.measured_at) // timedelta(milliseconds=1),
        )
        for pace in paces
    ]


def from_pace_rows(rows: Iterable[PaceRow], *, now: timedelta) -> list[Pace]:
    """Return the paces in some rows, as of the time at which they were received."""
    return [
        Pace(
            service=row.service,
            address=row.address,
            gap=timedelta(microseconds=row.gap_us),
            measured_at=now - timedelta(milliseconds=row.age_ms),
        )
        for row in rows
    ]


def to_promise_rows(promises: Iterable[Promise], *, now: timedelta) -> list[PromiseRow]:
    """Return the rows of some promises, with the times that are left."""
    return [
        PromiseRow(
            fingerprint=promise.fingerprint,
            due_ms=(promise.due_at - now) // timedelta(milliseconds=1),
        )
        for promise in promises
    ]


def from_promise_rows(rows: Iterable[PromiseRow], *, now: timedelta) -> list[Promise]:
    """Return the promises in some rows, as of the time at which they were received."""
    return [
        Promise(
            fingerprint=row.fingerprint,
            due_at=now + timedelta(milliseconds=row.due_ms),
        )
        for row in rows
    ]


def _to_use_row(standing: Standing, use: Use, *, workspace: str = "") -> UseRow:
    return UseRow(
        rank=standing.priority.rank,
        route_rank=standing.priority.route_rank,
        is_new=standing.is_new,
        held=int(use.held),
        waiting=int(use.waiting),
        refused=int(use.refused),
        promised=int(use.promised),
        workspace=workspace,
    )


def _standing_of(row: UseRow) -> Standing:
    priority = Priority(rank=row.rank, route_rank=row.route_rank)
    return Standing(priority=priority, is_new=row.is_new)


def _from_use_row(row: UseRow) -> Use:
    return Use(
        held=row.held,
        waiting=row.waiting,
        refused=row.refused,
        promised=row.promised,
    )
