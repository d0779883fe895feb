"""Admission control, routing of resumes, and retry budgets."""

import asyncio
from datetime import timedelta

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.admission import (
    AdmissionLimits,
    AdmissionQueue,
    Verdict,
)
from passtally.admission_request import AdmissionRequest, RequestClass
from passtally.capacity import Capacity
from passtally.gate import Gate
from passtally.objects import EndpointState
from passtally.outcome import Code, Outcome, RefusedError
from passtally.retry_budget import MAX_SAVED, RetryBudgets
from passtally.room import LocalRoom
from passtally.routing import (
    RESUME_BUDGET,
    EndpointView,
    RouteQuery,
    choose_endpoint,
)
from passtally.text_metrics import TextMetrics
from standins.virtual import VirtualClock, run_virtually

NOW = timedelta(0)


def make_request(workspace="w", name="interactive", share=1, timeout=None):
    return AdmissionRequest(
        id="r",
        workspace=workspace,
        share=share,
        request_class=RequestClass[name.upper()],
        timeout=timeout,
    )


def make_queue(**options) -> AdmissionQueue:
    return AdmissionQueue(limits=AdmissionLimits(**options))


def at_load(queue: AdmissionQueue, load: float, now: timedelta = NOW) -> LocalRoom:
    limits = AdmissionLimits()
    return LocalRoom(
        load=load,
        busy_load=limits.busy_load,
        job_load=limits.job_load,
        shares_by_workspace=queue.active_shares(now),
    )


def submit(queue: AdmissionQueue, request: AdmissionRequest, *, load, now=NOW):
    # A new request makes its workspace active before the room is looked at.
    queue.record_arrival(request, now=now)
    return queue.submit(request, room=at_load(queue, load, now), now=now)


class TestAdmissionQueue:
    def test_free_capacity_admits_at_once(self):
        decision, waiting = submit(make_queue(), make_request(), load=0.5)
        assert (decision.verdict, waiting) == (Verdict.ADMIT, None)

    def test_jobs_wait_while_lookups_are_still_admitted(self):
        queue = make_queue()
        job, _ = submit(queue, make_request(name="job"), load=0.75)
        lookup, _ = submit(queue, make_request(name="lookup"), load=0.75)
        assert (job.verdict, lookup.verdict) == (Verdict.QUEUE, Verdict.ADMIT)

    def test_a_workspace_above_its_share_leaves_the_last_capacity_to_others(self):
        queue = make_queue()
        for _ in range(20):
            submit(queue, make_request("large"), load=0.5)
        submit(queue, make_request("small"), load=0.5)
        large, _ = submit(queue, make_request("large"), load=0.9)
        small, _ = submit(queue, make_request("small"), load=0.9)
        assert (large.verdict, small.verdict) == (Verdict.QUEUE, Verdict.ADMIT)

    def test_classes_are_admitted_in_order_and_workspaces_take_turns(self):
        queue = make_queue()
        for workspace, name in (
            ("a", "job"),
            ("a", "interactive"),
            ("a", "interactive"),
            ("b", "interactive"),
            ("b", "lookup"),
        ):
            submit(queue, make_request(workspace, name), load=1)
        order = [
            queue.next(room=at_load(queue, 0, NOW), now=NOW).request for _ in range(5)
        ]
        assert [(r.workspace, r.request_class.name) for r in order] == [
            ("b", "LOOKUP"),
            ("a", "INTERACTIVE"),
            ("b", "INTERACTIVE"),
            ("a", "INTERACTIVE"),
            ("a", "JOB"),
        ]

    def test_a_full_queue_refuses_with_a_retry_after(self):
        queue = make_queue(max_queue=1)
        submit(queue, make_request(), load=1)
        decision, _ = submit(queue, make_request(), load=1)
        assert decision.verdict is Verdict.REFUSE
        assert decision.retry_after >= timedelta(seconds=1)

    def test_a_request_that_can_not_start_in_time_is_refused_without_waiting(self):
        queue = make_queue()
        for _ in range(20):
            submit(queue, make_request(), load=1)
        for second in range(4):
            queue.next(room=at_load(queue, 0), now=timedelta(seconds=second))
        hurried = make_request(timeout=timedelta(seconds=2))
        decision, _ = submit(queue, hurried, load=1, now=timedelta(seconds=4))
        assert decision.verdict is Verdict.REFUSE
        assert "in time" in decision.reason

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from(["lookup", "interactive", "job"]),
                st.sampled_from(["ask", "next", "leave", "expire"]),
                st.sampled_from([0, 0.75, 0.9, 1]),
            ),
            max_size=60,
        )
    )
    def test_no_request_is_lost_or_counted_twice(self, script):
        queue = make_queue(max_queue=8)
        admitted, waiting = [], []
        now = NOW
        for workspace, name, action, load in script:
            now += timedelta(seconds=0.3)
            if action == "ask":
                decision, place = submit(
                    queue, make_request(workspace, name), load=load, now=now
                )
                if decision.verdict is Verdict.ADMIT:
                    admitted.append(make_request(workspace, name))
                if place is not None:
                    waiting.append(place)
            elif action == "next":
                place = queue.next(room=at_load(queue, load, now), now=now)
                if place is not None:
                    waiting.remove(place)
                    admitted.append(place.request)
            elif action == "leave" and admitted:
                queue.release(admitted.pop(), now=now)
            elif action == "expire":
                for place in queue.pop_expired(now):
                    waiting.remove(place)
            assert len(queue) == len(waiting)
        held = [use.held for use in queue.usage(now).by_claimant.values()]
        assert sum(held) == len(admitted)


