"""Which endpoints of plain calls are slow now, without a network."""

from datetime import timedelta

import pytest

from passtally.call_times import (
    FORGET_AFTER,
    HEDGE_FACTOR,
    MIN_SAMPLES,
    REPORT_TIME,
    SLOW_FACTOR,
    TRY_INTERVAL,
    CallTimes,
)
from passtally.engine import InstanceLoad
from passtally.http_client import ResponseHead
from passtally.platform.answer_directives import decode_load, read_directives
from passtally.settings import Switch

USUAL = timedelta(milliseconds=20)
SLOW = 5 * USUAL
SERVERS = ("a", "b", "c", "d")
STEP = timedelta(milliseconds=1)


def make_load(*, slowness: float = 1.0, **figures: int) -> InstanceLoad:
    defaults = {"running": 1, "waiting": 0, "slots": 2}
    return InstanceLoad(slowness=slowness, **(defaults | figures))


class Scene:
    """Four servers of one service, and the clock."""

    def __init__(self, *, mode: Switch = Switch.ON) -> None:
        self.known = set(SERVERS)
        self.times = CallTimes(
            endpoints_of=lambda service: sorted(self.known),
            is_known=self.known.__contains__,
            mode=lambda: mode,
        )
        self.now = timedelta(seconds=10)

    def call(self, server: str, took: timedelta = USUAL, count: int = 1) -> None:
        for _ in range(count):
            call = self.times.begin(server, service="s", now=self.now)
            self.now += took
            self.times.end(call, is_timed=True, now=self.now)

    def warm_up(self) -> None:
        for server in SERVERS:
            self.call(server, count=MIN_SAMPLES)

    def report(self, server: str, slowness: float = 1.0, **figures: int) -> None:
        load = make_load(slowness=slowness, **figures)
        self.times.record_report(server, load, now=self.now)

    @property
    def slow(self) -> list[str]:
        return sorted(self.times.list_slow("s", now=self.now))


class TestEqualServers:
    # Guards against servers of the same kind that are treated differently.
    def test_none_is_slow(self):
        scene = Scene()
        scene.warm_up()
        scene.call("a", USUAL * 1.5, count=20)
        assert scene.slow == []

    def test_one_long_call_makes_no_server_slow(self):
        scene = Scene()
        scene.warm_up()
        scene.call("a", USUAL * 4)
        assert scene.slow == []

    def test_nothing_is_known_at_first(self):
        scene = Scene()
        scene.call("a", SLOW, count=MIN_SAMPLES)
        assert scene.slow == []


