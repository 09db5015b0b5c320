"""Exit statuses of all programs; scripts may rely on them."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a program."""

    DONE = 0
    CHECK_FAILED = 1
    USAGE = 2
    CONFLICT = 3
    """Another operator applied a declaration first; nothing was applied."""
    NOT_REACHED = 4
    """The platform or the process could not be reached; nothing was applied."""
    UNKNOWN = 5
    """The update was sent but its outcome is unknown."""