class TestGate:
    def run_gate(self, work):
        class FakeFleet:
            places, taken = 1, 1

            def service_capacity(self, service_id):
                return Capacity(places=self.places, taken=self.taken)

        async def run():
            fleet = FakeFleet()
            gate = Gate(fleet=fleet, clock=VirtualClock(), metrics=TextMetrics())
            polling = asyncio.ensure_future(gate.run())
            try:
                await work(gate, fleet)
            finally:
                polling.cancel()

        run_virtually(run())

    def test_a_waiting_request_is_admitted_once_capacity_is_free(self):
        async def work(gate, fleet):
            async def enter():
                async with gate.enter("s", make_request()):
                    return asyncio.get_running_loop().time()

            entered = asyncio.ensure_future(enter())
            await asyncio.sleep(1)
            assert not entered.done()
            fleet.taken = 0
            assert await entered < 1.2

        self.run_gate(work)

    # Guards against requests that wait for a service whose endpoints have all left or
    # are in back-off: routing can refuse these requests at once.
    def test_a_waiting_request_is_admitted_once_there_is_no_capacity_at_all(self):
        async def work(gate, fleet):
            async def enter():
                async with gate.enter("s", make_request()):
                    return asyncio.get_running_loop().time()

            entered = asyncio.ensure_future(enter())
            await asyncio.sleep(0.3)
            assert not entered.done()
            fleet.places = fleet.taken = 0
            assert await entered < 0.5

        self.run_gate(work)

    def test_a_request_that_waits_too_long_is_refused_as_not_run(self):
        async def work(gate, fleet):
            with pytest.raises(RefusedError) as caught:
                async with gate.enter("s", make_request(name="lookup")):
                    pass
            failure = caught.value.failure
            assert (failure.code, failure.outcome) == (
                Code.OVERLOADED,
                Outcome.NOT_RUN,
            )
            assert asyncio.get_running_loop().time() < 1.2

        self.run_gate(work)

    def test_a_caller_that_disconnects_is_removed_from_the_queue(self):
        async def work(gate, fleet):
            async def enter():
                async with gate.enter("s", make_request()):
                    pass

            entered = asyncio.ensure_future(enter())
            await asyncio.sleep(0.5)
            entered.cancel()
            await asyncio.sleep(0.5)
            queue = gate._queues_by_service["s"]
            assert (len(queue), queue.usage(NOW).by_claimant) == (0, {})

        self.run_gate(work)

    # Guards against room that stays taken by a caller that disconnects in the moment in
    # which its request is admitted.
    def test_a_caller_that_disconnects_as_it_is_admitted_leaves_no_trace(self):
        async def work(gate, fleet):
            async def enter():
                async with gate.enter("s", make_request()):
                    pytest.fail("the caller has left")

            entered = asyncio.ensure_future(enter())
            await asyncio.sleep(0.2)
            fleet.taken = 0
            gate.admit_waiting()
            entered.cancel()
            with pytest.raises(asyncio.CancelledError):
                await entered
            queue = gate._queues_by_service["s"]
            assert (len(queue), queue.usage(NOW).by_claimant) == (0, {})

        self.run_gate(work)

    # Guards against operators who can't see which callers lack room.
    def test_metrics_tell_who_is_admitted_waits_and_is_refused(self):
        async def work(gate, fleet):
            fleet.taken = 0
            async with gate.enter("s", make_request()):
                pass
            fleet.taken = 1
            with pytest.raises(RefusedError):
                async with gate.enter("s", make_request(name="lookup")):
                    pass
            waiting = asyncio.ensure_future(self.enter(gate))
            await asyncio.sleep(0.2)
            gate.report_gauges()
            text = gate._metrics.render().decode()
            fleet.taken = 0
            await waiting
            assert 'passtally_admitted_total{part="1"} 1.0' in text
            assert 'passtally_no_room_total{part="0"} 1.0' in text
            assert "passtally_waiting 1.0" in text
            text = gate._metrics.render().decode()
            assert "passtally_admission_wait_seconds_count 1.0" in text

        self.run_gate(work)

    async def enter(self, gate):
        async with gate.enter("s", make_request()):
            pass


