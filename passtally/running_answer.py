"""An answer that a host runs, and what it has told other hosts of it."""

from datetime import timedelta

import attrs

from passtally.generation import Generation

#: Time after which the record of a running answer is renewed. Records that were lost,
#: or whose hosts have been replaced, are complete again after it.
RENEW_INTERVAL = timedelta(seconds=10)


@attrs.define(kw_only=True, eq=False)
class RunningAnswer:
    """An answer that this host runs.

    Attributes:
        key: Its key.
        prompt_key: The key of its prompt; empty in a service of few endpoints, which
            are all asked for a prompt.
        generation: The answer.
        told_at: The monotonic time at which its record was last told; None before the
            first time.
        told_holder_id: The endpoint that was told to run it.
    """

    key: bytes
    prompt_key: bytes
    generation: Generation
    told_at: timedelta | None = None
    told_holder_id: str = ""

    @property
    def holder_id(self) -> str:
        """The endpoint that runs the answer, or ran it last."""
        attempt = self.generation.current
        return self.told_holder_id if attempt is None else attempt.endpoint_id

    def is_due(self, now: timedelta) -> bool:
        """Return whether its record has to be told again."""
        if self.told_at is None:
            return False
        is_old = now - self.told_at >= RENEW_INTERVAL
        return is_old or self.holder_id != self.told_holder_id
