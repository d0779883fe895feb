"""The command that runs seeds of the soak: ``python -m soak --seeds 50 --jobs 4``."""

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
from soak.faults import FaultInjector
from soak.load import LoadFaultInjector
from soak.requests import RequestFaultInjector
from soak.settings_changes import SettingsFaultInjector
from soak.starts import StartFaultInjector
from soak.words import DirectiveFaultInjector
from soak.world import EVENTS, World

HOSTS = 4
ENGINES = 4
LOOKUPS = 2
CALLERS_BY_KIND = {"stream": 5, "call": 3, "booking": 4}
POLL_SECONDS = 0.3
#: Time without new faults before the recovery check, in seconds.
SETTLE_SECONDS = 6.0


@attrs.frozen(kw_only=True)
class Setup:
    """The parameters of one run.

    Attributes:
        seed: The seed of all generators.
        seconds: Time during which faults are injected, in seconds.
        hosts: Number of hosts.
        starts: Whether to inject faults at starts and stops of hosts.
        settings: Whether to change the settings of hosts while they serve.
        requests: Whether to send fatal requests and to let endpoints announce limits.
        words: Whether to let endpoints announce in their answers that they leave or
            ask for back-off, and to restore the store from older copies.
        versions: Whether endpoints of two software versions serve.
        load: Whether workspaces of two priorities compete, one of which floods the
            engines at times, and endpoints are slow at times.
    """

    seed: int
    seconds: float
    hosts: int = HOSTS
    starts: bool = True
    settings: bool = True
    requests: bool = True
    words: bool = True
    versions: bool = True
    load: bool = True


async def play(setup: Setup, folder: Path, evidence: Evidence) -> None:
    """Run one seed and check the promises."""
    rng = random.Random(setup.seed)
    world = World(
        folder=folder,
        evidence=evidence,
        rng=rng,
        has_versions=setup.versions,
        has_priorities=setup.load,
    )
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
        await _inject_faults(setup, world, evidence, rng)
        await _check_recovery(world, evidence, rng)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
        evidence.judge()


async def _inject_faults(
    setup: Setup, world: World, evidence: Evidence, rng: random.Random
) -> None:
    """Inject the faults of a seed, then wait until the system can have recovered."""
    series = [FaultInjector(world=world, evidence=evidence, rng=rng).run(setup.seconds)]
    # Each further series has its own generator, so that the draws of the first series
    # and of the callers do not depend on which series are enabled.
    own_rng = random.Random(f"starts of {setup.seed}")
    starts = StartFaultInjector(world=world, evidence=evidence, rng=own_rng)
    if setup.starts:
        series.append(starts.run(setup.seconds))
    if setup.settings:
        own_rng = random.Random(f"settings of {setup.seed}")
        changes = SettingsFaultInjector(world=world, evidence=evidence, rng=own_rng)
        series.append(changes.run(setup.seconds))
    if setup.requests:
        own_rng = random.Random(f"requests of {setup.seed}")
        requests = RequestFaultInjector(world=world, evidence=evidence, rng=own_rng)
        series.append(requests.run(setup.seconds))
    own_rng = random.Random(f"words of {setup.seed}")
    words = DirectiveFaultInjector(world=world, evidence=evidence, rng=own_rng)
    if setup.words:
        series.append(words.run(setup.seconds))
    own_rng = random.Random(f"load of {setup.seed}")
    load = LoadFaultInjector(world=world, evidence=evidence, rng=own_rng)
    if setup.load:
        series.append(load.run(setup.seconds))
    await asyncio.gather(*series)
    await asyncio.sleep(SETTLE_SECONDS)
    words.judge()
    if setup.load:
        await load.flood_in_quiet()
    if setup.starts:
        await starts.stop_in_quiet()


def _make_caller(
    kind: str,
    world: World,
    evidence: Evidence,
    rng: random.Random,
    *,
    disconnects: bool = True,
) -> Caller:
    return Caller(
        disconnects=disconnects,
        kind=kind,
        addresses_by_host=world.addresses_by_host,
        evidence=evidence,
        rng=rng,
        events=EVENTS,
    )


async def _read_versions(world: World, evidence: Evidence) -> None:
    """Record the version in force at each host until cancelled."""
    while True:
        for host in world.hosts_by_name.values():
            process_run = host.process_run
            version = await world.read_version(host)
            if version and process_run is host.process_run:
                evidence.versions_by_process_run.setdefault(
                    process_run.name, []
                ).append(version)
        await asyncio.sleep(POLL_SECONDS)


