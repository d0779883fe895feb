"""This host's part of a room that all hosts share."""

from datetime import timedelta

import attrs
import pytest

from passtally.admission import AdmissionLimits, AdmissionQueue, Verdict
from passtally.admission_request import (
    AdmissionRequest,
    Claimant,
    RequestClass,
    Standing,
)
from passtally.objects import EndpointState
from passtally.priority import Priority
from passtally.room import (
    MAX_RESERVE_SHARE,
    MIN_SHARE,
    SharedRoom,
    Totals,
)
from passtally.routing import EndpointView
from passtally.shared_rooms import (
    MEMORY_SHARE,
    REQUESTS_PER_SLOT,
    ROUNDING_PERIOD,
    count_room,
    rounding_of,
)
from passtally.usage import NO_USAGE, ServiceUsage, Use

URGENT = Standing(priority=Priority(rank=0))
ROUTINE = Standing(priority=Priority(rank=2))
NOW = timedelta(0)


def make_usage(
    *,
    urgent: Use | None = None,
    routine: Use | None = None,
    released: float = 0,
    **by_workspace: Use,
) -> ServiceUsage:
    """Return the use of a service; workspaces have routine requests."""
    by_standing = {URGENT: urgent, ROUTINE: routine}
    return ServiceUsage(
        hosts=1,
        by_standing={name: use for name, use in by_standing.items() if use},
        by_claimant={
            Claimant(standing=ROUTINE, workspace=name): use
            for name, use in by_workspace.items()
        },
        released=released,
    )


def make_flood(*, waiting: float) -> ServiceUsage:
    """Return the use of routine requests of one workspace that fill a room of 10."""
    use = Use(held=10, waiting=waiting)
    return make_usage(routine=use, released=10, w=use)


def make_request(
    standing=ROUTINE, workspace="w", size=1.0, returning=False, timeout=None
):
    return AdmissionRequest(
        id="r",
        workspace=workspace,
        share=1,
        request_class=RequestClass.INTERACTIVE,
        priority=standing.priority,
        size=size,
        is_returning=returning,
        timeout=timeout,
    )


def make_room(
    usage: ServiceUsage,
    *,
    room: float = 10,
    reported: ServiceUsage = NO_USAGE,
    peak: float = 0,
    rounding: float = 0.0,
    typical_size: float = 1.0,
) -> SharedRoom:
    return SharedRoom(
        totals=Totals(usage=usage, room=room, peak_by_priority={URGENT.priority: peak}),
        reported=reported,
        rounding_of=lambda workspace: rounding,
        typical_size=typical_size,
    )


def holding(amount: float, workspace: str = "w") -> ServiceUsage:
    """Return the use of a host that holds routine requests of one workspace."""
    return make_usage(routine=Use(held=amount), **{workspace: Use(held=amount)})


class TestRoutineFlood:
    """Many routine requests, and few urgent ones with a short target."""

    FLOOD = make_usage(
        routine=Use(held=9, waiting=30), w=Use(held=9, waiting=30), urgent=Use(held=1)
    )

    # Guards against an urgent request that is refused since routine ones wait.
    def test_an_urgent_request_fits_at_once(self):
        room = make_room(self.FLOOD)
        assert room.fits(make_request(URGENT), holding(3))

    def test_a_routine_request_does_not_fit_beyond_the_part_of_its_host(self):
        room = make_room(self.FLOOD, reported=holding(3), rounding=0.99)
        part = room.part(Claimant(standing=ROUTINE, workspace="w"))
        assert part == pytest.approx(9 * 3 / 39)
        assert not room.fits(make_request(), holding(3))

    # Guards against an urgent request that finds all room taken when it comes.
    def test_room_stays_free_for_the_recent_peak_of_urgent_requests(self):
        totals = Totals(
            usage=self.FLOOD, room=10, peak_by_priority={URGENT.priority: 4}
        )
        assert totals.left_for(ROUTINE) == 6

    def test_a_peak_reserves_a_part_of_the_room_at_the_most(self):
        totals = Totals(
            usage=self.FLOOD, room=10, peak_by_priority={URGENT.priority: 40}
        )
        assert totals.left_for(ROUTINE) == 10 - MAX_RESERVE_SHARE * 10

    def test_nothing_is_reserved_where_no_urgent_requests_come(self):
        usage = make_usage(routine=Use(held=9, waiting=30))
        assert Totals(usage=usage, room=10).left_for(ROUTINE) == 10


