"""The order of a store's revisions across restores from older copies. Pure.

A store that is restored from an older copy assigns the same revisions again, to other
states, and reports a later era. A version combines both numbers, with the era in the
high digits, so that a later write always has the higher version.
"""

#: Number of revisions per era. As a power of ten it keeps era and revision readable in
#: a version's decimal digits.
REVISIONS_PER_ERA = 10**12
#: Highest era whose versions fit in a signed 64-bit integer, the type on the wire.
MAX_ERA = 2**63 // REVISIONS_PER_ERA - 1


def version_of(era: int, revision: int) -> int:
    """Return the version of a revision in an era.

    Era 0 stands for a store that reports no era.
    """
    return era * REVISIONS_PER_ERA + revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // REVISIONS_PER_ERA


def revision_of(version: int) -> int:
    """Return the revision that the store assigned within the version's era."""
    return version % REVISIONS_PER_ERA
