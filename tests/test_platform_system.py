"""The scaffolding of tests with hosts on the platform."""

import pytest

from passtally.front_host import FrontHost
from standins.platform_config import make_config
from tests.platform_system import PlatformSystem, run


class TestStop:
    # Guards against a run of tests that never ends: the sockets of a host that a failed
    # test left behind block the garbage collector, in the middle of another test.
    @pytest.mark.parametrize("is_stopped", [False, True])
    def test_a_host_that_a_failing_test_took_off_the_list_is_stopped(
        self, monkeypatch, is_stopped
    ):
        stopped: list[str] = []
        stop = FrontHost.stop

        async def record_stop(host: FrontHost) -> None:
            await stop(host)
            stopped.append(host.settings.host_id)

        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_runner("i-0")
            await system.add_host("front-0")
            await system.wait_ready()
            host = system.hosts.pop()
            if is_stopped:
                await stop(host)
            raise RuntimeError("the test fails")

        monkeypatch.setattr(FrontHost, "stop", record_stop)
        with pytest.raises(RuntimeError, match="the test fails"):
            run(test)
        assert stopped == ["front-0"]
