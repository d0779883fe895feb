"""Intents: changes that operators declare, with their plans and their progress."""

import secrets
from collections.abc import Mapping
from enum import StrEnum

import attrs
import msgspec

from passtally.statechart import follow

INTENTS_PREFIX = "intents/"
#: Key of the ledger, which lists the active intents and the objects that they change.
#: Of two operators that confirm conflicting intents at once, one wins: each confirms
#: by a conditional update of this object.
LEDGER_KEY = "config/control/ledger"


class IntentKind(StrEnum):
    """The changes that an operator can declare."""

    PUT_SERVICE = "put-service"
    REMOVE_SERVICE = "remove-service"
    PLACE_SERVICE = "place-service"
    MOVE_WORKSPACE = "move-workspace"
    DRAIN = "drain"
    RESTORE = "restore"
    LOAD = "load"
    SET_ROLE = "set-role"


class IntentState(StrEnum):
    """State of an intent; the chart ``plan.yaml`` defines the transitions."""

    PLANNED = "planned"
    CONFIRMED = "confirmed"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StepKind(StrEnum):
    """The action of a step."""

    #: Order an endpoint to load weights; a late or repeated order does no harm.
    LOAD = "load"
    #: Wait until an endpoint reports the ordered version as loaded.
    VERIFY = "verify"
    #: Replace a configuration object.
    PUT = "put"
    #: Remove a configuration object.
    REMOVE = "remove"
    #: Wait until an endpoint has no running or queued request.
    WAIT_IDLE = "wait-idle"
    #: Order an endpoint to change its role.
    SET_ROLE = "set-role"


class StepState(StrEnum):
    """State of a step. ``STARTED`` is stored before the step is performed."""

    PENDING = "pending"
    STARTED = "started"
    DONE = "done"


@attrs.frozen(kw_only=True)
class Step:
    """One step of a plan.

    Attributes:
        kind: The action.
        why: The reason for the step, shown to operators.
        endpoint: The id of the affected endpoint, or empty.
        key: The key of the configuration object that is written, or empty.
        value: The object's new value, the version to load, or the role to set.
        seconds: The expected duration, in seconds.
        streams: The number of open requests affected.
        state: The current state.
    """

    kind: StepKind
    why: str
    endpoint: str = ""
    key: str = ""
    value: str = ""
    seconds: float = 0.0
    streams: int = 0
    state: StepState = StepState.PENDING


@attrs.frozen(kw_only=True)
class Plan:
    """The steps of an intent, and the object versions from which it was made.

    Attributes:
        steps: The steps, in order of execution.
        versions_by_key: The version of each object that the plan depends on, 0 for an
            object that did not exist.
        capacity_before: The number of concurrent requests per service before the plan.
        capacity_after: The number of concurrent requests per service after the plan.
    """

    steps: tuple[Step, ...]
    versions_by_key: dict[str, int]
    capacity_before: dict[str, int]
    capacity_after: dict[str, int]

    @property
    def touched(self) -> frozenset[str]:
        """Keys of the written objects, and ``endpoint:ID`` of the ordered endpoints."""
        keys = {step.key for step in self.steps if step.key}
        ordered = {f"endpoint:{step.endpoint}" for step in self.steps if step.endpoint}
        return frozenset(keys | ordered)


@attrs.frozen(kw_only=True)
class Intent:
    """An intent as stored in the platform.

    Attributes:
        id: The unique id.
        kind: The kind of change.
        params: The parameters of that kind, by name.
        state: The current state.
        plan: The plan, including the state of each step.
        reason: The error with which the intent failed, or empty.
        holder: The host that started the last step.
        fence: The fencing number under which the last step was started.
    """

    id: str
    kind: IntentKind
    params: dict[str, str]
    state: IntentState
    plan: Plan
    reason: str = ""
    holder: str = ""
    fence: int = 0

    @property
    def key(self) -> str:
        """The platform key under which the intent is stored."""
        return INTENTS_PREFIX + self.id

    def after(self, event: str, **changes: object) -> "Intent":
        """Return this intent after an event of the chart ``plan.yaml``.

        Raises:
            IllegalTransitionError: The chart does not allow the event in this state.
        """
        state = IntentState(follow("plan", self.state, event))
        return attrs.evolve(self, state=state, **changes)

    def next_step(self) -> int | None:
        """Return the index of the first step that is not done, or None."""
        for index, step in enumerate(self.plan.steps):
            if step.state is not StepState.DONE:
                return index
        return None

    def with_step(self, index: int, state: StepState) -> "Intent":
        """Return this intent with one step's state changed."""
        steps = list(self.plan.steps)
        steps[index] = attrs.evolve(steps[index], state=state)
        return attrs.evolve(self, plan=attrs.evolve(self.plan, steps=tuple(steps)))

    def to_json(self) -> bytes:
        """Return the value to store in the platform."""
        return msgspec.json.encode(self)


@attrs.frozen(kw_only=True)
class LedgerEntry:
    """An active intent: confirmed and not yet ended.

    Attributes:
        intent: The intent's id.
        touched: The keys and endpoints that the plan changes.
        read: The keys that the plan depends on.
    """

    intent: str
    touched: tuple[str, ...]
    read: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Ledger:
    """The active intents of all hosts."""

    entries: tuple[LedgerEntry, ...] = ()

    def find_conflict(self, plan: Plan) -> LedgerEntry | None:
        """Return an active intent that conflicts with a plan, or None.

        Two plans conflict if one changes an object that the other changes or depends
        on. Two drains that each leave enough capacity may leave none together, so
        objects that were only read count as well.
        """
        for entry in self.entries:
            if find_overlap(plan, entry):
                return entry
        return None

    def has(self, intent_id: str) -> bool:
        """Return whether an intent is active."""
        return any(entry.intent == intent_id for entry in self.entries)

    def add(self, intent: Intent) -> "Ledger":
        """Return a copy of this ledger with an intent added."""
        touched = tuple(sorted(intent.plan.touched))
        read = tuple(sorted(intent.plan.versions_by_key))
        entry = LedgerEntry(intent=intent.id, touched=touched, read=read)
        return Ledger(entries=(*self.entries, entry))

    def remove(self, intent_id: str) -> "Ledger":
        """Return a copy of this ledger without an intent."""
        kept = tuple(entry for entry in self.entries if entry.intent != intent_id)
        return Ledger(entries=kept)


def find_overlap(plan: Plan, entry: LedgerEntry) -> list[str]:
    """Return the keys that one of two plans changes and the other depends on."""
    depends_on = plan.touched | set(plan.versions_by_key)
    changed_by_entry = set(entry.touched)
    shared = depends_on & changed_by_entry | plan.touched & set(entry.read)
    return sorted(shared)


def new_intent_id(kind: IntentKind) -> str:
    """Return a new id, made of the kind and a random number."""
    return f"{kind}-{secrets.token_hex(4)}"


def find_stale(plan: Plan, versions_by_key: Mapping[str, int]) -> list[str]:
    """Return the keys whose objects changed since a plan was made."""
    return sorted(
        key
        for key, version in plan.versions_by_key.items()
        if versions_by_key.get(key, 0) != version
    )
