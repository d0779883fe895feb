"""Runs jobs, and takes over a job with a dead host when its answer is requested.

A job's answer is delivered only when it is complete, so another host may restart the
job from its beginning. The first host that writes a result determines the answer.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.config_store import ConfigStore
from passtally.decision import log_decision, log_event
from passtally.drain import Drain
from passtally.intents import platform_away
from passtally.job import JOBS_PREFIX, MAX_ANSWER_BYTES, Job, JobState
from passtally.membership import Gossip
from passtally.object_store import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
    UnavailableError,
    decode_stored,
)
from passtally.outcome import Code, Failure, Outcome, RefusedError, refuse
from passtally.task_set import TaskSet

RETENTION_TIME = timedelta(hours=1)
EXPIRE_INTERVAL = timedelta(minutes=5)
WRITE_TIMEOUT = timedelta(minutes=10)
WRITE_RETRY_DELAY = timedelta(seconds=2)
RETRY_AFTER = timedelta(seconds=2)

RunJob = Callable[[Job], Awaitable[bytes]]


class Jobs:
    """Runs the jobs of this host, and reads those of all hosts.

    Args:
        host_id: The id of this host.
        store: Writes and removes jobs.
        platform: Reads and lists jobs.
        gossip: Reports which hosts are alive.
        clock: The clock.
        drain: Counts the running jobs.
        run_job: Runs one job and returns the body of its answer.
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
        self._tasks = TaskSet()
        self._ended_seen_at: dict[str, timedelta] = {}

    async def submit(self, job: Job) -> None:
        """Store a job in the platform, then start it on this host.

        Raises:
            RefusedError: The platform did not store the job.
        """
        try:
            version = await self._store.put(job.key, job.to_json(), version=0)
        except PlatformError as error:
            raise platform_away(error) from error
        self._start(job, version)

    async def collect(self, job_id: str, workspace: str) -> Job:
        """Return a job in its current state; take it over if its host is dead.

        Raises:
            RefusedError: The workspace has no such job, or the platform is unreachable.
        """
        try:
            stored = await self._platform.get(JOBS_PREFIX + job_id)
            job = decode_stored(stored, Job) if stored else None
        except PlatformError as error:
            raise platform_away(error) from error
        if job is None or job.workspace != workspace:
            raise refuse(
                Code.UNKNOWN_GENERATION,
                f"There is no generation {job_id!r} for this workspace.",
                status=404,
                step="collect",
            )
        if job.state is JobState.RUNNING and self._is_orphaned(job):
            return await self._take_over(job, stored.version)
        return job

    async def run(self) -> None:
        """Remove expired jobs at regular intervals, until cancelled."""
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL)
            try:
                await self.expire()
            except PlatformError as error:
                log_event("jobs", "Could not remove expired jobs.", why=error)

    async def expire(self) -> None:
        """Remove the jobs that this host has seen as ended for ``RETENTION_TIME``."""
        now = self._clock.monotonic()
        listing = await self._platform.list_objects(JOBS_PREFIX)
        listed = {stored.key for stored in listing.objects}
        for key in self._ended_seen_at.keys() - listed:
            del self._ended_seen_at[key]
        for stored in listing.objects:
            if not self._has_ended(stored):
                continue
            since = self._ended_seen_at.setdefault(stored.key, now)
            if now - since >= RETENTION_TIME:
                await self._store.remove(stored.key, version=None)

    def _has_ended(self, stored: StoredObject) -> bool:
        """Return whether an object is a job that has ended; leave any other alone."""
        try:
            return decode_stored(stored, Job).state is not JobState.RUNNING
        except UnavailableError as error:
            log_event("jobs", "Left a broken job alone.", why=error)
            return False

    def _is_orphaned(self, job: Job) -> bool:
        if job.holder == self._host_id:
            # After a restart under the same id, this host runs none of its former jobs.
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
            reason="the job's host is unreachable",
            candidates=(job.holder,),
        )
        self._start(taken, version)
        return taken

    def _start(self, job: Job, version: int) -> None:
        self._tasks.spawn(self._run_to_completion(job, version), name=job.id)

    async def _run_to_completion(self, job: Job, version: int) -> None:
        try:
            with self._drain.track():
                answer = await self._run_job(job)
                if len(answer) > MAX_ANSWER_BYTES:
                    raise _too_long()
                ended = job.ended(JobState.DONE, answer)
        except RefusedError as error:
            ended = job.ended(JobState.FAILED, error.failure.to_json())
        await self._write_result(ended, version)

    async def _write_result(self, job: Job, version: int) -> None:
        """Write a job's result, retrying while the platform is unreachable.

        A result that another host wrote before is not overwritten.
        """
        deadline = self._clock.monotonic() + WRITE_TIMEOUT
        while self._clock.monotonic() < deadline:
            try:
                await self._store.put(job.key, job.to_json(), version=version)
                log_event("jobs", f"Job ended as {job.state}.", request=job.id)
                return
            except ConflictError:
                log_event("jobs", "Another host updated the job.", request=job.id)
                return
            except PlatformError as error:
                log_event(
                    "jobs",
                    "Could not write the job's result.",
                    request=job.id,
                    why=error,
                )
                await self._clock.sleep(WRITE_RETRY_DELAY)


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