async def _check_recovery(world: World, evidence: Evidence, rng: random.Random) -> None:
    """Check that each host applies a new version and serves all kinds of requests."""
    world.change_config()
    await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
    for host in world.hosts_by_name.values():
        if not host.is_up:
            evidence.report(
                f"{host.name} ended with status {host.process_run.popen.poll()}"
            )
        version = await world.read_version(host)
        if version != world.version:
            evidence.report(f"{host.name} has version {version}, not {world.version}")
        for kind in CALLERS_BY_KIND:
            caller = _make_caller(kind, world, evidence, rng, disconnects=False)
            if not await caller.send_request(host.name):
                evidence.report(f"{host.name} does not serve a {kind} again")


def play_seed(setup: Setup) -> bool:
    """Run one seed, print its result and return whether all promises held."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{setup.seed}-"))
    evidence = Evidence()
    try:
        asyncio.run(play(setup, folder, evidence))
    except Exception:
        evidence.report(f"the soak itself failed: {traceback.format_exc()}")
    complete = sum(outcome.is_complete for outcome in evidence.tries)
    quiet = sum(evidence.is_quiet(request) for request in evidence.requests)
    kinds = sorted({record.kind for record in evidence.faults})
    print(
        f"seed {setup.seed}: {len(evidence.tries)} tries, {complete} answered,"
        f" {quiet} in quiet, {len(evidence.faults)} faults ({', '.join(kinds)}),"
        f" {len(evidence.violations)} broken"
    )
    for violation in evidence.violations:
        print(f"  {violation}")
    if evidence.violations:
        lines = [
            f"{fault.began_at:.2f} to {fault.ended_at:.2f} {fault.kind} {fault.target}"
            for fault in sorted(evidence.faults, key=lambda fault: fault.began_at)
        ]
        (folder / "faults.txt").write_text("\n".join(lines) + "\n")
        print(f"  logs and faults: {folder}")
    else:
        with contextlib.suppress(OSError):
            shutil.rmtree(folder)
    return not evidence.violations


@click.command()
@click.option("--seed", type=int, help="Run only this seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds to run.")
@click.option("--first", type=int, help="The first seed; random if not given.")
@click.option(
    "--seconds", type=float, default=20.0, help="Duration of fault injection."
)
@click.option(
    "--hosts",
    type=int,
    default=HOSTS,
    help="Number of hosts; above eight, some receive updates from watchers.",
)
@click.option(
    "--starts/--no-starts",
    default=True,
    help="Inject faults at starts and stops of hosts.",
)
@click.option(
    "--settings/--no-settings",
    default=True,
    help="Change the settings of hosts while they serve.",
)
@click.option(
    "--requests/--no-requests",
    default=True,
    help="Send fatal requests, and let endpoints announce request limits.",
)
@click.option(
    "--words/--no-words",
    default=True,
    help="Let endpoints announce directives, and restore older store copies.",
)
@click.option(
    "--versions/--no-versions",
    default=True,
    help="Serve with endpoints of two software versions.",
)
@click.option(
    "--load/--no-load",
    default=True,
    help="Flood the engines with routine streams, and make endpoints slow.",
)
@click.option("--jobs", type=int, default=1, help="Number of seeds to run at a time.")
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
    versions: bool,
    load: bool,
    jobs: int,
) -> None:
    """Run seeds of the soak; exit with 1 if a promise was broken."""
    # Faults stop stand-ins in the middle of answers; aiohttp logs errors for these.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    setup = Setup(
        seed=seed or 0,
        seconds=seconds,
        hosts=hosts,
        starts=starts,
        settings=settings,
        requests=requests,
        words=words,
        versions=versions,
        load=load,
    )
    if seed is not None:
        sys.exit(0 if play_seed(setup) else 1)
    start = first if first is not None else random.SystemRandom().randrange(1_000_000)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        setups = [
            attrs.evolve(setup, seed=number) for number in range(start, start + seeds)
        ]
        results = list(pool.map(_play_in_subprocess, setups))
    print(f"{results.count(True)} of {seeds} seeds held")
    sys.exit(0 if all(results) else 1)


def _play_in_subprocess(setup: Setup) -> bool:
    """Run a seed in a subprocess, so that several can run at a time."""
    command = [sys.executable, "-m", "soak"]
    command += [f"--seed={setup.seed}", f"--seconds={setup.seconds}"]
    command += [f"--hosts={setup.hosts}"]
    command.append("--starts" if setup.starts else "--no-starts")
    command.append("--settings" if setup.settings else "--no-settings")
    command.append("--requests" if setup.requests else "--no-requests")
    command.append("--words" if setup.words else "--no-words")
    command.append("--versions" if setup.versions else "--no-versions")
    command.append("--load" if setup.load else "--no-load")
    done = subprocess.run(command, capture_output=True, text=True)
    print(done.stdout + done.stderr, end="", flush=True)
    return done.returncode == 0


if __name__ == "__main__":
    main()
