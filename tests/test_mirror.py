"""The mirror of the platform's objects, on which outdated changes have no effect."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from passtally.mirror import ObjectMirror
from passtally.object_store import REMOVED, Listing, StoredObject


def stored(key: str, version: int, value: bytes = b"1") -> StoredObject:
    return StoredObject(key=key, version=version, value=msgspec.Raw(value))


def listing(version: int, *objects: StoredObject) -> Listing:
    return Listing(version=version, objects=objects)


class TestObjectMirror:
    def test_a_listing_returns_changed_and_removed_objects(self):
        mirror = ObjectMirror()
        mirror.replace(listing(2, stored("a", 1), stored("b", 2)))
        changed = mirror.replace(listing(5, stored("b", 4)))
        assert {(item.key, item.version, item.is_removed) for item in changed} == {
            ("a", 5, True),
            ("b", 4, False),
        }

    def test_an_older_listing_is_ignored(self):
        mirror = ObjectMirror()
        mirror.replace(listing(5, stored("a", 4)))
        assert mirror.replace(listing(3)) is None
        assert mirror.current_versions() == {"a": 4}

    def test_a_late_change_is_ignored(self):
        mirror = ObjectMirror()
        mirror.advance(listing(4, stored("a", 4, REMOVED)))
        assert mirror.advance(listing(2, stored("a", 2))) == []
        assert mirror.current_versions() == {}

    def test_only_the_newest_of_several_states_of_an_object_is_returned(self):
        mirror = ObjectMirror()
        newest = stored("a", 4)
        changes = listing(5, stored("a", 2), stored("b", 3), newest)
        assert mirror.advance(changes) == [newest, stored("b", 3)]
        assert mirror.newest == 4

    def test_an_older_listing_of_another_store_is_applied(self):
        mirror = ObjectMirror()
        same, lower, higher = stored("a", 1), stored("b", 2), stored("c", 9)
        mirror.replace(listing(9, same, stored("b", 8), higher, stored("d", 7)))
        mirror.expect_new_store()
        # Until that listing the known state stays in force, and changes are applied.
        assert mirror.advance(listing(10, stored("d", 10))) == [stored("d", 10)]
        changed = mirror.replace(listing(3, same, lower))
        assert {(item.key, item.version, item.is_removed) for item in changed} == {
            ("b", 2, False),
            ("c", 3, True),
            ("d", 3, True),
        }
        assert (mirror.version, mirror.newest) == (3, 3)
        assert mirror.current_versions() == {"a": 1, "b": 2}
        assert mirror.replace(listing(2)) is None

    def test_a_removal_is_passed_on_by_a_mirror_that_started_after_it(self):
        """Guards against objects that stay on a host after their removal.

        A mirror that lists after a removal has no record of it. A host that does not
        watch, and receives its changes only from such a host, would keep the object
        until its next own listing.
        """
        mirror, other = ObjectMirror(), ObjectMirror()
        mirror.replace(listing(6, stored("a", 5), stored("b", 6)))
        other.replace(listing(9, stored("b", 8)))
        mirror.advance(other.changes_after(mirror.newest))
        assert mirror.current_versions() == {"b": 8}

    def test_objects_newer_than_the_changes_of_another_mirror_are_kept(self):
        mirror, other = ObjectMirror(), ObjectMirror()
        mirror.replace(listing(6, stored("a", 5)))
        other.replace(listing(9, stored("b", 8)))
        mirror.advance(listing(12, stored("c", 12)))
        changes = other.changes_after(6)
        assert changes.keys == ("b",)
        mirror.advance(changes)
        assert mirror.current_versions() == {"b": 8, "c": 12}

    def test_a_mirror_that_knows_all_removals_returns_no_keys(self):
        mirror = ObjectMirror()
        mirror.replace(listing(6, stored("a", 5), stored("b", 6)))
        mirror.advance(listing(8, stored("b", 8, REMOVED)))
        assert mirror.changes_after(6).keys is None
        assert mirror.changes_after(0).keys is None

    def test_another_mirror_is_filled_by_its_changes(self):
        mirror, other = ObjectMirror(), ObjectMirror()
        mirror.replace(listing(3, stored("a", 1), stored("b", 3)))
        other.advance(mirror.changes_after(1))
        assert other.current_versions() == {"b": 3}
        other.advance(mirror.changes_after(0))
        assert other.current_versions() == mirror.current_versions()

    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans()),
            max_size=30,
        )
    )
    def test_any_order_of_changes_ends_in_the_same_state(self, changes):
        newest: dict[str, StoredObject] = {}
        in_order, shuffled = ObjectMirror(), ObjectMirror()
        seen: dict[tuple[str, int], StoredObject] = {}
        for key, version, is_removed in changes:
            item = seen.setdefault(
                (key, version), stored(key, version, REMOVED if is_removed else b"1")
            )
            if key not in newest or newest[key].version < version:
                newest[key] = item
        for item in sorted(seen.values(), key=lambda item: item.version):
            in_order.advance(listing(item.version, item))
        for item in seen.values():
            shuffled.advance(listing(item.version, item))
        assert shuffled.versions_by_key == in_order.versions_by_key
        assert shuffled.current_versions() == {
            key: item.version for key, item in newest.items() if not item.is_removed
        }
