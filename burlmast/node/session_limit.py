"""How many sessions a gateway may hold, by its memory limit: the platform kills a process that exceeds it."""

from __future__ import annotations

MB = 1 << 20
PROCESS_MB = 40  # of a gateway that holds nothing, with room for its buffers and its log
SESSION_BYTES = 6 * 1024  # of a session with its attempt, its lease and what the decisions keep of it
SESSIONS_LEAST = 1024


def session_limit(memory_mb: float) -> int:
    """So many sessions, asked for or established, in half of the memory that is left for them."""
    return max(SESSIONS_LEAST, int((memory_mb - PROCESS_MB) * MB / 2 / SESSION_BYTES))
