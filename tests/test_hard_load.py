"""Callers that compete for too little room, with real hosts on loopback.

Three hosts and three engines, which serve some 40 streams a second; offered is twice as
much.
"""

from datetime import timedelta

import attrs
import pytest

from passtally.settings import Switch
from tests.contended_load import ContendedLoad, Kind, Outcome
from tests.platform_system import PlatformSystem, run

SECONDS = 5
SHORT_TARGET = timedelta(milliseconds=600)
LONG_TARGET = timedelta(seconds=2)
#: Least share of the urgent or small callers that are served in time.
LEAST_SHARE = 0.95
#: Least share of the streams of the flood that are in time among those that are served.
#: With LEAST_BUSY_SHARE it tells that the flood gets what the others leave; its share
#: of all that it sends depends on how fast the machine of the test is.
LEAST_FLOOD_IN_TIME = 0.9
#: Least share of the engines' slots that are busy, so that the flood gets all that is
#: left.
LEAST_BUSY_SHARE = 0.9


def play(
    kinds: list[Kind],
    *,
    mode: Switch = Switch.AUTO,
    least_busy_share: float = 0.0,
) -> dict[str, Outcome]:
    outcomes: dict[str, Outcome] = {}

    async def test(system: PlatformSystem) -> None:
        load = ContendedLoad(system, kinds)
        await load.start()
        for host in system.hosts:
            host.settings = attrs.evolve(host.settings, shared_admission=mode)
        outcomes.update(await load.play(seconds=SECONDS))
        assert load.busy_share >= least_busy_share

    run(test)
    return outcomes


def check_flood(flood: Outcome) -> None:
    assert flood.in_time >= LEAST_FLOOD_IN_TIME * len(flood.first_outputs)


class TestTwiceTheCapacity:
    # Guards against urgent requests that are refused since routine ones wait.
    def test_urgent_routes_are_served_beside_a_flood_of_routine_ones(self):
        outcomes = play(
            [
                Kind(name="flood", per_second=80, target=LONG_TARGET, rank=2),
                Kind(name="urgent", per_second=4, target=SHORT_TARGET, rank=0),
            ],
            least_busy_share=LEAST_BUSY_SHARE,
        )
        assert outcomes["urgent"].share_in_time >= LEAST_SHARE
        check_flood(outcomes["flood"])

    # Guards against priorities of workspaces that nobody asks for.
    def test_urgent_workspaces_are_served_beside_a_flood_of_routine_ones(self):
        outcomes = play(
            [
                Kind(name="flood", per_second=80, target=LONG_TARGET, workspace_rank=2),
                Kind(
                    name="urgent", per_second=4, target=SHORT_TARGET, workspace_rank=0
                ),
            ],
            least_busy_share=LEAST_BUSY_SHARE,
        )
        assert outcomes["urgent"].share_in_time >= LEAST_SHARE
        check_flood(outcomes["flood"])

    # Guards against a workspace that pays for the flood of another one.
    def test_a_small_workspace_is_served_beside_a_flooding_one(self):
        outcomes = play(
            [
                Kind(name="flood", per_second=80, target=timedelta(seconds=1)),
                Kind(name="small", per_second=4, target=timedelta(seconds=1)),
            ],
            mode=Switch.ON,
            least_busy_share=LEAST_BUSY_SHARE,
        )
        assert outcomes["small"].share_in_time >= LEAST_SHARE
        check_flood(outcomes["flood"])


class TestThirdOfTheCapacity:
    # Guards against requests that are refused or held although there is room.
    @pytest.mark.parametrize("mode", [Switch.OFF, Switch.ON])
    def test_nothing_is_refused_or_late(self, mode):
        kinds = [
            Kind(name="routine", per_second=9, target=SHORT_TARGET, rank=2),
            Kind(name="urgent", per_second=4, target=SHORT_TARGET, rank=0),
        ]
        for outcome in play(kinds, mode=mode).values():
            assert (outcome.refused, outcome.in_time) == (0, outcome.sent)
