"""A job: a generation that can wait, kept in the platform until it is collected."""

from enum import StrEnum

import attrs
import msgspec

JOBS_PREFIX = "jobs/"
#: The platform's values end at a megabyte; the rest is for the job's own fields.
MAX_ANSWER_BYTES = 900_000


class JobState(StrEnum):
    """How far a job is."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class Job:
    """One job as the platform keeps it.

    Attributes:
        id: Its id, which is its generation's.
        workspace: Whose it is.
        flavour: The shape of the API that it came by.
        body: The caller's request.
        holder: The host that runs it.
        takeovers: How often another host took it over.
        state: How far it is.
        answer: The body of the answer, or of the error.
    """

    id: str
    workspace: str
    flavour: str
    body: str
    holder: str
    takeovers: int = 0
    state: JobState = JobState.RUNNING
    answer: str = ""

    @property
    def key(self) -> str:
        """Where the platform keeps it."""
        return JOBS_PREFIX + self.id

    def ended(self, state: JobState, answer: bytes) -> "Job":
        """Return this job with its end; the request is no longer kept."""
        return attrs.evolve(self, state=state, answer=answer.decode(), body="")

    def taken_over(self, holder: str) -> "Job":
        """Return this job run by another host."""
        return attrs.evolve(self, holder=holder, takeovers=self.takeovers + 1)

    def to_json(self) -> bytes:
        """Return its value in the platform."""
        return msgspec.json.encode(self)


def read_job(value: bytes) -> Job:
    """Read a job's value.

    Raises:
        msgspec.MsgspecError: It is damaged.
    """
    return msgspec.json.decode(value, type=Job)
