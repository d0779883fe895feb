"""The order of a store's revisions, over its comebacks from older copies. Pure.

A store that comes back from an older copy gives revisions out again, for other
states, and tells by its era that it did. A version is both in one number, the era
first: whoever compares, keeps or tells versions has what was written later as the
higher one.
"""

#: The revisions that one era has room for. Read in decimal, a version shows both parts.
REVISIONS_PER_ERA = 10**12
#: Versions are told as integers of 64 bits.
MAX_ERA = 2**63 // REVISIONS_PER_ERA - 1


def version_of(era: int, revision: int) -> int:
    """Return the version of a revision in an era; 0 for one that tells no era."""
    return era * REVISIONS_PER_ERA + revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // REVISIONS_PER_ERA


def revision_of(version: int) -> int:
    """Return the revision of a version, as the store knows it in that era."""
    return version % REVISIONS_PER_ERA
