"""A job: a generation whose answer is stored in the platform until it expires."""

from enum import StrEnum

import attrs
import msgspec

JOBS_PREFIX = "jobs/"
#: Maximum size of a job's answer. Values in the platform are limited to 1 MB, and the
#: remainder is for the job's other fields.
MAX_ANSWER_BYTES = 900_000


class JobState(StrEnum):
    """The state of a job."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class Job:
    """A job as stored in the platform.

    Attributes:
        id: The job's id, which is also its generation's id.
        workspace: The id of the workspace that submitted it.
        flavour: The flavour of the API by which it was submitted.
        body: The body of the caller's request; empty once the job has ended.
        holder: The host that runs it.
        takeovers: Number of times that another host took it over.
        state: The job's state.
        answer: The body of the answer or the error; empty while the job runs.
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
        """The key of the job's value in the platform."""
        return JOBS_PREFIX + self.id

    def ended(self, state: JobState, answer: bytes) -> "Job":
        """Return this job with its final state and answer, without the request."""
        return attrs.evolve(self, state=state, answer=answer.decode(), body="")

    def taken_over(self, holder: str) -> "Job":
        """Return this job with another host as its holder."""
        return attrs.evolve(self, holder=holder, takeovers=self.takeovers + 1)

    def to_json(self) -> bytes:
        """Return the job's value in the platform."""
        return msgspec.json.encode(self)
