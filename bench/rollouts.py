"""Simulates many roll-outs in virtual time and summarizes their outcomes.

    python -m bench.rollouts [--seeds N] [--hosts N] [--test mixture|ratio] [--jobs N]

Each row is one kind of version or disturbance. The columns are the roll-outs recorded
as completed, those without a recorded state, those in which the new version got more
requests than a bad version may get, those in which it got requests later than five
seconds after its 50th bad answer, the bad answers (median and 99th percentile), the
median number of requests to the new version, and the time to the end in seconds (median
and maximum).
"""

import statistics
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import click

from passtally.rollout import RecordedState
from passtally.sequential_test import RateTest, RatioTest
from passtally.version_judge import VersionJudge
from standins.rollout_fleet import (
    RolloutResult,
    RolloutScenario,
    VersionBehaviour,
    simulate_rollout,
)

GOOD = VersionBehaviour()
#: Good version, and bad versions as in the requirements of the deployment: they fail a
#: share of their requests or take several times as long, at once, later or on one
#: route.
VERSIONS_BY_NAME: Mapping[str, VersionBehaviour] = {
    "good": GOOD,
    "fails 1.0": VersionBehaviour(failing=1.0),
    "fails 0.5": VersionBehaviour(failing=0.5),
    "fails 0.3": VersionBehaviour(failing=0.3),
    "fails 0.2": VersionBehaviour(failing=0.2),
    "fails 0.1": VersionBehaviour(failing=0.1),
    "slow x8": VersionBehaviour(slower=8.0),
    "slow x3": VersionBehaviour(slower=3.0),
    "slow x2": VersionBehaviour(slower=2.0),
    "slow x4, half": VersionBehaviour(slower=4.0, slow_part=0.5),
    "fails 0.5 after 3 s": VersionBehaviour(failing=0.5, from_second=3.0),
    "slow x4 after 3 s": VersionBehaviour(slower=4.0, from_second=3.0),
    "fails 0.5 on one route": VersionBehaviour(failing=0.5, on_route="r1"),
    "slow x4 on one route": VersionBehaviour(slower=4.0, on_route="r1"),
}
#: Disturbances during a roll-out, simulated with a good and with a bad version.
TROUBLES_BY_NAME: Mapping[str, Mapping[str, float]] = {
    "hosts start anew": {"host_crashes": 4},
    "a third cut off": {"partitioned_hosts": 0.34},
    "store away for 3 s": {"store_down": 3.0},
    "store away to the end": {"store_down": 20.0},
    "one endpoint fails": {"faulty_endpoints": 1},
    "many failures of both": {"baseline_failing": 0.15},
}
TROUBLED = VersionBehaviour(failing=0.5)


def make_ratio_test(baseline: float, tolerated: float, error: float) -> RateTest:
    """Return Wald's sequential ratio test, to compare with the default test."""
    return RatioTest(baseline=baseline, high=tolerated, error=error)


def list_kinds() -> dict[str, RolloutScenario]:
    """Return the simulations by name; the caller sets seed and fleet size."""
    plays = {
        name: RolloutScenario(seed=0, version=version)
        for name, version in VERSIONS_BY_NAME.items()
    }
    for name, trouble in TROUBLES_BY_NAME.items():
        plays[f"good, {name}"] = RolloutScenario(seed=0, version=GOOD, **trouble)
        plays[f"fails 0.5, {name}"] = RolloutScenario(
            seed=0, version=TROUBLED, **trouble
        )
    return plays


def play_one(play: RolloutScenario, *, uses_ratio: bool) -> RolloutResult:
    """Simulate one roll-out, with Wald's ratio test if ``uses_ratio``."""
    judge = VersionJudge(make_test=make_ratio_test) if uses_ratio else None
    return simulate_rollout(play, judge=judge)


def summarize(name: str, results: Sequence[RolloutResult]) -> str:
    """Return the table row of one kind of roll-out."""
    completed = sum(item.state is RecordedState.COMPLETED for item in results)
    over = sum(item.is_over_bound for item in results)
    late = sum(item.after_limit > 0 for item in results)
    bad = sorted(item.bad for item in results)
    ended = sorted(item.ended_at for item in results)
    unrecorded = sum(item.state is None for item in results)
    sent = statistics.median(item.sent_new for item in results)
    return (
        f"| {name} | {completed} of {len(results)} | {unrecorded} | {over} | {late}"
        f" | {statistics.median(bad):.0f}, {bad[int(0.99 * (len(bad) - 1))]}"
        f" | {sent:.0f} | {statistics.median(ended):.1f}, {ended[-1]:.1f} |"
    )


@click.command()
@click.option("--seeds", default=20, help="Number of roll-outs of each kind.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--hosts", default=6)
@click.option("--endpoints", default=12)
@click.option("--rate", default=60.0, help="Requests per second.")
@click.option(
    "--within", default=12.0, help="Time limit of the roll-out order, in seconds."
)
@click.option("--test", type=click.Choice(["mixture", "ratio"]), default="mixture")
@click.option(
    "--kind", default="", help="Run only kinds whose names contain this text."
)
@click.option("--jobs", default=2)
def main(
    seeds: int,
    first: int,
    hosts: int,
    endpoints: int,
    rate: float,
    within: float,
    test: str,
    kind: str,
    jobs: int,
) -> None:
    """Simulate roll-outs and print a table of their outcomes."""
    size = {
        "hosts": hosts,
        "endpoints": endpoints,
        "per_second": rate,
        "within": within,
    }
    click.echo("| kind | completed | none | over | late | bad | sent | ended |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    work = partial(play_one, uses_ratio=test == "ratio")
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        for name, play in list_kinds().items():
            if kind not in name:
                continue
            plays = [
                attrs.evolve(play, seed=first + number, **size)
                for number in range(seeds)
            ]
            click.echo(summarize(name, list(pool.map(work, plays))))


if __name__ == "__main__":
    main()
