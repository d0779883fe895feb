"""Runs seeds of the soak: ``python -m soak --seeds 50 --jobs 4``."""

import asyncio
import contextlib
import logging
import random
import shutil
import subprocess
import sys
import tempfile
import traceback
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import click

from soak.caller import Caller
from soak.evidence import APPLY_SECONDS, MARGIN_SECONDS, Evidence
from soak.faults import Saboteur
from soak.requests import RequestSaboteur
from soak.settings_changes import SettingsSaboteur
from soak.starts import StartSaboteur
from soak.words import WordSaboteur
from soak.world import EVENTS, World

HOSTS = 4
ENGINES = 4
LOOKUPS = 2
CALLERS_BY_KIND = {"stream": 5, "call": 3, "booking": 4}
POLL_SECONDS = 0.3
#: How long all is left alone before the last round, in seconds.
HEAL_SECONDS = 6.0


@attrs.frozen(kw_only=True)
class Setup:
    """What one run plays.

    Attributes:
        seed: What is drawn.
        seconds: How long faults come.
        hosts: How many hosts there are.
        starts: Whether hosts meet trouble at their starts and stops.
        settings: Whether hosts are told other settings while they serve.
        requests: Whether requests end what runs them, and endpoints name limits.
        words: Whether endpoints leave, and ask for rest, by their answers, and the
            store comes back from older copies.
    """

    seed: int
    seconds: float
    hosts: int = HOSTS
    starts: bool = True
    settings: bool = True
    requests: bool = True
    words: bool = True


async def play(setup: Setup, folder: Path, evidence: Evidence) -> None:
    """Play one seed and judge what was seen."""
    rng = random.Random(setup.seed)
    world = World(folder=folder, evidence=evidence, rng=rng)
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start(hosts=setup.hosts, engines=ENGINES, lookups=LOOKUPS)
        tasks.append(asyncio.create_task(world.restart_ended()))
        if not await world.wait_configured():
            return
        callers = [
            _make_caller(kind, world, evidence, random.Random(rng.random()))
            for kind, count in CALLERS_BY_KIND.items()
            for _ in range(count)
        ]
        tasks += [asyncio.create_task(caller.run()) for caller in callers]
        tasks.append(asyncio.create_task(_read_versions(world, evidence)))
        await _bring_trouble(setup, world, evidence, rng)
        await _last_round(world, evidence, rng)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
        evidence.judge()


async def _bring_trouble(
    setup: Setup, world: World, evidence: Evidence, rng: random.Random
) -> None:
    """Play the faults of a seed, then let all heal."""
    series = [Saboteur(world=world, evidence=evidence, rng=rng).run(setup.seconds)]
    # Not of the same numbers: what else a seed draws stays as it is.
    own = random.Random(f"starts of {setup.seed}")
    starts = StartSaboteur(world=world, evidence=evidence, rng=own)
    if setup.starts:
        series.append(starts.run(setup.seconds))
    if setup.settings:
        own = random.Random(f"settings of {setup.seed}")
        changes = SettingsSaboteur(world=world, evidence=evidence, rng=own)
        series.append(changes.run(setup.seconds))
    if setup.requests:
        own = random.Random(f"requests of {setup.seed}")
        requests = RequestSaboteur(world=world, evidence=evidence, rng=own)
        series.append(requests.run(setup.seconds))
    own = random.Random(f"words of {setup.seed}")
    words = WordSaboteur(world=world, evidence=evidence, rng=own)
    if setup.words:
        series.append(words.run(setup.seconds))
    await asyncio.gather(*series)
    await asyncio.sleep(HEAL_SECONDS)
    words.judge()
    if setup.starts:
        await starts.stop_in_quiet()


def _make_caller(
    kind: str,
    world: World,
    evidence: Evidence,
    rng: random.Random,
    *,
    leaves: bool = True,
) -> Caller:
    return Caller(
        leaves=leaves,
        kind=kind,
        addresses_by_host=world.addresses_by_host,
        evidence=evidence,
        rng=rng,
        events=EVENTS,
    )


async def _read_versions(world: World, evidence: Evidence) -> None:
    """Read the version in force at each host, for ever."""
    while True:
        for host in world.hosts_by_name.values():
            life = host.life
            version = await world.read_version(host)
            if version and life is host.life:
                evidence.versions_by_life.setdefault(life.name, []).append(version)
        await asyncio.sleep(POLL_SECONDS)


