"""Translates the platform's orders to move a service to another version."""

import math
from datetime import timedelta
from typing import Annotated

import msgspec

from passtally.object_store import StoredObject
from passtally.rollout import RecordedState, RolloutOrder, RolloutRecord
from passtally.store_order import revision_of

#: Their "running" is recorded once the new version was found good and traffic is moved
#: onto it; while it is tried nothing is recorded.
_WORDS_BY_STATE = {
    RecordedState.MOVING: "running",
    RecordedState.COMPLETED: "completed",
    RecordedState.ROLLED_BACK: "rolled_back",
}
_STATES_BY_WORD = {word: state for state, word in _WORDS_BY_STATE.items()}


class _Metadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int
    #: The store's revision at which it was made: a new order under an old name differs.
    created: int = 0


class _Spec(msgspec.Struct):
    service: str
    target_version: str
    #: The time from the order until it must be over; not how long the trial lasts.
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=timedelta.max.days)]


class _Status(msgspec.Struct):
    state: str
    #: The order that the state belongs to; an older order's may still stand there.
    target_version: str = ""


class _Rollout(msgspec.Struct):
    metadata: _Metadata
    spec: _Spec
    status: msgspec.Raw = msgspec.Raw(b"null")


class _StatusChange(msgspec.Struct):
    metadata: _Metadata
    status: _Status


def decode_rollout(stored: StoredObject) -> RolloutRecord:
    """Read an order and what was recorded of it.

    Raises:
        ValueError: It does not fit.
    """
    try:
        rollout = msgspec.json.decode(stored.value, type=_Rollout)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    spec = rollout.spec
    if spec.service != rollout.metadata.name:
        raise ValueError(f"is named {rollout.metadata.name}, and of {spec.service}")
    if not spec.target_version or not math.isfinite(spec.duration_s):
        raise ValueError("no version, or no time, to move to it")
    return RolloutRecord(
        order=RolloutOrder(
            id=f"{spec.service}/{spec.target_version}/{rollout.metadata.created}"
            f"/{spec.duration_s:g}",
            service=spec.service,
            version=spec.target_version,
            within=timedelta(seconds=spec.duration_s),
        ),
        state=_read_state(rollout),
        object_version=stored.version,
    )


def encode_status(name: str, record: RolloutRecord, state: RecordedState) -> bytes:
    """Return what records a state, unless the object has changed since.

    Args:
        name: The object's name.
        record: The order, and the version of the object.
        state: The state.
    """
    return msgspec.json.encode(
        _StatusChange(
            metadata=_Metadata(name=name, revision=revision_of(record.object_version)),
            status=_Status(
                state=_WORDS_BY_STATE[state], target_version=record.order.version
            ),
        )
    )


def _read_state(rollout: _Rollout) -> RecordedState | None:
    """Return the state of this order; another writer's status says nothing."""
    try:
        status = msgspec.json.decode(rollout.status, type=_Status | None)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if status is None or status.target_version != rollout.spec.target_version:
        return None
    return _STATES_BY_WORD.get(status.state)
