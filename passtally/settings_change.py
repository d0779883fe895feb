"""What differs between the settings in force and those that a host is told anew."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs

from passtally.decision import log_event
from passtally.settings import Settings

#: Settings whose values are not to be read in a log.
SECRETS = frozenset(("resume_keys", "operator_token"))

Apply = Callable[[], None]


@attrs.frozen(kw_only=True)
class SettingChange:
    """A setting that is told anew.

    Attributes:
        name: The setting.
        was: Its value in force.
        told: The value that is told.
    """

    name: str
    was: Any
    told: Any

    def log(self, sentence: str, **fields: object) -> None:
        """Tell what becomes of it, in one line."""
        if self.name not in SECRETS:
            fields |= {"was": str(self.was), "told": str(self.told)}
        log_event("settings", sentence, setting=self.name, **fields)


def find_changes(was: Settings, told: Settings) -> list[SettingChange]:
    """Return the settings whose values differ, in their order. Pure."""
    changes = (
        SettingChange(
            name=field.name,
            was=getattr(was, field.name),
            told=getattr(told, field.name),
        )
        for field in attrs.fields(Settings)
    )
    return [change for change in changes if change.was != change.told]


def keep_unappliable(
    was: Settings, told: Settings, *, takeable: Mapping[str, object]
) -> Settings:
    """Return the settings that come in force on a running host. Pure.

    Args:
        was: Those in force.
        told: Those told.
        takeable: What takes each setting that a running host can take, by its name.
    """
    kept = {
        change.name: change.was
        for change in find_changes(was, told)
        if change.name not in takeable
    }
    return attrs.evolve(told, **kept)


def apply_changes(
    changes: Sequence[SettingChange], *, appliers_by_name: Mapping[str, Apply]
) -> list[SettingChange]:
    """Let the parts of a host take the settings that changed, and tell of each.

    One that fails keeps no other from being taken.

    Args:
        changes: What changed.
        appliers_by_name: What takes each setting; some take several at once.

    Returns:
        The changes that could not be taken, though there is something that takes them.
    """
    takers = {change.name: appliers_by_name.get(change.name) for change in changes}
    errors_by_taker = {take: _try(take) for take in set(takers.values()) if take}
    failed: list[SettingChange] = []
    for change in changes:
        take = takers[change.name]
        error = errors_by_taker.get(take)
        if take is None:
            change.log("Not taken before the next start.")
        elif error is not None:
            change.log("Could not be taken.", why=repr(error))
            failed.append(change)
        else:
            change.log("Taken.")
    return failed


def _try(take: Apply) -> Exception | None:
    try:
        take()
    except Exception as error:
        return error
    return None
