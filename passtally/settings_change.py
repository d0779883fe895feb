"""What differs between the settings in force and those that a host is told anew."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from passtally.decision import log_event
from passtally.settings import Settings

#: Settings whose values are not to be read in a log.
SECRETS = frozenset(("resume_keys", "operator_token"))

Take = Callable[[], None]


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


def keep_untakeable(
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


def hand_out(
    changes: list[SettingChange], *, takers_by_name: Mapping[str, Take]
) -> None:
    """Let the parts of a host take the settings that changed, and tell of each.

    One that fails keeps no other from being taken.

    Args:
        changes: What changed.
        takers_by_name: What takes each setting; some take several at once.
    """
    takers: dict[Take, SettingChange] = {}
    for change in changes:
        take = takers_by_name.get(change.name)
        if take is None:
            change.log("Not taken before the next start.")
            continue
        change.log("Taken.")
        takers.setdefault(take, change)
    for take, change in takers.items():
        try:
            take()
        except Exception as error:
            change.log("Could not be taken.", why=repr(error))
