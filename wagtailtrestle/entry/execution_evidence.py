"""How far a request has come towards engines, and what may truthfully be said of it."""

from wagtailtrestle.contracts.outcomes import Executed, RunCut, RunLost, RunNotSent, RunRejected, RunSilent


class ExecutionEvidence:
    """Whether some run of a request may have, or is known to have, reached an engine."""

    __slots__ = ("possibly_executed", "known_executed")

    def __init__(self):
        self.possibly_executed = False
        self.known_executed = False

    def update(self, outcome):
        """Take in how one run ended."""
        match outcome:
            case RunNotSent():
                return
            case RunCut(reached=False) | RunSilent(reached=False) | RunLost() | RunRejected():
                self.possibly_executed = True
            case _:
                self.possibly_executed = True
                self.known_executed = True

    def executed(self):
        """What the caller is told; ``no`` only if no byte ever reached an engine."""
        if self.known_executed:
            return Executed.YES
        return Executed.UNKNOWN if self.possibly_executed else Executed.NO
