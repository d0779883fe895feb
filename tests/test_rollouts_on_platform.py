"""Roll-outs on the platform: decoding of orders, and end-to-end runs with real hosts.

The end-to-end tests store an order and start endpoints of two versions. They guard
against hosts that fail to follow an order, or to record its outcome exactly once.
"""

import asyncio
from datetime import timedelta

import msgspec
import pytest

from passtally.object_store import StoredObject
from passtally.platform.rollout_object import decode_rollout, encode_status
from passtally.rollout import RecordedState, RolloutState
from standins.platform_config import LOOKUPS, make_config
from tests.platform_system import PlatformSystem, run

BOUNDS = {"exposure_share": "0.1", "exposure_slack": "50"}
ORDER = {"service": LOOKUPS, "target_version": "v2", "duration_s": 4}


def stored(spec: object, status: object = None, **metadata) -> StoredObject:
    head = {"name": LOOKUPS, "revision": 7, "created": 3} | metadata
    value = msgspec.json.encode({"metadata": head, "spec": spec, "status": status})
    return StoredObject(key=f"rollouts/{LOOKUPS}", version=7, value=msgspec.Raw(value))


class TestOrder:
    def test_it_is_decoded(self):
        record = decode_rollout(stored(ORDER))
        assert record.state is None
        assert record.object_version == 7
        assert record.order.version == "v2"
        assert record.order.within == timedelta(seconds=4)

    @pytest.mark.parametrize(
        ("word", "state"),
        [
            ("running", RecordedState.MOVING),
            ("completed", RecordedState.COMPLETED),
            ("rolled_back", RecordedState.ROLLED_BACK),
            ("resting", None),
        ],
    )
    def test_the_recorded_state_is_decoded(self, word, state):
        status = {"state": word, "target_version": "v2"}
        assert decode_rollout(stored(ORDER, status)).state is state

    @pytest.mark.parametrize(
        "status", [{"state": "completed", "target_version": "v1"}, {}, 7, "done"]
    )
    def test_a_status_of_another_order_or_writer_is_ignored(self, status):
        assert decode_rollout(stored(ORDER, status)).state is None

    def test_a_recreated_order_differs_but_a_new_revision_does_not(self):
        first = decode_rollout(stored(ORDER))
        again = decode_rollout(stored(ORDER, created=9))
        changed = decode_rollout(stored(ORDER, revision=8))
        assert first.order != again.order
        assert first.order == changed.order

    @pytest.mark.parametrize(
        "change",
        [
            {"service": "other"},
            {"service": None},
            {"target_version": ""},
            {"target_version": 2},
            {"duration_s": 0},
            {"duration_s": -1},
            {"duration_s": "soon"},
            {"duration_s": 1e300},
        ],
    )
    def test_an_invalid_order_is_rejected(self, change):
        with pytest.raises(ValueError, match=r"."):
            decode_rollout(stored(ORDER | change))

    def test_a_status_names_the_object_revision_that_it_is_based_on(self):
        body = encode_status(
            LOOKUPS, decode_rollout(stored(ORDER)), RecordedState.ROLLED_BACK
        )
        assert msgspec.json.decode(body) == {
            "metadata": {"name": LOOKUPS, "revision": 7},
            "status": {"state": "rolled_back", "target_version": "v2"},
        }


async def start(system: PlatformSystem, **faults) -> None:
    """Start a host and endpoints of two versions, and order the new version.

    Args:
        system: The system to use.
        faults: The faults of the new version's runners, by attribute name.
    """
    system.store.put("config", "main", make_config())
    for name in ("i-old1", "i-old2"):
        runner = await system.add_runner(name, LOOKUPS)
        system.store.put("servers", name, runner.entry(LOOKUPS) | {"born": 1})
    host = await system.add_host(**BOUNDS)
    await system.wait_ready()
    system.store.put("rollouts", LOOKUPS, ORDER)
    while not host.rollouts.states_by_service:
        await asyncio.sleep(0.01)
    for name in ("i-new1", "i-new2", "i-new3"):
        runner = await system.add_runner(name, LOOKUPS)
        entry = runner.entry(LOOKUPS) | {"version": "v2", "born": 2}
        system.store.put("servers", name, entry)
        for fault, value in faults.items():
            setattr(runner.faults, fault, value)


