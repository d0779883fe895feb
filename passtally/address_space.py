"""Keeps the address space that a process reserves near to what it uses.

The C library gives each thread that allocates an arena of its own and reserves 64 MB
for it. A host has five threads and uses 48 MB, but reserved 290 MB where it was given
300, and 420 MB otherwise. Under a limit on the address space nothing was left for its
callers: libzmq and uvloop end the process when they get no memory.
"""

import ctypes

#: The parameter of ``mallopt`` for the most arenas, of glibc's ``malloc.h``.
_M_ARENA_MAX = -8
#: One for the loop's thread, which does nearly all the work; the others share it.
_MAX_ARENAS = 1


def limit_arenas() -> bool:
    """Let all threads share one arena; to be called before the first is started.

    Returns:
        Whether the C library took it; others than glibc have no arenas to limit.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(mallopt(_M_ARENA_MAX, _MAX_ARENAS))
