"""Replicas of runs: their placement and renewal, and failover to them.

Also covers the placement of runs by KV memory and prefill backlog, and the resume of
answers whose entry host was lost.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passtally.domain_losses import WIDESPREAD_LOSSES
from passtally.forecast import MIN_SAMPLES
from passtally.loss_handler import REPLICA_START_TIME
from passtally.messages import DepartureRow, TokenLoad
from passtally.objects import EndpointState
from passtally.outcome import Outcome, RefusedError
from passtally.retry import (
    Holder,
    LossKind,
    NextStep,
    RetryLimits,
    decide_after_loss,
)
from passtally.routing import (
    EndpointView,
    RouteQuery,
    choose_endpoint,
    choose_replica,
)
from standins.virtual import run_virtually
from tests.replica_world import (
    TARGET,
    WHOLE,
    ReplicaEngine,
    World,
)

NOW = timedelta(0)


def view(name: str, domain: str = "pilar", **fields) -> EndpointView:
    defaults = {
        "state": EndpointState.ACTIVE,
        "own_streams": 0,
        "reported_streams": 0,
        "own_at_report": 0,
        "max_streams": 64,
        "capacity_tokens": 55_000,
    }
    return EndpointView(id=name, failure_domain=domain, **(defaults | fields))


QUERY = RouteQuery(affinity=b"p", failure_domain="pilar", tokens=5_700)


class TestChooseEndpoint:
    def choose(self, *views: EndpointView, query: RouteQuery = QUERY) -> str | None:
        return choose_endpoint(query, views, now=NOW).endpoint_id

    def test_a_prompt_goes_to_the_lowest_prefill_backlog(self):
        busy = view("a", prefill_tokens=5_000)
        assert self.choose(busy, view("b", kv_tokens=9_000)) == "b"

    def test_running_streams_add_cost_and_replicas_do_not(self):
        replica_view = view("a", kv_tokens=40_000)
        runner = view("b", kv_tokens=10_000, running_streams=1)
        query = attrs.evolve(QUERY, prompt_tokens=5_000)
        assert self.choose(replica_view, runner, query=query) == "a"

    def test_stalling_many_streams_costs_more_than_queueing_behind_one(self):
        crowded = view("a", running_streams=3)
        reading = view("b", prefill_tokens=5_000)
        query = attrs.evolve(QUERY, prompt_tokens=5_000)
        assert self.choose(crowded, reading, query=query) == "b"

    def test_prompts_in_prefill_count_as_streams_to_be_stalled(self):
        running = view("a", running_streams=1)
        reading = view("b", prefill_tokens=3_000)
        query = attrs.evolve(QUERY, prompt_tokens=5_000)
        assert self.choose(running, reading, query=query) == "a"

    def test_the_local_domain_is_preferred_among_equal_endpoints(self):
        assert self.choose(view("a", "tigre"), view("b")) == "b"

    def test_another_domain_is_used_while_the_local_one_is_in_prefill(self):
        assert self.choose(view("a", "tigre"), view("b", prefill_tokens=5_000)) == "a"

    def test_an_endpoint_with_full_kv_memory_is_avoided(self):
        full = view("b", kv_tokens=52_000)
        assert self.choose(view("a", "tigre", kv_tokens=30_000), full) == "a"

    def test_a_small_kv_overflow_costs_less_than_a_long_queue(self):
        full = view("b", kv_tokens=52_000, running_streams=3)
        waiting = view("a", prefill_tokens=28_000, running_streams=1)
        query = attrs.evolve(QUERY, prompt_tokens=5_000)
        assert self.choose(waiting, full, query=query) == "b"

    def test_an_unstable_endpoint_is_avoided_while_another_is_stable(self):
        assert self.choose(view("a", "tigre"), view("b", is_unstable=True)) == "a"
        assert self.choose(view("b", is_unstable=True)) == "b"

    def test_a_half_open_endpoint_gets_no_second_request(self):
        assert self.choose(view("a", is_half_open=True)) is None

    def test_prompts_are_spread_over_equal_endpoints(self):
        views = [view(name) for name in "abcd"]
        chosen = {
            self.choose(
                *views, query=RouteQuery(affinity=bytes([n]), failure_domain="pilar")
            )
            for n in range(40)
        }
        assert chosen == set("abcd")


class TestChooseReplica:
    def place(self, primary: str, *views: EndpointView) -> str:
        return choose_replica(primary, QUERY, views, now=NOW)

    def test_another_failure_domain_is_preferred(self):
        assert self.place("a", view("a"), view("b"), view("c", "tigre")) == "c"

    def test_a_run_in_another_domain_has_its_replica_in_the_hosts_domain(self):
        """Guards against a partition that cuts the host off from both copies.

        With the run in one domain and its replica in the host's, the host reaches at
        least one of them.
        """
        views = [
            view("a", "tigre"),
            view("b", "escobar"),
            view("c", kv_tokens=20_000),
        ]
        assert self.place("a", *views) == "c"

    def test_a_busy_local_endpoint_gets_no_replica(self):
        crowded = view("c", kv_tokens=50_000)
        assert self.place("a", view("a", "tigre"), view("b", "escobar"), crowded) == "b"

    def test_the_runs_own_domain_is_used_if_there_is_no_other(self):
        assert self.place("a", view("a"), view("b")) == "b"

    def test_no_replica_is_placed_without_a_usable_endpoint(self):
        assert self.place("a", view("a")) == ""
        leaving = view("b", state=EndpointState.DRAINING)
        assert self.place("a", view("a"), leaving) == ""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["pilar", "tigre"]),
                st.integers(0, 50_000),
                st.booleans(),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_it_is_never_the_runs_own_endpoint_or_an_ejected_one(self, specs):
        views = [
            view(
                f"e{n}",
                domain,
                kv_tokens=held,
                ejected_until=timedelta(seconds=1) if is_ejected else None,
            )
            for n, (domain, held, is_ejected) in enumerate(specs)
        ]
        chosen = self.place("e0", *views)
        usable = {item.id for item in views[1:] if item.ejected_until is None}
        assert chosen in usable or (chosen == "" and not usable)


class TestDecideAfterLoss:
    def decide(self, kind: LossKind, holder: Holder) -> NextStep:
        return decide_after_loss(
            kind,
            attempts=1,
            was_attached=False,
            limits=RetryLimits(),
            holder=holder,
        ).step

    @pytest.mark.parametrize(
        "kind", [LossKind.RESET, LossKind.FROZEN, LossKind.RESUME_MISMATCH]
    )
    def test_a_lost_run_attaches_to_its_replica(self, kind):
        assert self.decide(kind, Holder.REPLICA) is NextStep.ATTACH

    @pytest.mark.parametrize(
        "kind", [LossKind.REFUSED, LossKind.UNREACHABLE, LossKind.REPLACED]
    )
    def test_a_run_that_never_began_has_no_replica_to_attach_to(self, kind):
        assert self.decide(kind, Holder.REPLICA) is NextStep.RESUME

    def test_without_a_replica_or_stream_the_run_is_resumed_by_prefill(self):
        assert self.decide(LossKind.RESET, Holder.NONE) is NextStep.RESUME
        assert self.decide(LossKind.RESET, Holder.ENDPOINT) is NextStep.ATTACH


#: Time in which a replica has got a part of a prompt, in seconds.
READ_FOR = REPLICA_START_TIME.total_seconds() + 0.2


def report_departure(world: World) -> None:
    """Let the engine that keeps the replica say that it leaves."""
    row = DepartureRow(endpoint_id=world.keeper().name, incarnation=0)
    world.departures.merge([row])


def remove_entry(world: World) -> None:
    """Remove the entry of the engine that keeps the replica, which serves on."""
    world.catalog.drop_endpoint(world.keeper().name)


#: The ways in which an engine leaves.
LEAVES = [report_departure, remove_entry]


class TestFailover:
    def test_the_run_of_a_dead_engine_continues_from_the_replica(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 1
            assert world.engines.opened[-1] == (keeper.name, "attach")
            assert world.sink.longest < 0.7

        run_virtually(test())

    async def lose_in_prefill(
        self,
        world: World,
        *,
        after: float,
        loses_copy: bool = False,
        leave: Callable[[World], None] = lambda world: None,
    ) -> None:
        """Lose the first engine before its first output, and serve the answer."""
        task = world.start(time_left=timedelta(seconds=25))
        while not world.engines.opened:
            await asyncio.sleep(0.01)
        first = world.engines.by_id[world.engines.opened[0][0]]
        first.hangs = True
        await asyncio.sleep(after)
        if loses_copy:
            world.keeper().replicas.clear()
        leave(world)
        first.is_dead, first.hangs = True, False
        await task
        assert world.sink.data == WHOLE

    # Guards against prompts that are prefilled from their start after a loss, although
    # the replica has most of them.
    def test_a_prompt_that_is_lost_in_prefill_goes_on_at_its_replica(self):
        async def test() -> None:
            world = World()
            await self.lose_in_prefill(world, after=READ_FOR)
            assert world.engines.read_prompts == 1
            assert [how for _, how in world.engines.opened] == ["read", "attach"]

        run_virtually(test())

    # Guards against attempts at replicas that can't have anything yet.
    def test_a_prompt_that_is_lost_at_once_is_read_at_another_engine(self):
        async def test() -> None:
            world = World()
            await self.lose_in_prefill(world, after=READ_FOR - 0.4)
            assert [how for _, how in world.engines.opened] == ["read", "read"]

        run_virtually(test())

    def test_a_prompt_without_a_replica_is_read_at_another_engine(self):
        async def test() -> None:
            world = World()
            await self.lose_in_prefill(world, after=READ_FOR, loses_copy=True)
            assert world.engines.read_prompts == 2

        run_virtually(test())

    # Guards against a lost stream that goes on at an engine which is leaving, after the
    # time in which it may still get requests.
    @pytest.mark.parametrize("leave", LEAVES)
    def test_a_prompt_whose_replica_is_leaving_is_read_at_another_engine(self, leave):
        async def test() -> None:
            world = World()
            await self.lose_in_prefill(world, after=READ_FOR, leave=leave)
            assert [how for _, how in world.engines.opened] == ["read", "read"]
            assert world.engines.opened[-1][0] != world.keeper().name

        run_virtually(test())

    # Guards against the same with an answer that has begun.
    @pytest.mark.parametrize("leave", LEAVES)
    def test_a_run_whose_replica_is_leaving_goes_on_at_another_engine(self, leave):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            leave(world)
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert [how for _, how in world.engines.opened] == ["read", "read"]
            assert world.engines.opened[-1][0] != keeper.name

        run_virtually(test())

    # Guards against suspects that crash one engine after the other which other requests
    # use.
    def test_a_suspect_is_not_sent_to_its_replica(self):
        async def test() -> None:
            world = World()
            world.dispatcher._guard.is_suspect = lambda fingerprint: True
            await self.lose_in_prefill(world, after=READ_FOR)
            assert [how for _, how in world.engines.opened] == ["read", "read"]

        run_virtually(test())

    def test_the_run_of_a_silent_engine_continues_within_the_allowed_pause(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            first.hangs = True
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 1
            assert world.sink.longest < 0.85
            assert first.streams[0].is_closed

        run_virtually(test())

    def test_a_lost_replica_is_replaced_before_the_next_loss(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            keeper.die()
            world.fleet.losses.record_reported(world.fleet.start_of(keeper.name))
            while not first.copies:
                assert not task.done()
                await asyncio.sleep(0.01)
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 1

        run_virtually(test())

    # Guards against copies that an engine rejects since it still prefills the prompt.
    def test_a_run_is_copied_once_it_has_output(self):
        async def test() -> None:
            world = World()
            task = world.start(position=5, time_left=timedelta(seconds=25))
            while not world.engines.opened:
                await asyncio.sleep(0.01)
            first = world.engines.by_id[world.engines.opened[0][0]]
            first.hangs = True
            keeper = world.keeper()
            keeper.die()
            world.fleet.losses.record_reported(world.fleet.start_of(keeper.name))
            await asyncio.sleep(0.6)
            assert first.copies == 0
            first.hangs = False
            while not first.copies:
                assert not task.done()
                await asyncio.sleep(0.01)
            await task

        run_virtually(test())

    # Guards against a run whose replica was lost with a whole failure domain, and whose
    # host is not told of that endpoint: the next loss would repeat the prefill.
    @pytest.mark.parametrize("how", ["unreachable", "replaced"])
    def test_a_replica_is_checked_when_its_failure_domain_is_widely_lost(self, how):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            if how == "replaced":
                keeper.replaced_by = "new"
                keeper.replicas.clear()
            else:
                keeper.die()
            now = world.clock.monotonic()
            domain = world.fleet.find(keeper.name).endpoint.failure_domain
            losses = world.fleet.losses.domain_losses
            for number in range(WIDESPREAD_LOSSES):
                losses.record(domain, f"other-{number}", now=now)
            await asyncio.sleep(0.5)
            assert not task.done()
            assert first.copies == 1
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 1

        run_virtually(test())

    # Guards against billed questions after each single loss.
    def test_a_single_loss_in_its_failure_domain_causes_no_question(self):
        async def test() -> None:
            world = World()
            task = world.start()
            await world.running()
            keeper = world.keeper()
            asked = []
            keeper.count_waiting = lambda: asked.append(1)
            domain = world.fleet.find(keeper.name).endpoint.failure_domain
            now = world.clock.monotonic()
            losses = world.fleet.losses.domain_losses
            for number in range(WIDESPREAD_LOSSES - 1):
                losses.record(domain, f"other-{number}", now=now)
            await task
            assert not asked

        run_virtually(test())

    def test_a_reported_departure_of_the_replicas_endpoint_triggers_a_copy(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            keeper.die()
            row = DepartureRow(endpoint_id=keeper.name, incarnation=0)
            world.departures.merge([row])
            while not first.copies:
                assert not task.done()
                await asyncio.sleep(0.01)
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 1

        run_virtually(test())

    def test_a_lost_copy_is_replaced_without_waiting_for_its_renewal(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running(2)
            for copies in (1, 2):
                await asyncio.sleep(0.3)
                keeper = world.keeper()
                keeper.die()
                world.fleet.losses.record_reported(world.fleet.start_of(keeper.name))
                lost_at = asyncio.get_running_loop().time()
                while first.copies < copies:
                    assert not task.done()
                    await asyncio.sleep(0.01)
                assert asyncio.get_running_loop().time() - lost_at < 0.5
            await task
            assert world.sink.data == WHOLE

        run_virtually(test())

    def test_a_copy_is_dropped_after_a_complete_answer(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            keeper.die()
            world.fleet.losses.record_reported(world.fleet.start_of(keeper.name))
            while not first.copies:
                assert not task.done()
                await asyncio.sleep(0.01)
            await task
            await asyncio.sleep(0.01)
            names = (ref for e in world.engines.by_id.values() for ref in e.replicas)
            assert not any(ref.startswith("copy-") for ref in names)

        run_virtually(test())

    def test_losing_run_and_replica_costs_another_prefill(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            world.keeper().die()
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 2

        run_virtually(test())

    def test_unreachable_engines_cost_no_attempt_and_no_retry_budget(self):
        async def test() -> None:
            world = World(most=0)
            for name in ("a1", "a2", "b1"):
                world.engines.by_id[name].is_dead = True
            await world.start()
            assert world.sink.data == WHOLE

        run_virtually(test())

    def test_a_replaced_engine_is_reported_and_gets_no_more_requests(self):
        async def test() -> None:
            world = World()
            for engine in world.engines.by_id.values():
                engine.replaced_by = f"new-{engine.name}"
            with pytest.raises(RefusedError):
                await world.start()
            assert set(world.successors) == {
                "new-a1",
                "new-a2",
                "new-b1",
                "new-b2",
            }
            states = {item.state for item in world.fleet.views("s")}
            assert states == {EndpointState.DRAINING}

        run_virtually(test())

    def test_token_counts_return_to_zero_after_a_run(self):
        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            first.die()
            assert world.fleet.loads_by_endpoint()
            await task
            assert world.fleet.loads_by_endpoint() == {}
            assert all(not e.resume_tokens for e in world.fleet._live_by_id.values())

        run_virtually(test())


class TestResumeAtAnotherHost:
    def test_an_answer_resumes_where_its_prompt_is_cached(self):
        async def test() -> None:
            for name in ("a1", "a2", "b1", "b2"):
                world = World()
                world.fleet.find(name)
                world.engines.by_id[name].cached_prompts = {"other", "p1"}
                world.start(position=7)
                await world.running(1)
                assert world.engines.opened == [(name, "read")]
                world.task.cancel()

        run_virtually(test())

    # Guards against queries to all endpoints although it is known which one ran it.
    def test_the_endpoint_that_ran_it_last_is_queried_alone(self):
        async def test() -> None:
            world = World()
            for name in ("a1", "a2", "b1", "b2"):
                world.fleet.find(name)
            world.engines.by_id["b2"].cached_prompts = {"p1"}
            world.start(position=7, holder_id="b2")
            await world.running(1)
            assert world.engines.opened == [("b2", "read")]
            queries = [item.prompt_queries for item in world.engines.by_id.values()]
            assert sum(queries) == 1
            world.task.cancel()

        run_virtually(test())

    @pytest.mark.parametrize("holder_id", ["gone", "b2"])
    def test_the_others_are_queried_if_it_does_not_have_the_prompt(self, holder_id):
        async def test() -> None:
            world = World()
            for name in ("a1", "a2", "b1", "b2"):
                world.fleet.find(name)
            world.engines.by_id["a2"].cached_prompts = {"p1"}
            world.engines.by_id["b2"].die()
            world.start(position=7, holder_id=holder_id)
            await world.running(1)
            assert world.engines.opened == [("a2", "read")]
            world.task.cancel()

        run_virtually(test())

    def test_an_unreachable_endpoint_does_not_block_the_resume(self):
        async def test() -> None:
            world = World()
            world.fleet.find("a1")
            world.engines.by_id["a1"].cached_prompts = {"p1"}
            world.engines.by_id["a1"].die()
            world.start(position=7)
            await world.running(1)
            assert world.engines.opened[0][0] != "a1"

        run_virtually(test())

    # Guards against a prefill for a caller that will have left before its end. Prefill
    # takes 200.4 ms.
    def test_an_answer_with_too_little_time_left_is_refused_at_once(self):
        async def test() -> None:
            world = World()
            for _ in range(MIN_SAMPLES):
                await world.start()
            opened = len(world.engines.opened)
            began = world.clock.monotonic()
            with pytest.raises(RefusedError) as refusal:
                await world.start(position=10, time_left=timedelta(seconds=0.2))
            assert refusal.value.failure.status == 503
            assert world.clock.monotonic() == began
            assert len(world.engines.opened) == opened

        run_virtually(test())

    # Guards against streams that are refused after a loss of all hosts, since callers
    # come back with less time than the rest of other answers takes, which is 1.5 s.
    @pytest.mark.parametrize("seconds", [0.3, 1, 3])
    def test_an_answer_with_enough_time_left_is_resumed(self, seconds):
        async def test() -> None:
            world = World()
            for _ in range(MIN_SAMPLES):
                await world.start()
            await world.start(position=10, time_left=timedelta(seconds=seconds))
            assert world.sink.data.endswith(b"60 ")

        run_virtually(test())

    def test_caches_are_not_searched_for_a_new_prompt(self):
        async def test() -> None:
            world = World()
            for name in ("a1", "a2"):
                world.fleet.find(name)
                world.engines.by_id[name].waiting_runs = 1
            world.fleet.find("b1")
            world.engines.by_id["b1"].cached_prompts = {"p1"}
            world.start()
            await world.running(1)
            assert world.engines.opened[0][0] in ("a1", "a2")

        run_virtually(test())


class TestPrefillBacklog:
    """Each endpoint has a prefill backlog of one second from other hosts' prompts.

    Guards against new streams that start too late for their target and stall others.
    """

    async def make_world(self) -> World:
        world = World()
        for _ in range(MIN_SAMPLES):
            await world.start()
        world.others_load = TokenLoad(reading=25_000)
        return world

    def test_a_new_stream_that_would_miss_its_target_is_refused_at_once(self):
        async def test() -> None:
            world = await self.make_world()
            opened = len(world.engines.opened)
            began = world.clock.monotonic()
            with pytest.raises(RefusedError) as refusal:
                await world.start()
            failure = refusal.value.failure
            assert (failure.status, failure.outcome) == (503, Outcome.NOT_RUN)
            assert failure.retry_after >= TARGET / 2
            assert world.clock.monotonic() == began
            assert len(world.engines.opened) == opened

        run_virtually(test())

    def test_a_stream_that_has_begun_is_resumed(self):
        async def test() -> None:
            world = await self.make_world()
            await world.start(position=10)
            assert world.sink.data.endswith(b"60 ")

        run_virtually(test())

    def test_a_new_stream_that_meets_its_target_is_accepted(self):
        async def test() -> None:
            world = await self.make_world()
            world.others_load = TokenLoad(reading=15_000)
            await world.start()
            assert world.sink.data.endswith(WHOLE)

        run_virtually(test())

    def test_a_host_without_samples_refuses_nothing(self):
        async def test() -> None:
            world = World()
            world.others_load = TokenLoad(reading=25_000)
            await world.start()
            assert world.sink.data == WHOLE

        run_virtually(test())


class TestSurvey:
    """The local engines a1 and a2 (pilar) rank before the remote b1 and b2 (tigre).

    Guards against prompts that queue at a busy endpoint while another is idle, since
    the host does not know the loads of all other hosts.
    """

    async def place(self, waiting_by_id: dict[str, int | None], **options) -> str:
        world = World(**options)
        for endpoint_id, waiting_runs in waiting_by_id.items():
            world.fleet.find(endpoint_id)
            engine = world.engines.by_id[endpoint_id]
            engine.waiting_runs = waiting_runs or 0
            engine.is_dead = waiting_runs is None
        task = world.start()
        await world.running(1)
        task.cancel()
        return world.engines.opened[0][0]

    def test_the_first_endpoint_without_waiting_runs_is_chosen(self):
        loads = {"a1": 2, "a2": 0}
        assert run_virtually(self.place(loads, survey_enabled=True)) == "a2"

    def test_the_fewest_waiting_runs_win_if_no_endpoint_is_idle(self):
        loads = {"a1": 3, "a2": 3, "b1": 1, "b2": 1}
        chosen = run_virtually(self.place(loads, survey_enabled=True))
        assert chosen in ("b1", "b2")

    def test_an_unreachable_candidate_is_skipped_without_an_attempt(self):
        loads = {"a1": None, "a2": 1, "b1": 1, "b2": 1}
        assert run_virtually(self.place(loads, survey_enabled=True)) == "a2"

    def test_a_replaced_candidate_is_reported_without_an_attempt(self):
        async def test() -> None:
            world = World(survey_enabled=True)
            for endpoint_id in ("a1", "a2"):
                world.fleet.find(endpoint_id)
                world.engines.by_id[endpoint_id].replaced_by = f"new-{endpoint_id}"
            world.start()
            await world.running(1)
            assert {name for name, _ in world.engines.opened} <= {"b1", "b2"}
            assert world.successors
            assert set(world.successors) <= {"new-a1", "new-a2"}

        run_virtually(test())

    # Guards against a request that fails since a candidate's entry is deleted while the
    # candidate is queried.
    def test_a_candidate_that_is_removed_meanwhile_does_no_harm(self):
        async def test() -> None:
            world = World(survey_enabled=True)
            count_waiting = ReplicaEngine.count_waiting

            async def remove_and_count(engine: ReplicaEngine) -> int:
                world.catalog.drop_endpoint(engine.name)
                world.fleet.remove(engine.name)
                return await count_waiting(engine)

            for endpoint_id in ("a1", "a2"):
                engine = world.fleet.find(endpoint_id).engine
                engine.count_waiting = partial(remove_and_count, engine)
            world.start()
            await world.running(1)
            assert world.engines.opened[0][0] in ("b1", "b2")

        run_virtually(test())

    # Guards against prompts that are read anew elsewhere, one after the other, while
    # all engines have a backlog: the load then feeds itself.
    @pytest.mark.parametrize(("waiting_runs", "stays"), [(3, True), (0, False)])
    def test_a_prompt_waits_as_long_as_those_before_it_take(self, waiting_runs, stays):
        async def test() -> None:
            world = World(survey_enabled=True)
            for endpoint_id in ("a1", "a2", "b1", "b2"):
                world.fleet.find(endpoint_id)
                engine = world.engines.by_id[endpoint_id]
                engine.waiting_runs, engine.hangs = waiting_runs, True
            world.start(time_left=timedelta(seconds=25))
            await asyncio.sleep(5)
            assert (len(world.engines.opened) == 1) == stays

        run_virtually(test())

    def test_no_endpoint_is_queried_if_all_loads_are_known(self):
        placed = {
            run_virtually(self.place({"a1": load, "a2": 9 - load})) for load in (0, 9)
        }
        assert len(placed) == 1