def view(name: str, **options) -> EndpointView:
    row = {
        "id": name,
        "failure_domain": "p",
        "state": EndpointState.ACTIVE,
        "own_streams": 0,
        "reported_streams": 0,
        "own_at_report": 0,
        "max_streams": 10,
    }
    return EndpointView(**(row | options))


def choose(views, **query):
    asked = RouteQuery(**({"affinity": b"x", "failure_domain": "p"} | query))
    return choose_endpoint(asked, views, now=NOW)


class TestRouting:
    def test_local_dispatches_since_the_report_are_counted(self):
        stale = view("a", reported_streams=5, own_at_report=2, own_streams=6)
        assert stale.load == 0.9

    def test_an_old_report_of_a_full_endpoint_expires(self):
        full = view("a", reported_streams=10)
        assert full.load == 1
        later = attrs.evolve(full, report_age=timedelta(seconds=20))
        assert later.load == 0

    def test_the_local_failure_domain_is_preferred_until_it_is_busy(self):
        near, far = view("a"), view("b", failure_domain="t")
        assert choose([near, far]).endpoint_id == "a"
        busy = attrs.evolve(near, own_streams=9)
        assert choose([busy, far]).endpoint_id == "b"

    def test_the_same_prefix_is_routed_to_the_same_endpoint(self):
        views = [view(name) for name in "abcdef"]
        assert len({choose(views).endpoint_id for _ in range(5)}) == 1
        chosen = {choose(views, affinity=bytes([n])).endpoint_id for n in range(60)}
        assert len(chosen) == 6

    def test_draining_excluded_and_full_endpoints_get_no_requests(self):
        views = [
            view("a", state=EndpointState.DRAINING),
            view("b", own_streams=10),
            view("c"),
        ]
        decision = choose(views, exclude={"c"})
        assert (decision.endpoint_id, decision.reason) == (None, "all full")

    def test_ejected_endpoints_are_used_only_if_all_are_ejected(self):
        later = timedelta(seconds=5)
        ejected = view("a", ejected_until=later)
        assert choose([ejected, view("b", own_streams=5)]).endpoint_id == "b"
        assert "ejected" in choose([ejected]).reason

    def test_resumes_are_spread_until_each_budget_is_spent(self):
        tokens = dict.fromkeys("abcd", 0)
        for _ in range(16):
            views = [view(name, resume_tokens=n) for name, n in tokens.items()]
            name = choose(views, resume_tokens=4000).endpoint_id
            tokens[name] += 4000
        assert set(tokens.values()) == {RESUME_BUDGET}
        views = [view(name, resume_tokens=n) for name, n in tokens.items()]
        decision = choose(views, resume_tokens=4000)
        assert (decision.endpoint_id, decision.reason) == (
            None,
            "resume budget is spent",
        )

    def test_a_single_resume_longer_than_the_budget_is_routed(self):
        assert choose([view("a")], resume_tokens=RESUME_BUDGET * 2).endpoint_id == "a"


class TestSuspects:
    SUSPECTS = (b"first", b"second")

    def choose_for(self, suspect: bytes, **views) -> str:
        return choose(
            [view(name, **views.get(name, {})) for name in "abcdef"],
            suspect=suspect,
            separated=self.SUSPECTS,
            affinity=suspect,
        ).endpoint_id

    # Guards against suspects that share an endpoint, whose crash then tells nothing.
    def test_each_suspect_gets_an_endpoint_that_nothing_else_is_sent_to(self):
        reserved = {self.choose_for(suspect) for suspect in self.SUSPECTS}
        assert len(reserved) == 2
        views = [view(name) for name in "abcdef"]
        for number in range(60):
            query = {"affinity": bytes([number]), "separated": self.SUSPECTS}
            assert choose(views, **query).endpoint_id not in reserved

    def test_their_endpoints_are_used_if_no_other_has_capacity(self):
        reserved = {self.choose_for(suspect) for suspect in self.SUSPECTS}
        views = [
            view(name, own_streams=0 if name in reserved else 10) for name in "abcdef"
        ]
        assert choose(views, separated=self.SUSPECTS).endpoint_id in reserved

    def test_none_is_reserved_where_suspects_would_take_most(self):
        views = [view(name) for name in "abc"]
        chosen = {
            choose(views, affinity=bytes([number]), separated=self.SUSPECTS).endpoint_id
            for number in range(60)
        }
        assert len(chosen) == 3


class TestRetryBudgets:
    def test_retries_are_a_share_of_a_workspaces_requests(self):
        budgets = RetryBudgets()
        allowed = sum(budgets.try_spend("w") for _ in range(100))
        assert allowed == MAX_SAVED
        assert budgets.try_spend("other")
        for _ in range(15):
            budgets.earn("w")
        assert sum(budgets.try_spend("w") for _ in range(100)) == 1

    def test_retries_of_all_workspaces_together_are_bounded(self):
        budgets = RetryBudgets()
        spent = sum(budgets.try_spend(str(n)) for n in range(1000))
        assert spent == 10 * MAX_SAVED