class TestFirstCalls:
    # Guards against hosts of a large fleet that notice no slow server for most of a
    # minute, since each calls an endpoint only every few seconds.
    def test_single_calls_of_several_servers_tell_the_usual_time(self):
        scene = Scene()
        for server in ("b", "c", "d"):
            scene.call(server, count=MIN_SAMPLES // 3)
        assert scene.times.hedge_delay("s", now=scene.now) == HEDGE_FACTOR * USUAL
        scene.call("a", SLOW)
        assert scene.slow == ["a"]

    # Guards against calls to a server that is known to be slow by its own report.
    def test_a_report_is_believed_before_the_usual_time_is_known(self):
        scene = Scene()
        scene.call("b")
        scene.report("a", 5)
        assert scene.slow == ["a"]
        scene.now += REPORT_TIME + STEP
        assert scene.slow == []


class TestOneSlowServer:
    def test_the_others_are_preferred_to_it(self):
        scene = Scene()
        scene.warm_up()
        scene.call("a", SLOW, count=4)
        assert scene.slow == ["a"]

    # Guards against a slow spell that is noticed only once its first calls are late.
    def test_a_call_that_is_open_for_long_shows_it_at_once(self):
        scene = Scene()
        scene.warm_up()
        call = scene.times.begin("a", service="s", now=scene.now)
        scene.now += SLOW_FACTOR * USUAL + STEP
        assert scene.slow == ["a"]
        scene.times.end(call, is_timed=False, now=scene.now)
        assert scene.slow == []

    # Guards against a server that was slow once and gets no call ever after.
    def test_it_is_tried_again_at_a_bounded_rate(self):
        scene = Scene()
        scene.warm_up()
        scene.call("a", SLOW, count=8)
        assert scene.slow == ["a"]
        tried = 0
        for _ in range(30):
            for server in ("b", "c", "d"):
                scene.call(server)
            scene.now += timedelta(milliseconds=40)
            if not scene.slow:
                tried += 1
                scene.call("a", SLOW)
        assert 2 <= tried <= 30 * timedelta(milliseconds=100) / TRY_INTERVAL + 1

    def test_it_gets_calls_like_the_others_once_it_is_fast_again(self):
        scene = Scene()
        scene.warm_up()
        scene.call("a", SLOW, count=8)
        assert scene.slow == ["a"]
        scene.call("a", count=12)
        assert scene.slow == []

    def test_its_times_are_forgotten(self):
        scene = Scene()
        scene.warm_up()
        scene.call("a", SLOW, count=8)
        scene.now += FORGET_AFTER + STEP
        for server in ("b", "c", "d"):
            scene.call(server, count=MIN_SAMPLES)
        assert scene.slow == []


class TestToldSpells:
    def test_a_report_shows_a_slow_spell_and_its_end(self):
        scene = Scene()
        scene.warm_up()
        scene.report("a", 5)
        assert scene.slow == ["a"]
        scene.report("a", 1)
        assert scene.slow == []

    # Guards against a spell that is taken for the speed of the server.
    def test_calls_in_a_told_spell_do_not_count_as_the_servers_speed(self):
        scene = Scene()
        scene.warm_up()
        scene.report("a", 5)
        for _ in range(4):
            scene.call("a", SLOW)
            scene.report("a", 5)
        scene.report("a", 1)
        assert scene.slow == []

    def test_an_old_report_does_not_count(self):
        scene = Scene()
        scene.warm_up()
        scene.report("a", 5)
        scene.now += REPORT_TIME + STEP
        assert scene.slow == []


class TestOverload:
    # Guards against endpoints that are avoided in turn while all have queues, so that
    # the others get more than they can answer.
    def test_none_is_slow_while_all_take_long(self):
        scene = Scene()
        scene.warm_up()
        for server, factor in zip(SERVERS, (6, 3, 4, 5), strict=True):
            scene.call(server, factor * USUAL, count=8)
        assert scene.slow == []

    def test_one_that_takes_a_multiple_of_the_others_is_slow(self):
        scene = Scene()
        scene.warm_up()
        for server, factor in zip(SERVERS, (12, 3, 4, 5), strict=True):
            scene.call(server, factor * USUAL, count=8)
        assert scene.slow == ["a"]


class TestQueues:
    # Guards against calls that wait at a server while others are idle.
    def test_a_server_with_a_long_queue_is_slow(self):
        scene = Scene()
        scene.warm_up()
        scene.report("a", running=2, waiting=2, slots=2)
        scene.report("b", running=2, waiting=4, slots=2)
        assert scene.slow == ["b"]

    # Guards against a wait in a queue that is taken for the speed of the server.
    def test_a_wait_in_its_queue_does_not_count_as_its_speed(self):
        scene = Scene()
        scene.warm_up()
        for _ in range(4):
            scene.report("a", running=2, waiting=6, slots=2)
            scene.call("a", 4 * USUAL)
        scene.report("a")
        assert scene.slow == []

    def test_a_report_without_slots_tells_no_queue(self):
        scene = Scene()
        scene.warm_up()
        scene.report("a", running=9, waiting=9, slots=0)
        assert scene.slow == []


class TestServicesWithoutReports:
    # Guards against calls that are routed otherwise at deployments whose servers report
    # no load.
    @pytest.mark.parametrize(
        ("mode", "is_reported", "slow"),
        [
            (Switch.AUTO, False, []),
            (Switch.AUTO, True, ["a"]),
            (Switch.ON, False, ["a"]),
            (Switch.OFF, True, []),
        ],
    )
    def test_slow_servers_are_avoided_where_the_setting_says(
        self, mode, is_reported, slow
    ):
        scene = Scene(mode=mode)
        scene.warm_up()
        scene.call("a", SLOW, count=4)
        if is_reported:
            scene.report("b")
        assert scene.slow == slow


class TestRemovedServers:
    # Guards against memory that grows with each server that there has ever been.
    @pytest.mark.parametrize("reports_late", [False, True])
    def test_nothing_is_kept_of_them(self, reports_late):
        scene = Scene()
        scene.call("b")
        call = scene.times.begin("a", service="s", now=scene.now)
        scene.known.remove("a")
        scene.times.forget("a")
        scene.times.end(call, is_timed=True, now=scene.now)
        if reports_late:
            scene.report("a")
        assert scene.times.count_known() == 1

    def test_one_that_is_back_is_known(self):
        scene = Scene()
        call = scene.times.begin("a", service="s", now=scene.now)
        scene.times.forget("a")
        again = scene.times.begin("a", service="s", now=scene.now)
        scene.times.end(call, is_timed=True, now=scene.now)
        scene.times.end(again, is_timed=True, now=scene.now)
        assert scene.times.count_known() == 1


class TestEngines:
    # Guards against engines that are avoided for their report, which their placement
    # weighs: a spell is short beside a stream.
    def test_a_service_without_calls_has_no_slow_servers(self):
        scene = Scene()
        scene.report("a", 5)
        assert scene.slow == []


class TestReportedLoad:
    @pytest.mark.parametrize(
        ("text", "load"),
        [
            (b"3,1,6", make_load(running=3, waiting=1, slots=6)),
            (b" 1, 0 ,2,250", make_load(slowness=2.5)),
            (b"1,0,2,0", make_load(slowness=0.1)),
        ],
    )
    def test_it_is_decoded(self, text, load):
        assert decode_load(text) == load

    # Guards against a header of an endpoint that makes its answer fail.
    @pytest.mark.parametrize("text", [b"", b"1,2", b"1,2,3,4,5", b"-1,2,3", b"x,1,2"])
    def test_an_invalid_one_is_ignored(self, text):
        head = ResponseHead(status=200, headers=[(b"X-Instance-Load", text)])
        directives = read_directives(head, endpoint_id="a")
        assert directives.load is None
        assert "load" in directives.invalid_by_directive
        assert directives.unknown_headers == ()