async def _last_round(world: World, evidence: Evidence, rng: random.Random) -> None:
    """Check that all is well again: each host serves all, by the newest version."""
    world.change_config()
    await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
    for host in world.hosts_by_name.values():
        if not host.is_up:
            evidence.report(f"{host.name} ended with status {host.life.popen.poll()}")
        version = await world.read_version(host)
        if version != world.version:
            evidence.report(f"{host.name} has version {version}, not {world.version}")
        for kind in CALLERS_BY_KIND:
            caller = _make_caller(kind, world, evidence, rng, leaves=False)
            if not await caller.ask(host.name):
                evidence.report(f"{host.name} does not serve a {kind} again")


def play_seed(setup: Setup) -> bool:
    """Play one seed, print what came of it and return whether all promises held."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{setup.seed}-"))
    evidence = Evidence()
    try:
        asyncio.run(play(setup, folder, evidence))
    except Exception:
        evidence.report(f"the soak itself failed: {traceback.format_exc()}")
    whole = sum(seen.is_whole for seen in evidence.tries)
    quiet = sum(evidence.is_quiet(asked) for asked in evidence.asked)
    kinds = sorted({trouble.kind for trouble in evidence.troubles})
    print(
        f"seed {setup.seed}: {len(evidence.tries)} tries, {whole} answered,"
        f" {quiet} in quiet, {len(evidence.troubles)} faults ({', '.join(kinds)}),"
        f" {len(evidence.violations)} broken"
    )
    for violation in evidence.violations:
        print(f"  {violation}")
    if evidence.violations:
        lines = [
            f"{fault.began_at:.2f} to {fault.ended_at:.2f} {fault.kind} {fault.target}"
            for fault in sorted(evidence.troubles, key=lambda fault: fault.began_at)
        ]
        (folder / "faults.txt").write_text("\n".join(lines) + "\n")
        print(f"  logs and faults: {folder}")
    else:
        with contextlib.suppress(OSError):
            shutil.rmtree(folder)
    return not evidence.violations


@click.command()
@click.option("--seed", type=int, help="Play this seed alone.")
@click.option("--seeds", type=int, default=1, help="How many fresh seeds to play.")
@click.option("--first", type=int, help="The first of them; drawn if not given.")
@click.option("--seconds", type=float, default=20.0, help="How long faults come.")
@click.option(
    "--hosts",
    type=int,
    default=HOSTS,
    help="How many hosts; of more than eight some learn from others that watch.",
)
@click.option(
    "--starts/--no-starts",
    default=True,
    help="Whether hosts meet trouble at their starts and stops.",
)
@click.option(
    "--settings/--no-settings",
    default=True,
    help="Whether hosts are told other settings while they serve.",
)
@click.option(
    "--requests/--no-requests",
    default=True,
    help="Whether requests end what runs them, and endpoints name limits.",
)
@click.option(
    "--words/--no-words",
    default=True,
    help="Whether endpoints speak by their answers, and the store forgets.",
)
@click.option("--jobs", type=int, default=1, help="How many seeds at a time.")
def main(
    seed: int | None,
    seeds: int,
    first: int | None,
    seconds: float,
    hosts: int,
    starts: bool,
    settings: bool,
    requests: bool,
    words: bool,
    jobs: int,
) -> None:
    """Play seeds of the soak; fails where a promise was broken."""
    # Stand-ins that are stopped in the middle of an answer are part of the run.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    setup = Setup(
        seed=seed or 0,
        seconds=seconds,
        hosts=hosts,
        starts=starts,
        settings=settings,
        requests=requests,
        words=words,
    )
    if seed is not None:
        sys.exit(0 if play_seed(setup) else 1)
    start = first if first is not None else random.SystemRandom().randrange(1_000_000)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        setups = [
            attrs.evolve(setup, seed=number) for number in range(start, start + seeds)
        ]
        results = list(pool.map(_play_apart, setups))
    print(f"{results.count(True)} of {seeds} seeds held")
    sys.exit(0 if all(results) else 1)


def _play_apart(setup: Setup) -> bool:
    """Play a seed in a process of its own, so that several can run at a time."""
    command = [sys.executable, "-m", "soak"]
    command += [f"--seed={setup.seed}", f"--seconds={setup.seconds}"]
    command += [f"--hosts={setup.hosts}"]
    command.append("--starts" if setup.starts else "--no-starts")
    command.append("--settings" if setup.settings else "--no-settings")
    command.append("--requests" if setup.requests else "--no-requests")
    command.append("--words" if setup.words else "--no-words")
    done = subprocess.run(command, capture_output=True, text=True)
    print(done.stdout + done.stderr, end="", flush=True)
    return done.returncode == 0


if __name__ == "__main__":
    main()