class TestUrgentFlood:
    # Guards against routine requests that are starved by urgent ones.
    def test_routine_requests_keep_a_minimum(self):
        usage = make_usage(urgent=Use(held=10, waiting=50), routine=Use(waiting=5))
        totals = Totals(usage=usage, room=10)
        assert totals.left_for(ROUTINE) == MIN_SHARE * 10
        assert totals.left_for(URGENT) == 10 - MIN_SHARE * 10


class TestManyHosts:
    """80 hosts whose parts of the room are a fraction of a request each."""

    HOSTS = 80

    def admitted(self, *, room: float, period: int = 0) -> int:
        """Return how many requests all hosts admit of one that waits at each."""
        now = period * ROUNDING_PERIOD
        all_waiting, one = Use(waiting=self.HOSTS), Use(waiting=1)
        usage = make_usage(routine=all_waiting, w=all_waiting)
        own = make_usage(routine=one, w=one)
        return sum(
            make_room(
                usage,
                room=room,
                reported=own,
                rounding=rounding_of(f"host-{number}", "w", now=now),
            ).fits(make_request(), own)
            for number in range(self.HOSTS)
        )

    # Guards against hosts that all admit into the same free room, or none does.
    @pytest.mark.parametrize("room", [8, 24, 60])
    def test_all_together_admit_what_there_is_room_for(self, room):
        admitted = [self.admitted(room=room, period=number) for number in range(20)]
        assert sum(admitted) / len(admitted) == pytest.approx(room, rel=0.1)
        assert max(admitted) <= room + 4 * room**0.5

    # Guards against a host that is rounded down for ever.
    def test_each_host_is_rounded_up_at_times(self):
        for number in range(self.HOSTS):
            values = [
                rounding_of(f"host-{number}", "w", now=period * ROUNDING_PERIOD)
                for period in range(40)
            ]
            assert max(values) > 0.8 and min(values) < 0.2


class TestFloodingWorkspace:
    """One workspace floods, another one wants a tenth of the room."""

    USAGE = make_usage(
        routine=Use(held=10, waiting=30),
        flood=Use(held=9.5, waiting=29.5),
        small=Use(held=0.5, waiting=0.5),
        released=10,
    )

    def test_the_flood_is_cut_at_the_level_and_the_small_one_is_not(self):
        own = holding(5, "flood")
        room = make_room(self.USAGE, room=10, reported=own)
        assert room.level(ROUTINE) == pytest.approx(9)
        assert room.fits(make_request(workspace="small"), own)
        assert not room.fits(make_request(workspace="flood"), own)

    # Guards against a workspace that gets more room from hosts that it spreads over.
    def test_the_flood_gets_its_share_however_it_is_spread_over_hosts(self):
        for hosts in (1, 4, 20):
            own = make_usage(
                routine=Use(), flood=Use(held=9.5 / hosts, waiting=29.5 / hosts)
            )
            room = make_room(self.USAGE, room=10, reported=own)
            part = room.part(Claimant(standing=ROUTINE, workspace="flood"))
            assert part * hosts == pytest.approx(9)

    # Guards against a small workspace that waits behind all requests of a flood.
    def test_the_small_one_does_not_wait_for_the_flood(self):
        room = make_room(self.USAGE, room=10)
        small = room.expected_wait(make_request(workspace="small"))
        flood = room.expected_wait(make_request(workspace="flood"))
        assert small < timedelta(seconds=0.5) < timedelta(seconds=2) < flood

    # Guards against capacity that is left unused while only one workspace wants it.
    def test_a_workspace_alone_may_use_all_room(self):
        usage = make_usage(routine=Use(held=4, waiting=3), flood=Use(held=4, waiting=3))
        assert make_room(usage).level(ROUTINE) is None


class TestReturningCaller:
    """Callers that were refused, and come back among many new ones."""

    RETURNING = ROUTINE.on_return

    def usage(self, *, held: float = 6) -> ServiceUsage:
        return ServiceUsage(
            hosts=1,
            by_standing={
                ROUTINE: Use(held=held, waiting=30),
                self.RETURNING: Use(waiting=3),
            },
            by_claimant={
                Claimant(standing=ROUTINE, workspace="w"): Use(held=held, waiting=30),
                Claimant(standing=self.RETURNING, workspace="w"): Use(waiting=3),
            },
            released=10,
        )

    # Guards against a caller that was told to return and finds new ones before it.
    def test_it_goes_before_new_ones(self):
        room = make_room(self.usage(), reported=holding(2))
        returning = make_request(returning=True)
        assert room.fits(returning, holding(2))
        assert not room.fits(make_request(), holding(2))
        assert room.expected_wait(returning) < room.expected_wait(make_request())

    # Guards against more requests than there is room for, since those that have begun
    # before do not give way to the returning ones.
    def test_it_does_not_get_the_room_that_new_ones_hold_already(self):
        totals = Totals(usage=self.usage(held=9), room=10)
        assert totals.left_for(self.RETURNING) == 1
        assert totals.left_for(ROUTINE) == 7

    # Guards against callers that are all told to return when the first ones do.
    def test_later_ones_are_told_to_return_after_those_before_them(self):
        usage = make_usage(
            routine=Use(held=10, waiting=10), released=10, w=Use(held=10, waiting=10)
        )
        queue, room = AdmissionQueue(limits=AdmissionLimits()), make_room(usage)
        queue.retry_after(make_request(), room, now=NOW)
        promised = queue.usage(NOW)
        assert promised.of_standing(self.RETURNING).promised == 1
        later = attrs.evolve(
            usage,
            by_standing=dict(usage.by_standing) | {self.RETURNING: Use(promised=20)},
        )
        request = make_request()
        difference = make_room(later).return_time(request) - room.return_time(request)
        assert difference == timedelta(seconds=2)


