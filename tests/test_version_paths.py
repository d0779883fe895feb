"""Each path by which an answer goes on keeps to the version that began it."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import attrs
import pytest

from passtally.clock import ManualClock
from passtally.completion import AnswerFormat, EventWriter, Flavour
from passtally.endpoint_changes import EndpointChanges
from passtally.endpoint_directives import EndpointDirectives
from passtally.handle import HandleSigner, ResumePoint, StreamRef
from passtally.objects import Endpoint, EndpointStart
from passtally.origin import Origin
from passtally.outcome import RefusedError
from passtally.return_times import DEFAULT_WAIT
from passtally.versions import AllVersions
from standins.virtual import run_virtually
from tests.replica_world import WHOLE, World
from tests.test_generation import event, make_generation

#: The versions of the four endpoints of a world: two of each, in both domains.
TWO_OF_EACH = {"a1": "v1", "a2": "v2", "b1": "v1", "b2": "v2"}
V1 = Origin(software="v1")
#: Maximum time until an answer that can't be served is refused, in seconds.
AT_ONCE = 0.3


def versions_of(world: World) -> set[str]:
    return {TWO_OF_EACH[name] for name, _ in world.engines.opened}


class TestWithinOneHost:
    # Guards against a replica at another version, to which the answer would go.
    def test_replicas_are_placed_at_the_version_of_the_run(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            world.start()
            first = await world.running()
            keeper = world.keeper()
            assert TWO_OF_EACH[keeper.name] == TWO_OF_EACH[first.name]

        run_virtually(test())

    def test_a_lost_replica_is_not_replaced_at_another_version(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            keeper.die()
            world.fleet.losses.record_reported(world.fleet.start_of(keeper.name))
            await task
            assert world.sink.data == WHOLE
            assert first.copies == 0

        run_virtually(test())

    def test_an_answer_whose_replica_is_lost_too_does_not_go_on(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            keeper.die()
            first.die()
            with pytest.raises(RefusedError):
                await task
            assert versions_of(world) == {TWO_OF_EACH[first.name]}

        run_virtually(test())

    # Guards against a try that brought no event yet and is narrowed all the same.
    def test_a_try_without_events_may_go_on_at_any_version(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            for name, software in TWO_OF_EACH.items():
                if software == "v1":
                    world.fleet.find(name).engine.die()
            await world.start()
            assert world.sink.data == WHOLE
            assert world.engines.opened[-1][0] in ("a2", "b2")

        run_virtually(test())

    def test_an_answer_goes_on_where_the_entry_of_its_endpoint_is_gone(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            task = world.start()
            first = await world.running()
            world.catalog.drop_endpoint(first.name)
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert versions_of(world) == {TWO_OF_EACH[first.name]}

        run_virtually(test())


class TestTakeUp:
    def test_a_cached_prompt_at_another_version_is_not_used(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            world.fleet.find("a2").engine.cached_prompts.add("p1")
            await world.start(position=5, origin=V1)
            assert versions_of(world) == {"v1"}

        run_virtually(test())

    def test_a_cached_prompt_at_the_version_is_used(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            world.fleet.find("b1").engine.cached_prompts.add("p1")
            await world.start(position=5, origin=V1)
            assert world.engines.opened == [("b1", "read")]

        run_virtually(test())

    # Guards against a caller that is held although its version serves no more.
    @pytest.mark.parametrize("how", ["gone", "leaving", "exited"])
    def test_it_is_refused_at_once_without_its_version(self, how):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            for name in ("a1", "b1"):
                live = world.fleet.find(name)
                if how == "gone":
                    world.catalog.drop_endpoint(name)
                elif how == "leaving":
                    world.departures.record(live.endpoint.start, channel="test")
                else:
                    live.has_exited = True
                    live.engine.die()
                    live.eject(world.clock.monotonic())
            began_at = world.clock.monotonic()
            with pytest.raises(RefusedError) as refused:
                await world.start(position=5, origin=V1)
            assert refused.value.failure.status == 503
            took = (world.clock.monotonic() - began_at).total_seconds()
            assert took < AT_ONCE
            assert versions_of(world) <= {"v1"}

        run_virtually(test())

    # Guards against a refusal while the version is away for a moment only.
    def test_it_waits_for_endpoints_of_its_version_that_are_in_back_off(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            backoff = DEFAULT_WAIT / 2
            for name in ("a1", "b1"):
                world.fleet.send_limits.record_directives(
                    world.fleet.start_of(name),
                    EndpointDirectives(backoff=backoff, is_rejection=True),
                    sent_at=world.clock.monotonic(),
                )
            task = world.start(position=5, origin=V1)
            await asyncio.sleep(backoff.total_seconds() * 0.9)
            assert not task.done()
            await task
            assert versions_of(world) == {"v1"}

        run_virtually(test())

    def test_it_waits_for_the_entry_of_an_endpoint_known_by_its_address(self):
        async def test() -> None:
            world = World(software_by_id={"a2": "v2", "b2": "v2"})
            for name in ("a1", "b1"):
                known = world.catalog.endpoints_by_id[name]
                world.catalog.put_endpoint(attrs.evolve(known, has_entry=False))
            task = world.start(position=5, origin=V1)
            await asyncio.sleep(1)
            assert not task.done() and not world.engines.opened
            entry = attrs.evolve(known, software="v1", has_entry=True)
            world.catalog.put_endpoint(entry)
            await task
            assert world.engines.opened == [("b1", "read")]

        run_virtually(test())

    # Guards against refusals while the endpoints of the only version are replaced.
    def test_it_waits_for_a_new_endpoint_if_none_of_any_version_is_left(self):
        async def test() -> None:
            world = World(software_by_id=dict.fromkeys(TWO_OF_EACH, "v1"))
            known = world.catalog.endpoints_by_id["b1"]
            for name in TWO_OF_EACH:
                world.departures.record(world.fleet.start_of(name), channel="test")
            task = world.start(position=5, origin=V1)
            await asyncio.sleep(1)
            assert not task.done()
            url = "http://new"
            world.catalog.put_endpoint(attrs.evolve(known, id="new", url=url))
            await task
            assert world.engines.opened == [("new", "read")]

        run_virtually(test())

    # Guards against a caller that is held to its deadline while its service is away.
    @pytest.mark.parametrize("usual", [None, 1.2], ids=["unknown", "usually-1.2s"])
    def test_it_waits_for_the_usual_time_of_return_of_its_service(self, usual):
        async def test() -> None:
            world = World(software_by_id=dict.fromkeys(TWO_OF_EACH, "v1"))
            if usual is not None:
                await learn_return(world, seconds=usual)
            for engine in world.engines.by_id.values():
                engine.die()
            began_at = world.clock.monotonic()
            with pytest.raises(RefusedError) as refused:
                await world.start(
                    position=5, origin=V1, time_left=timedelta(seconds=12)
                )
            assert refused.value.failure.status == 503
            took = world.clock.monotonic() - began_at
            max_wait = DEFAULT_WAIT if usual is None else timedelta(seconds=2.4)
            assert max_wait <= took < max_wait + timedelta(seconds=AT_ONCE)

        run_virtually(test())

    # Guards against a wait that ends before endpoints that are restarted are back.
    def test_it_goes_on_at_an_endpoint_that_is_back_within_that_time(self):
        async def test() -> None:
            world = World(software_by_id=dict.fromkeys(TWO_OF_EACH, "v1"))
            await learn_return(world, seconds=1.2)
            for engine in world.engines.by_id.values():
                engine.die()
            task = world.start(position=5, origin=V1, time_left=timedelta(seconds=12))
            await asyncio.sleep(1.5)
            world.engines.by_id["b1"].is_dead = False
            await task
            assert world.engines.opened == [("b1", "read")]

        run_virtually(test())

    def test_it_does_not_attach_to_a_stream_at_another_version(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            await world.start(position=5, origin=V1, stream_endpoint_id="a2")
            assert versions_of(world) == {"v1"}

        run_virtually(test())


async def learn_return(world: World, *, seconds: float) -> None:
    """Let an endpoint be lost and send output again after a number of seconds."""
    live = world.fleet.find("a1")
    world.fleet.losses.record(live, is_endpoint_unreachable=True)
    await asyncio.sleep(seconds)
    world.fleet.losses.record_present(live)


class OnlyVersion(AllVersions):
    """A roll-out that sends new requests to one version only."""

    def __init__(self, software: str, *, rejected: str = "") -> None:
        self._software = software
        self._rejected = rejected

    def allows(self, endpoint: Endpoint) -> bool:
        return endpoint.software == self._software

    def may_resume(self, endpoint: Endpoint) -> bool:
        return endpoint.software != self._rejected


class TestRollOut:
    def test_the_old_version_is_left_to_the_answers_that_it_began(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            world.fleet.versions = OnlyVersion("v2")
            await world.start(position=5, origin=V1)
            assert versions_of(world) == {"v1"}
            replica = next(item for item in ("a1", "b1") if item != first_of(world))
            assert world.fleet.can_continue(V1, replica)

        run_virtually(test())

    def test_a_rejected_version_gets_no_answers_that_it_began(self):
        async def test() -> None:
            world = World(software_by_id=TWO_OF_EACH)
            world.fleet.versions = OnlyVersion("v2", rejected="v1")
            with pytest.raises(RefusedError):
                await world.start(position=5, origin=V1)
            assert not world.engines.opened

        run_virtually(test())


def first_of(world: World) -> str:
    return world.engines.opened[0][0]


class TestOwnInterface:
    def point(self, stream: StreamRef) -> ResumePoint:
        """Return the point in a handle, as a caller brings it back."""
        signer = HandleSigner(keys_by_id={"k": b"secret"}, active_key="k")
        handle = signer.writer(stream, binding=b"b").write(3, 5, 0, ())
        return signer.open(handle, binding=b"b")

    def stream(self, *, software: str) -> StreamRef:
        request = make_generation().request
        return StreamRef.of(request, endpoint_id="a1", attempt=1, software=software)

    def test_a_handle_names_the_version_that_began_the_answer(self):
        origin = self.point(self.stream(software="v1")).stream.origin
        assert origin.software == "v1"

    def test_a_handle_of_an_earlier_version_of_the_host_is_accepted(self, monkeypatch):
        monkeypatch.setattr(
            "passtally.handle._to_row", lambda stream: attrs.astuple(stream)[:-1]
        )
        origin = self.point(self.stream(software="")).stream.origin
        assert origin == Origin(software="", start=EndpointStart(endpoint_id="a1"))

    def test_the_events_of_an_attempt_name_its_version(self):
        signer = HandleSigner(keys_by_id={"k": b"secret"}, active_key="k")
        writer = EventWriter(
            answer_format=AnswerFormat(flavour=Flavour.TEXT),
            signer=signer,
            binding=b"b",
        )
        generation = make_generation()
        attempt = generation.start_attempt("a1", origin=V1)
        writer.switch(generation, attempt)
        delivery = generation.accept(attempt, event(0, "ab"))
        data = writer.encode(generation, [delivery])
        handle = data.split(b"id: ")[1].split(b"\n")[0].decode()
        assert signer.open(handle, binding=b"b").stream.software == "v1"
        assert generation.origin == V1


class TestSuccessor:
    # Guards against a version that nobody told, taken from the endpoint that ended.
    def test_it_has_no_version_until_its_entry_says_one(self):
        put: list[Endpoint] = []

        async def is_engine(engine: object) -> bool:
            return True

        async def test() -> None:
            live = SimpleNamespace(alive_at=timedelta(0))
            host = SimpleNamespace(
                clock=ManualClock(),
                fleet=SimpleNamespace(find=lambda endpoint_id: live),
                settings=SimpleNamespace(address_reuse_after=timedelta(seconds=2)),
                routes=SimpleNamespace(
                    current=SimpleNamespace(
                        services=[SimpleNamespace(id="s", capacity_tokens=1)]
                    )
                ),
                registry=SimpleNamespace(
                    put=put.append, use_set_aside=lambda endpoint_id: False
                ),
                spawn=asyncio.create_task,
            )
            changes = EndpointChanges(
                host=host,
                adapter=SimpleNamespace(is_engine=is_engine),
                connect=lambda endpoint: None,
            )
            ended = Endpoint(
                id="old",
                service="s",
                url="http://x:1",
                failure_domain="d",
                software="v1",
            )
            changes.use_successor(ended, "new")
            await asyncio.sleep(0.01)

        asyncio.run(test())
        assert [(item.id, item.software, item.has_entry) for item in put] == [
            ("new", "", False)
        ]
