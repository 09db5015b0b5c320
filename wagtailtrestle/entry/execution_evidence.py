"""Evidence of whether a request was executed, for the ``executed`` field of its refusal."""

from wagtailtrestle.contracts.outcomes import Executed, RunCut, RunLost, RunNotSent, RunRejected, RunSilent


class ExecutionEvidence:
    """Whether some run of a request possibly was, or is known to have been, executed by an engine."""

    __slots__ = ("possibly_executed", "known_executed")

    def __init__(self):
        self.possibly_executed = False
        self.known_executed = False

    def update(self, outcome):
        """Add the outcome of one run."""
        match outcome:
            case RunNotSent():
                return
            case RunCut(reached=False) | RunSilent(reached=False) | RunLost() | RunRejected():
                self.possibly_executed = True
            case _:
                self.possibly_executed = True
                self.known_executed = True

    def executed(self):
        """Value for the caller; ``no`` only if no byte of the request reached an engine."""
        if self.known_executed:
            return Executed.YES
        return Executed.UNKNOWN if self.possibly_executed else Executed.NO
