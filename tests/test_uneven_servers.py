"""Calls to servers of which some are slow at times, with real hosts on loopback.

Guards against calls that go on to a slow server while others are idle: hosts that know
a server only by the number of its open calls notice the slowness too late.
"""

import attrs
import pytest

from passtally.settings import Switch
from tests.platform_system import PlatformSystem, run
from tests.uneven_load import (
    CallOutcome,
    Play,
    UnevenLoad,
    all_fast,
    one_slow,
    one_slow_reporting,
    slow_spells,
    told_spells,
)

SECONDS = 12


def play(faults: Play, *, mode: Switch) -> CallOutcome:
    outcomes: list[CallOutcome] = []

    async def test(system: PlatformSystem) -> None:
        load = UnevenLoad(system)
        await load.start()
        for host in system.hosts:
            host.settings = attrs.evolve(host.settings, hedging=mode, avoid_slow=mode)
        outcomes.append(await load.play(faults, seconds=SECONDS))

    run(test)
    return outcomes[0]


class TestUnevenServers:
    @pytest.mark.parametrize(
        ("faults", "mode", "least"),
        [
            (all_fast, Switch.AUTO, 0.99),
            (one_slow, Switch.ON, 0.97),
            (one_slow_reporting, Switch.AUTO, 0.97),
            (slow_spells, Switch.ON, 0.95),
            (told_spells, Switch.AUTO, 0.97),
        ],
    )
    def test_calls_are_answered_in_time(self, faults, mode, least):
        assert play(faults, mode=mode).share_in_time >= least