async def send_until(system: PlatformSystem, states: set[RolloutState]) -> int:
    """Send requests until the roll-out is in one of the states; return their number."""
    host = system.hosts[0]
    sent = 0
    while host.rollouts.states_by_service[LOOKUPS] not in states:
        await asyncio.gather(*(system.send("/look/1") for _ in range(4)))
        await asyncio.sleep(0.02)
        sent += 4
    return sent


def count_ran(system: PlatformSystem, prefix: str) -> int:
    runners = system.runners.values()
    return sum(len(item.ran) for item in runners if item.name.startswith(prefix))


class TestOnThePlatform:
    def test_a_bad_version_is_removed_and_the_rollback_recorded_once(self):
        async def test(system: PlatformSystem) -> None:
            await start(system, own_status=500)
            sent = await send_until(system, {RolloutState.ROLLED_BACK})
            ran = count_ran(system, "i-new")
            assert 0 < ran <= 0.1 * sent + 50
            assert system.store.statuses == [
                {"state": "rolled_back", "target_version": "v2"}
            ]
            for _ in range(20):
                assert (await system.send("/look/1")).status == 200
            assert count_ran(system, "i-new") == ran

        run(test)

    def test_a_good_version_gets_all_requests_before_the_old_one_is_stopped(self):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            await send_until(system, {RolloutState.COMPLETING})
            old = count_ran(system, "i-old")
            await send_until(system, {RolloutState.COMPLETED})
            assert count_ran(system, "i-old") <= old + 4
            assert [item["state"] for item in system.store.statuses] == [
                "running",
                "completed",
            ]
            for name in ("i-old1", "i-old2"):
                await system.runners[name].stop()
            for _ in range(20):
                assert (await system.send("/look/1")).status == 200

        run(test)

    def test_both_versions_serve_after_the_order_is_removed(self):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            host = system.hosts[0]
            system.store.remove("rollouts", LOOKUPS)
            while host.rollouts.states_by_service:
                await asyncio.sleep(0.01)
            while not host.fleet.is_usable("i-new1"):
                await asyncio.sleep(0.05)
            assert host.fleet.is_usable("i-old1")

        run(test)

    def test_an_order_that_cannot_be_decoded_changes_nothing(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_runner("i-old1", LOOKUPS)
            host = await system.add_host(**BOUNDS)
            await system.wait_ready()
            system.store.put("rollouts", LOOKUPS, {"service": 7})
            system.store.put("rollouts", "other", ORDER | {"service": "other"})
            while "other" not in host.rollouts.states_by_service:
                await asyncio.sleep(0.01)
            assert LOOKUPS not in host.rollouts.states_by_service
            assert (await system.send("/look/1")).status == 200

        run(test)

    def test_a_new_version_waits_for_an_order(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_runner("i-old1", LOOKUPS)
            host = await system.add_host(**BOUNDS)
            await system.wait_ready()
            assert (await system.send("/look/1")).status == 200
            entry = system.runners["i-old1"].entry(LOOKUPS) | {"version": "v2"}
            system.store.put("servers", "i-new1", entry | {"address": "127.0.0.1:1"})
            while "i-new1" not in host.catalog.endpoints_by_id:
                await asyncio.sleep(0.01)
            assert not host.fleet.is_usable("i-new1")
            while not host.fleet.is_usable("i-new1"):
                await asyncio.sleep(0.05)

        run(test)

    def test_a_host_that_starts_during_a_roll_out_uses_the_old_version(self):
        """Guards against use of the new version before the order is known.

        The host does not list orders itself but receives them from the watcher, and it
        may know the endpoints of both versions before.
        """

        async def test(system: PlatformSystem) -> None:
            await start(system)
            seed = system.hosts[0].settings.peer_listen
            late = await system.add_host("front-2", str(seed), **BOUNDS)
            while not late.is_ready or len(late.catalog.endpoints_by_id) < 5:
                await asyncio.sleep(0.01)
            while not late.rollouts.states_by_service:
                assert not late.fleet.is_usable("i-new1")
                assert late.fleet.is_usable("i-old1")
                await asyncio.sleep(0.01)

        run(test)

    def test_without_trial_settings_orders_are_not_followed(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_runner("i-old1", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            assert host.rollouts is None

        run(test)
