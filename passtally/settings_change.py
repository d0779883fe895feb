"""Differences between the settings in force and newly read settings."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs

from passtally.decision import log_event
from passtally.settings import Settings

#: Settings whose values must not be logged.
SECRETS = frozenset(("resume_keys", "operator_token"))

Apply = Callable[[], None]


@attrs.frozen(kw_only=True)
class SettingChange:
    """A setting whose newly read value differs from the one in force.

    Attributes:
        name: The name of the setting.
        was: The value in force.
        told: The new value.
    """

    name: str
    was: Any
    told: Any

    def log(self, sentence: str, **fields: object) -> None:
        """Log the outcome of the change, without the values of a secret."""
        if self.name not in SECRETS:
            fields |= {"was": str(self.was), "told": str(self.told)}
        log_event("settings", sentence, setting=self.name, **fields)


def find_changes(current: Settings, new: Settings) -> list[SettingChange]:
    """Return the settings that differ, in the order of their definition. Pure."""
    changes = (
        SettingChange(
            name=field.name,
            was=getattr(current, field.name),
            told=getattr(new, field.name),
        )
        for field in attrs.fields(Settings)
    )
    return [change for change in changes if change.was != change.told]


def keep_unappliable(
    current: Settings, new: Settings, *, applicable: Mapping[str, object]
) -> Settings:
    """Return the new settings, without changes that need a restart. Pure.

    Args:
        current: The settings in force.
        new: The new settings.
        applicable: The settings that can change on a running host, as keys.
    """
    kept = {
        change.name: change.was
        for change in find_changes(current, new)
        if change.name not in applicable
    }
    return attrs.evolve(new, **kept)


def apply_changes(
    changes: Sequence[SettingChange], *, appliers_by_name: Mapping[str, Apply]
) -> list[SettingChange]:
    """Apply the changed settings to the parts of a host and log each outcome.

    A change that fails does not prevent the others.

    Args:
        changes: The changed settings.
        appliers_by_name: The function that applies each setting; it is called once,
            even if it applies several of the changed settings.

    Returns:
        The changes whose function failed.
    """
    appliers = {change.name: appliers_by_name.get(change.name) for change in changes}
    errors_by_applier = {
        apply: _try(apply) for apply in set(appliers.values()) if apply
    }
    failed: list[SettingChange] = []
    for change in changes:
        apply = appliers[change.name]
        error = errors_by_applier.get(apply)
        if apply is None:
            change.log("Takes effect at the next start.")
        elif error is not None:
            change.log("Could not be applied.", why=repr(error))
            failed.append(change)
        else:
            change.log("Applied.")
    return failed


def _try(apply: Apply) -> Exception | None:
    try:
        apply()
    except Exception as error:
        return error
    return None
