"""Exit statuses of every program; scripts may rely on them."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a program's exit status means."""

    DONE = 0
    CHECK_FAILED = 1
    USAGE = 2
    CONFLICT = 3
    """Somebody else applied first; nothing of ours was applied."""
    NOT_REACHED = 4
    """The platform or the process could not be reached; certainly nothing was applied."""
    UNKNOWN = 5
    """The update was sent and what came of it could not be learned."""
