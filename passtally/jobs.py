"""Runs jobs, and takes over those whose host is gone when they are asked for.

Nothing of a job's answer is delivered before it is whole, so a job may be started
again from nothing; whichever host writes its end first decides the answer.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.config_store import ConfigStore
from passtally.decision import log_decision, log_event
from passtally.drain import Drain
from passtally.intents import platform_away
from passtally.job import JOBS_PREFIX, MAX_ANSWER_BYTES, Job, JobState, read_job
from passtally.membership import Gossip
from passtally.object_store import ConflictError, Platform, PlatformError
from passtally.outcome import Code, Failure, Outcome, RefusedError, refuse

KEEP = timedelta(hours=1)
EXPIRE_INTERVAL = timedelta(minutes=5)
END_PATIENCE = timedelta(minutes=10)
END_PAUSE = timedelta(seconds=2)
RETRY_AFTER = timedelta(seconds=2)

RunJob = Callable[[Job], Awaitable[bytes]]


class Jobs:
    """The jobs of this host, and the way to all others.

    Args:
        host_id: This host's name.
        store: Where jobs are written.
        platform: Where they are listed.
        gossip: Tells which hosts are alive.
        clock: The clock.
        drain: Counts the jobs that run.
        run_job: Runs one job and returns its answer's body.
    """

    def __init__(
        self,
        *,
        host_id: str,
        store: ConfigStore,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        drain: Drain,
        run_job: RunJob,
    ) -> None:
        self._host_id = host_id
        self._store = store
        self._platform = platform
        self._gossip = gossip
        self._clock = clock
        self._drain = drain
        self._run_job = run_job
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended_since: dict[str, timedelta] = {}

    async def submit(self, job: Job) -> None:
        """Accept a job: it is answered once the platform has it.

        Raises:
            RefusedError: The platform did not answer, or the host is full.
        """
        try:
            version = await self._store.put(job.key, job.to_json(), version=0)
        except PlatformError as error:
            raise platform_away(error) from error
        self._start(job, version)

    async def collect(self, job_id: str, workspace: str) -> Job:
        """Return a job as it is now; run it here if its host is gone.

        Raises:
            RefusedError: There is none of this workspace, or the platform is away.
        """
        try:
            stored = await self._platform.get(JOBS_PREFIX + job_id)
        except PlatformError as error:
            raise platform_away(error) from error
        job = read_job(bytes(stored.value)) if stored else None
        if job is None or job.workspace != workspace:
            raise refuse(
                Code.UNKNOWN_GENERATION,
                f"There is no generation {job_id!r} for this workspace.",
                status=404,
                step="collect",
            )
        if job.state is JobState.RUNNING and self._is_gone(job):
            return await self._take_over(job, stored.version)
        return job

    async def run(self) -> None:
        """Remove jobs that ended long ago, for ever."""
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL)
            try:
                await self.expire()
            except PlatformError as error:
                log_event("jobs", "Could not remove old jobs.", why=error)

    async def expire(self) -> None:
        """Remove jobs that this host has known as ended for the time they are kept."""
        now = self._clock.monotonic()
        listing = await self._platform.list_objects(JOBS_PREFIX)
        listed = {stored.key for stored in listing.objects}
        for key in self._ended_since.keys() - listed:
            del self._ended_since[key]
        for stored in listing.objects:
            if read_job(bytes(stored.value)).state is JobState.RUNNING:
                continue
            since = self._ended_since.setdefault(stored.key, now)
            if now - since >= KEEP:
                await self._store.remove(stored.key, version=None)

    def _is_gone(self, job: Job) -> bool:
        if job.holder == self._host_id:
            # A host that was restarted under its old name runs none of its jobs.
            return all(task.get_name() != job.id for task in self._tasks)
        views = {view.id: view for view in self._gossip.views()}
        return job.holder not in views or not views[job.holder].alive

    async def _take_over(self, job: Job, version: int) -> Job:
        taken = job.taken_over(self._host_id)
        try:
            version = await self._store.put(taken.key, taken.to_json(), version=version)
        except ConflictError:
            return job
        except PlatformError as error:
            raise platform_away(error) from error
        log_decision(
            "place",
            request=job.id,
            choice=self._host_id,
            reason="the job's host is out of reach",
            candidates=(job.holder,),
        )
        self._start(taken, version)
        return taken

    def _start(self, job: Job, version: int) -> None:
        task = asyncio.create_task(self._run_to_end(job, version), name=job.id)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_to_end(self, job: Job, version: int) -> None:
        try:
            with self._drain.track():
                answer = await self._run_job(job)
                if len(answer) > MAX_ANSWER_BYTES:
                    raise _too_long()
                ended = job.ended(JobState.DONE, answer)
        except RefusedError as error:
            ended = job.ended(JobState.FAILED, error.failure.to_json())
        await self._write_end(ended, version)

    async def _write_end(self, job: Job, version: int) -> None:
        """Write a job's end, through outages; another host's end stays."""
        deadline = self._clock.monotonic() + END_PATIENCE
        while self._clock.monotonic() < deadline:
            try:
                await self._store.put(job.key, job.to_json(), version=version)
                log_event("jobs", f"Ended as {job.state}.", request=job.id)
                return
            except ConflictError:
                log_event("jobs", "Another host ended it.", request=job.id)
                return
            except PlatformError as error:
                log_event("jobs", "Could not write.", request=job.id, why=error)
                await self._clock.sleep(END_PAUSE)


def _too_long() -> RefusedError:
    return RefusedError(
        Failure(
            code=Code.ANSWER_TOO_LONG,
            message="The answer is longer than a job can keep; stream it instead.",
            outcome=Outcome.UNKNOWN,
            status=500,
            step="collect",
        )
    )
