"""The mirror of the platform's objects: late news changes nothing."""

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
    def test_a_listing_tells_what_changed_and_what_went(self):
        mirror = ObjectMirror()
        mirror.replace(listing(2, stored("a", 1), stored("b", 2)))
        changed = mirror.replace(listing(5, stored("b", 4)))
        assert {(item.key, item.version, item.is_removed) for item in changed} == {
            ("a", 5, True),
            ("b", 4, False),
        }

    def test_an_older_listing_is_not_taken(self):
        mirror = ObjectMirror()
        mirror.replace(listing(5, stored("a", 4)))
        assert mirror.replace(listing(3)) is None
        assert mirror.current_versions() == {"a": 4}

    def test_a_late_change_changes_nothing(self):
        mirror = ObjectMirror()
        mirror.advance(listing(4, stored("a", 4, REMOVED)))
        assert mirror.advance(listing(2, stored("a", 2))) == []
        assert mirror.current_versions() == {}

    def test_of_an_object_that_changed_twice_only_the_newest_state_is_told(self):
        mirror = ObjectMirror()
        newest = stored("a", 4)
        changes = listing(5, stored("a", 2), stored("b", 3), newest)
        assert mirror.advance(changes) == [newest, stored("b", 3)]
        assert mirror.newest == 4

    def test_a_listing_of_another_store_counts_also_where_it_is_older(self):
        mirror = ObjectMirror()
        same, lower, higher = stored("a", 1), stored("b", 2), stored("c", 9)
        mirror.replace(listing(9, same, stored("b", 8), higher, stored("d", 7)))
        mirror.renew()
        # Until then what is known stays, and goes on.
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

    def test_a_removal_is_handed_on_by_one_that_began_after_it(self):
        """Who lists after an object was removed can't tell of it.

        What happens: a host that does not watch, and learns from one that started after
        the removal alone, keeps the object until it lists itself.
        """
        mirror, other = ObjectMirror(), ObjectMirror()
        mirror.replace(listing(6, stored("a", 5), stored("b", 6)))
        other.replace(listing(9, stored("b", 8)))
        mirror.advance(other.changes_after(mirror.newest))
        assert mirror.current_versions() == {"b": 8}

    def test_what_is_newer_than_what_another_tells_is_kept(self):
        mirror, other = ObjectMirror(), ObjectMirror()
        mirror.replace(listing(6, stored("a", 5)))
        other.replace(listing(9, stored("b", 8)))
        mirror.advance(listing(12, stored("c", 12)))
        changes = other.changes_after(6)
        assert changes.keys == ("b",)
        mirror.advance(changes)
        assert mirror.current_versions() == {"b": 8, "c": 12}

    def test_who_has_followed_since_tells_changes_alone(self):
        mirror = ObjectMirror()
        mirror.replace(listing(6, stored("a", 5), stored("b", 6)))
        mirror.advance(listing(8, stored("b", 8, REMOVED)))
        assert mirror.changes_after(6).keys is None
        assert mirror.changes_after(0).keys is None

    def test_another_mirror_takes_all_from_its_changes(self):
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
