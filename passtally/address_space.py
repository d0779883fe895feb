"""Limits the address space that a process reserves beyond what it uses.

The C library reserves an arena of 64 MB for each thread that allocates memory. A host
has five threads and uses 48 MB, but reserved 290 MB under a limit of 300 MB, and 420 MB
without a limit. Under a limit on the address space, no memory was left for callers'
requests, and libzmq and uvloop abort the process when an allocation fails.
"""

import ctypes

#: ``M_ARENA_MAX`` of glibc's ``malloc.h``, the parameter of ``mallopt`` for the maximum
#: number of arenas.
_M_ARENA_MAX = -8
#: Maximum number of arenas. All threads share one, since the event loop's thread does
#: nearly all the work.
_MAX_ARENAS = 1


def limit_arenas() -> bool:
    """Make all threads share one arena; call it before the first thread starts.

    Returns:
        Whether the C library accepted the limit; only glibc has such arenas.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(mallopt(_M_ARENA_MAX, _MAX_ARENAS))
