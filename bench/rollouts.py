"""Plays many roll-outs in virtual time, and tells how they end.

    python -m bench.rollouts [--seeds N] [--hosts N] [--test mixture|ratio] [--jobs N]

Each row is one kind of version or trouble: how often it was recorded as good, how often
the new version got more requests than a bad one may, the bad answers until roll-back,
and the time until the end.
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
    RolloutPlay,
    RolloutResult,
    VersionBehaviour,
    play_rollout,
)

GOOD = VersionBehaviour()
#: Bad versions as the deployment's sheet tells of them: they fail a share of what they
#: run or take several times as long, at once or later, or on one route.
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
#: Trouble beside a roll-out, of a good version and of a bad one.
TROUBLES_BY_NAME: Mapping[str, Mapping[str, float]] = {
    "hosts start anew": {"kills": 4},
    "a third cut off": {"cut_hosts": 0.34},
    "store away for 3 s": {"store_down": 3.0},
    "store away to the end": {"store_down": 20.0},
    "one endpoint fails": {"grey": 1},
    "many failures of both": {"usual_failing": 0.15},
}
TROUBLED = VersionBehaviour(failing=0.5)


def make_ratio_test(baseline: float, tolerated: float, error: float) -> RateTest:
    """Return Wald's test in place of the one that is used."""
    return RatioTest(baseline=baseline, high=tolerated, error=error)


def list_kinds() -> dict[str, RolloutPlay]:
    """Return what is played, by its name; the seed and the size are set later."""
    plays = {
        name: RolloutPlay(seed=0, version=version)
        for name, version in VERSIONS_BY_NAME.items()
    }
    for name, trouble in TROUBLES_BY_NAME.items():
        plays[f"good, {name}"] = RolloutPlay(seed=0, version=GOOD, **trouble)
        plays[f"fails 0.5, {name}"] = RolloutPlay(seed=0, version=TROUBLED, **trouble)
    return plays


def play_one(play: RolloutPlay, *, uses_ratio: bool) -> RolloutResult:
    """Play one roll-out."""
    judge = VersionJudge(make_test=make_ratio_test) if uses_ratio else None
    return play_rollout(play, judge=judge)


def summarize(name: str, results: Sequence[RolloutResult]) -> str:
    """Return one row of the table."""
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
@click.option("--seeds", default=20, help="Roll-outs of each kind.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--hosts", default=6)
@click.option("--endpoints", default=12)
@click.option("--rate", default=60.0, help="Requests a second.")
@click.option("--within", default=12.0, help="The order's time, in seconds.")
@click.option("--test", type=click.Choice(["mixture", "ratio"]), default="mixture")
@click.option("--kind", default="", help="Only kinds whose names hold this.")
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
    """Play roll-outs and print a table."""
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
