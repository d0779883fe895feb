"""Decodes roll-out orders of the platform and encodes their recorded states."""

import math
from datetime import timedelta
from typing import Annotated

import msgspec

from passtally.json_decoding import decode_json
from passtally.object_store import StoredObject
from passtally.rollout import RecordedState, RolloutOrder, RolloutRecord
from passtally.store_order import revision_of

#: The platform's "running" is recorded once the trial of the new version has succeeded
#: and traffic is moved to it. During the trial no state is recorded.
_TEXTS_BY_STATE = {
    RecordedState.MOVING: "running",
    RecordedState.COMPLETED: "completed",
    RecordedState.ROLLED_BACK: "rolled_back",
}
_STATES_BY_TEXT = {text: state for state, text in _TEXTS_BY_STATE.items()}


class _Metadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int
    #: The store's revision at which the object was created. It differs between two
    #: orders of the same name.
    created: int = 0


class _Spec(msgspec.Struct):
    service: str
    target_version: str
    #: Time from the order until the roll-out must be finished, in seconds; not the
    #: duration of the trial.
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=timedelta.max.days)]


class _Status(msgspec.Struct):
    state: str
    #: The version of the order that the state belongs to. The state of an earlier order
    #: may still be stored.
    target_version: str = ""


class _Rollout(msgspec.Struct):
    metadata: _Metadata
    spec: _Spec
    status: msgspec.Raw = msgspec.Raw(b"null")


class _StatusChange(msgspec.Struct):
    metadata: _Metadata
    status: _Status


def decode_rollout(stored: StoredObject) -> RolloutRecord:
    """Decode an order and its recorded state.

    Raises:
        ValueError: The object does not match the schema, or is not a valid order.
    """
    rollout = decode_json(stored.value, _Rollout)
    spec = rollout.spec
    if spec.service != rollout.metadata.name:
        raise ValueError(
            f"named {rollout.metadata.name}, but for service {spec.service}"
        )
    if not spec.target_version or not math.isfinite(spec.duration_s):
        raise ValueError("target_version is empty, or duration_s is not finite")
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
    """Return the body of a status update, valid for one version of the object only.

    Args:
        name: The object's name.
        record: The order, and the version of the object that it was read from.
        state: The state to record.
    """
    return msgspec.json.encode(
        _StatusChange(
            metadata=_Metadata(name=name, revision=revision_of(record.object_version)),
            status=_Status(
                state=_TEXTS_BY_STATE[state], target_version=record.order.version
            ),
        )
    )


def _read_state(rollout: _Rollout) -> RecordedState | None:
    """Return the recorded state of this order.

    Return None for a status of another order, or one that can't be decoded: it is of
    another writer.
    """
    try:
        status = decode_json(rollout.status, _Status | None)
    except ValueError:
        return None
    if status is None or status.target_version != rollout.spec.target_version:
        return None
    return _STATES_BY_TEXT.get(status.state)
