"""Answers complete although engines and entry hosts are killed or frozen by signals."""

import contextlib
import signal
import time

from passtally.objects import Protection, Service, ServiceKind
from tests.conftest import EXPECTED, At, System

COPIED = Service(
    id="drafting",
    kind=ServiceKind.MODEL,
    model="drafting",
    version="1",
    protection=Protection.COPY,
)


def assert_complete(answer) -> None:
    assert answer.error is None
    assert answer.text == EXPECTED
    assert answer.reported == 1


class TestEngineLoss:
    def test_a_killed_engine(self, system: System):
        kill = At(100, lambda: system.busy_engine().kill())
        answer = system.chat("entry-a", on_event=kill)
        assert_complete(answer)
        assert kill.done and answer.connections == 1

    def test_two_engines_killed_within_one_answer(self, system: System):
        first = At(100, lambda: system.busy_engine().kill())
        second = At(300, lambda: system.busy_engine().kill())

        def watch(answer):
            first(answer)
            second(answer)

        answer = system.chat("entry-a", on_event=watch)
        assert_complete(answer)
        assert second.done

    def test_a_frozen_engine_that_wakes_up(self, system: System):
        frozen = []

        def freeze():
            frozen.append(system.busy_engine())
            frozen[0].signal(signal.SIGSTOP)

        def wake():
            frozen[0].signal(signal.SIGCONT)

        at_freeze, at_wake = At(100, freeze), At(200, wake)

        def watch(answer):
            at_freeze(answer)
            at_wake(answer)

        answer = system.chat("entry-a", on_event=watch)
        assert_complete(answer)
        assert at_wake.done
        assert answer.longest_gap < 5

    def test_a_connection_dropped_within_an_event(self, system: System):
        drop = At(1, lambda: system.busy_engine().control(drop_at=100))
        answer = system.chat("entry-a", on_event=drop)
        assert_complete(answer)
        generated = sum(engine.counts()["requests"] for engine in system.engines)
        assert generated == 1, "the engine still had the stream"

    def test_a_sampled_answer_continues_after_its_delivered_prefix(
        self, system: System
    ):
        kill = At(100, lambda: system.busy_engine().kill())
        answer = system.chat("entry-a", on_event=kill, temperature=1.0)
        assert kill.done
        assert answer.text.lower() == EXPECTED.lower()
        assert answer.text != EXPECTED

    def test_usage_is_counted_once_over_two_attempts(self, system: System):
        undisturbed = system.chat("entry-a", stream_options={"include_usage": True})
        kill = At(100, lambda: system.busy_engine().kill())
        answer = system.chat(
            "entry-a", on_event=kill, stream_options={"include_usage": True}
        )
        assert kill.done
        assert answer.usage == undisturbed.usage

    def test_max_tokens_and_stop_apply_over_two_attempts(self, system: System):
        kill = At(100, lambda: system.busy_engine().kill())
        answer = system.chat("entry-a", on_event=kill, max_tokens=300)
        assert answer.finish_reason == "length"
        assert answer.events == 300
        stop = "Rivadavia 40,"
        kill = At(100, lambda: system.busy_engine().kill())
        answer = system.chat("entry-a", on_event=kill, stop=[stop])
        assert kill.done
        assert answer.text == EXPECTED[: EXPECTED.index(stop)]

    def test_a_prompt_that_crashes_engines_does_not_crash_the_whole_fleet(
        self, system: System
    ):
        for engine in system.engines:
            engine.control(die_at=50, only="poison")
        answer = system.chat("entry-a", prompt="poison " * 100)
        assert answer.error["code"] == "resume_impossible"
        assert answer.error["outcome"] == "unknown"
        assert answer.error["position"] == answer.events


class TestCallers:
    def test_the_engine_is_freed_when_the_caller_leaves(self, system: System):
        class LeftError(Exception):
            pass

        def leave(answer):
            if answer.events > 50:
                raise LeftError

        with contextlib.suppress(LeftError):
            system.chat("entry-a", on_event=leave)
        deadline = time.monotonic() + 20
        while any(engine.counts()["open"] for engine in system.engines):
            assert time.monotonic() < deadline
            time.sleep(0.05)


class TestEntryHostLoss:
    def test_the_caller_resumes_at_another_host(self, system: System):
        kill = At(100, lambda: system["entry-a"].kill())
        answer = system.chat("entry-a", "entry-b", on_event=kill)
        assert_complete(answer)
        assert answer.connections == 2
        generated = sum(engine.counts()["requests"] for engine in system.engines)
        assert generated == 1, "the engine still had the stream"

    def test_host_and_engine_die_at_once_with_copies(self, system: System):
        system.processes.put_config("services", "drafting", COPIED)
        system.processes.wait_ready()

        def kill_both():
            system.busy_engine().kill()
            system["entry-a"].kill()

        kill = At(300, kill_both)
        answer = system.chat("entry-a", "entry-b", on_event=kill)
        assert_complete(answer)
        assert answer.connections == 2

    def test_host_and_engine_die_at_once_without_copies(self, system: System):
        def kill_both():
            system.busy_engine().kill()
            system["entry-a"].kill()

        kill = At(300, kill_both)
        answer = system.chat("entry-a", "entry-b", on_event=kill)
        assert answer.error["code"] == "resume_impossible"
        assert answer.error["position"] == answer.events
        assert EXPECTED.startswith(answer.text)