class TestLargeRequests:
    # Guards against large prompts that are never admitted beside small ones.
    def test_they_are_admitted_like_small_ones(self):
        usage = make_usage(
            routine=Use(held=100, waiting=100), w=Use(held=100, waiting=100)
        )
        room = make_room(
            usage, room=100, reported=holding(10), rounding=0.9, typical_size=5
        )
        for size in (1, 5, 20):
            assert room.fits(make_request(size=size), holding(4))
            assert not room.fits(make_request(size=size), holding(5))


class TestQueueOfASharedRoom:
    def make_queue(self) -> AdmissionQueue:
        return AdmissionQueue(limits=AdmissionLimits())

    # Guards against a request that is held although it can't begin in time.
    def test_what_can_not_begin_in_time_is_refused_with_a_time_to_return(self):
        usage = make_usage(
            routine=Use(held=10, waiting=30), released=10, w=Use(held=10, waiting=30)
        )
        room = make_room(usage)
        request = make_request(timeout=timedelta(seconds=1))
        decision, _ = self.make_queue().submit(request, room=room, now=NOW)
        assert decision.verdict is Verdict.REFUSE
        wait = room.expected_wait(request)
        assert wait <= decision.retry_after <= 1.5 * wait

    # Guards against callers that were refused together and come back together.
    def test_returning_callers_are_spread(self):
        usage = make_usage(
            routine=Use(held=10, waiting=30), released=10, w=Use(held=10, waiting=30)
        )
        queue, room = self.make_queue(), make_room(usage)
        request = make_request(timeout=timedelta(0))
        times = {
            queue.submit(request, room=room, now=NOW)[0].retry_after for _ in range(20)
        }
        assert len(times) == 20

    # Guards against a caller that gets more room by repeating refused requests.
    def test_repeats_of_a_refused_request_do_not_increase_demand(self):
        usage = make_usage(
            routine=Use(held=10, waiting=30), released=10, w=Use(held=10, waiting=30)
        )
        queue, room = self.make_queue(), make_room(usage)
        for _ in range(50):
            queue.submit(make_request(timeout=NOW), room=room, now=NOW)
        assert queue.usage(NOW).of_standing(ROUTINE).refused == 1
        assert queue.usage(timedelta(seconds=2)).of_standing(ROUTINE).refused == 0


class TestCountRoom:
    def view(self, **fields) -> EndpointView:
        defaults = {
            "id": "e",
            "failure_domain": "d",
            "state": EndpointState.ACTIVE,
            "own_streams": 0,
            "reported_streams": 0,
            "own_at_report": 0,
            "max_streams": 32,
            "capacity_tokens": 50_000,
        }
        return EndpointView(**(defaults | fields))

    def count(self, *views: EndpointView, typical_size: float = 6_000) -> float:
        return count_room(views, typical_size=typical_size, now=NOW)

    def test_it_is_the_memory_of_the_usable_endpoints(self):
        unusable = (
            self.view(state=EndpointState.DRAINING),
            self.view(accepts_requests=False),
            self.view(ejected_until=timedelta(seconds=1)),
        )
        room = self.count(self.view(), self.view(), *unusable)
        assert room == MEMORY_SHARE * 100_000

    def test_it_is_bounded_by_the_slots(self):
        room = self.count(self.view(max_streams=4), typical_size=500)
        assert room == REQUESTS_PER_SLOT * 4 * 500

    def test_an_endpoint_without_known_memory_counts_its_slots(self):
        room = self.count(self.view(capacity_tokens=0), typical_size=1)
        assert room == REQUESTS_PER_SLOT * 32
