"""The local copy of the platform's objects under one prefix."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import attrs

from passtally.follower import Follower
from passtally.mirror import ObjectMirror
from passtally.object_store import StoredObject


@attrs.define(kw_only=True)
class View:
    """The objects under one prefix, and how they are kept up to date.

    Attributes:
        prefix: The key prefix.
        apply: Called with the changed objects.
        mirror: The known state of the objects.
        follower: Watches the objects at the platform while this host is a watcher.
        task: The follower's watch loop while this host is a watcher, or its first
            listing before that.
        behind_since: Monotonic time since which another host is known to have a newer
            version; None if this host is up to date.
        is_required: Whether each host lists the prefix when it starts, and counts as
            watching only while this watch is up. Prefixes that change a few times a day
            are not vital: a host gets their changes from the watchers.
    """

    prefix: str
    apply: Callable[[Sequence[StoredObject]], None]
    mirror: ObjectMirror = attrs.field(factory=ObjectMirror)
    follower: Follower | None = None
    task: asyncio.Task[None] | None = None
    behind_since: timedelta | None = None
    is_required: bool = True
