"""Odd values in what hosts read: nested too deep, too large, out of range.

Guards against an error that a decoder does not name. Such an error ends the task that
follows the store, which then reads the same value again after each restart.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import eliot
import pytest
from hypothesis import given, settings

from passtally.platform.decode import decode_routes
from standins.platform_config import LOOKUPS, make_config
from tests.odd_json import odd_versions, replace_part
from tests.platform_system import PlatformSystem, run

IGNORED_CONFIG = "config: Ignored a broken configuration."
TASK_FAILED = "daemon: Task failed, restarting."


@pytest.fixture
def logged() -> Iterator[list[dict[str, Any]]]:
    """The events that hosts log during a test."""
    events: list[dict[str, Any]] = []
    eliot.add_destinations(events.append)
    yield events
    eliot.remove_destination(events.append)


def check_total(decode: Callable[[bytes], object], spec: bytes) -> None:
    """Check that a decoder returns a value, or raises the error that it names."""
    try:
        decode(spec)
    except ValueError as error:
        assert str(error)


class TestConfiguration:
    @settings(deadline=None, derandomize=True)
    @given(odd_versions(make_config()))
    def test_it_is_decoded_or_rejected(self, spec):
        check_total(decode_routes, spec)

    @pytest.mark.parametrize(
        "name", ["timeout_ms", "target_latency_ms", "target_gap_ms"]
    )
    @pytest.mark.parametrize("value", [b"1e300", b"-1", b"1" + b"0" * 30])
    def test_a_duration_out_of_range_is_rejected(self, name, value):
        with pytest.raises(ValueError, match=name):
            decode_routes(replace_part(make_config(), ("routes", 0, name), value))

    def test_the_error_names_the_version(self):
        """Guards against a log line that does not say which version is not followed."""
        spec = replace_part(make_config(7), ("routes", 0, "timeout_ms"), b"1e300")
        with pytest.raises(ValueError, match="version 7"):
            decode_routes(spec)


def odd_config(version: int) -> dict:
    """Return a configuration with a time limit that no duration can hold."""
    config = make_config(version)
    config["routes"][0]["timeout_ms"] = 1e300
    return config


class TestConfigurationOnThePlatform:
    def test_the_one_before_stays_in_force(self, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(1))
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            system.store.put("config", "main", odd_config(2))
            while not find(logged, IGNORED_CONFIG):
                await asyncio.sleep(0.01)
            assert host.routes.current.version == 1
            assert (await system.send("/look/1")).status == 200
            system.store.put("config", "main", make_config(3))
            while host.routes.current.version != 3:
                await asyncio.sleep(0.01)
            assert (await system.send("/look/1")).status == 200

        run(test)
        check_log(logged)

    def test_a_host_starts_with_the_next_good_one(self, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", odd_config(2))
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            while not find(logged, IGNORED_CONFIG):
                await asyncio.sleep(0.01)
            assert not host.is_ready
            assert (await system.send("/look/1")).status == 503
            system.store.put("config", "main", make_config(3))
            await system.wait_ready()
            assert (await system.send("/look/1")).status == 200

        run(test)
        check_log(logged)


def check_log(events: list[dict[str, Any]]) -> None:
    """Check that one line tells the operator, and that no task was restarted."""
    assert not find(events, TASK_FAILED)
    (event,) = find(events, IGNORED_CONFIG)
    assert "version 2" in event["why"]


def find(events: list[dict[str, Any]], message: str) -> list[dict[str, Any]]:
    return [event for event in events if event.get("message") == message]
