"""How the descriptors are shared out, and what says that there is none left."""

from __future__ import annotations

import errno
import resource
from typing import NamedTuple

from burlmast.node.query_schedule import SOCKETS_MOST

# Of an accept, a dial or a new socket: it tells of this process or machine, never of the other side.
SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
BATCH = 8  # viewers' connections that are accepted before those before them have been looked at
# Standard streams, the loop's own three, the listening socket, the name server's (one more while that opens),
# one to spare.
OWN = 3 + 3 + 1 + SOCKETS_MOST + 1 + 1


class Parts(NamedTuple):
    """The descriptors that each side may hold."""

    viewers: int
    hosts: int


def parts(sockets: int) -> Parts:
    """How so many descriptors are shared out.

    Viewers hold a third of them by the platform's word; their listener has room above that, so that those who
    only hold connections push nobody out. What is left besides is for the process itself and for those who
    have been accepted and not been looked at yet."""
    hosts = max(1, min(sockets // 3, sockets - OWN - 2 * BATCH))
    return Parts(viewers=max(1, min(sockets // 2, sockets - hosts - OWN - BATCH)), hosts=hosts)


def allowed(sockets: int) -> int:
    """So many, or what the system allows this process where that is less."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if soft == resource.RLIM_INFINITY else min(sockets, soft)
