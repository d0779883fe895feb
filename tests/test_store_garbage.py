"""Objects of other writers under the names of the records that hosts keep in the store.

Guards against a decoder's error that ends the task which keeps the records, so that
no host writes one any more.
"""

from datetime import timedelta
from typing import Any

import pytest

from passtally.fetch import Fetched
from passtally.platform.origin_store import PlatformOriginStore
from passtally.platform.store import PlatformStore
from standins.virtual import run_virtually
from tests.odd_json import open_versions
from tests.test_origin_backups import key, make_backup

NAME = "a"
DEEP = b"[" * 100_000 + b"]" * 100_000
SPECS = {
    "null": b"null",
    "nested": DEEP,
    "nested-field": b'{"versions": %s, "keys_by_version": %s}' % (DEEP, DEEP),
    "not-text": b'{"versions": ["\xff"], "keys_by_version": {"\xff": ""}}',
    "lone-surrogate": b'{"versions": "\\ud800", "keys_by_version": "\\ud800"}',
}


class FetcherFake:
    """A store with one object of each kind, which refuses to create another."""

    def __init__(self, spec: bytes) -> None:
        metadata = b'{"name": "%s", "revision": 3}' % NAME.encode()
        self._item = b'{"metadata": %s, "spec": %s}' % (metadata, spec)

    async def fetch(
        self, method: str, url: str, *, timeout: timedelta, **options: Any
    ) -> Fetched:
        if method == "POST":
            return Fetched(status=409, body=self._item)
        body = b'{"items": [%s], "store_revision": 9}' % self._item
        return Fetched(status=200, body=body)


def make_store(spec: bytes) -> PlatformStore:
    return PlatformStore(fetcher=FetcherFake(spec), url="http://store")


@pytest.mark.parametrize("spec", SPECS.values(), ids=SPECS)
class TestObjectsOfOtherWriters:
    # Guards also against a record that no host ever replaces.
    def test_a_record_of_versions_shows_nothing(self, spec):
        async def test() -> None:
            store = open_versions(make_store(spec))
            for record in (await store.find(NAME), await store.create(NAME, ["v1"])):
                assert (record.versions, record.revision) == (frozenset(), 3)
                assert not record.is_current

        run_virtually(test())

    # Guards also against a host that never replaces such an object by its backup.
    def test_a_backup_of_origins_is_empty(self, spec):
        async def test() -> None:
            store = PlatformOriginStore(store=make_store(spec))
            assert await store.list_all() == []
            existing = await store.create(make_backup({key(1): "v1"}, NAME))
            assert (existing.software_by_key, existing.revision) == ({}, 3)

        run_virtually(test())
