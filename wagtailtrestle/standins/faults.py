"""Faults that a stand-in can inject, set with ``POST /faults``."""

STREAM_KINDS = ("cut", "silent", "cross", "duplicate", "late", "gap")
CRASH_MODES = ("emulate", "exit")


class Faults:
    """Active faults; the defaults are those of a healthy process.

    Parameters
    ----------
    poison_marker : str
        A prompt that contains this text crashes the engine once its prefill is done.
    crash_mode : str
        ``exit`` ends the process; ``emulate`` drops every connection and every run,
        and refuses connections for ``down_s``.
    down_s : float
        Duration of an emulated crash.
    straggle : float
        Factor on the duration of each step, or on the service time.
    stream_kind : str
        Fault of the next ``stream_count`` answers after ``stream_after_tokens`` tokens:
        ``cut``, ``silent`` (the connection stays open), ``cross`` (another run's id),
        ``duplicate``, ``late`` (delayed by ``late_s``) or ``gap`` (a token left out).
    silent_open : bool
        Nothing more is sent on connections that were open when this was set; new ones work.
    ignore_fencing : bool
        Accept orders with an outdated fencing number.
    reject_status : int
        Answer the next ``reject_count`` requests with this HTTP status.
    crash_now : bool
        Crash immediately, as ``crash_mode`` says.
    refuse_connects_s : float
        Drop every connection and do not listen for this long; runs continue.
    """

    __slots__ = (
        "poison_marker",
        "crash_mode",
        "down_s",
        "straggle",
        "stream_kind",
        "stream_after_tokens",
        "stream_count",
        "late_s",
        "silent_open",
        "ignore_fencing",
        "reject_status",
        "reject_count",
        "crash_now",
        "refuse_connects_s",
    )

    def __init__(self):
        self.poison_marker = ""
        self.crash_mode = "emulate"
        self.down_s = 1.0
        self.straggle = 1.0
        self.stream_kind = ""
        self.stream_after_tokens = 0
        self.stream_count = 0
        self.late_s = 1.0
        self.silent_open = False
        self.ignore_fencing = False
        self.reject_status = 0
        self.reject_count = 0
        self.crash_now = False
        self.refuse_connects_s = 0.0

    def update(self, values) -> list:
        """Set the faults named in ``values``; return every problem, and set none if there is one."""
        problems = [problem for name, value in values.items() if (problem := self._problem(name, value))]
        if not problems:
            for name, value in values.items():
                setattr(self, name, value)
        return problems

    def consume_stream_kind(self) -> str:
        """Return the stream fault of the answer that begins now, or an empty string; use up one of the count."""
        if self.stream_count <= 0:
            return ""
        self.stream_count -= 1
        return self.stream_kind

    def consume_reject_status(self) -> int:
        """Return the HTTP status to reject the current request with, or 0; use up one of the count."""
        if self.reject_count <= 0:
            return 0
        self.reject_count -= 1
        return self.reject_status

    def as_dict(self) -> dict:
        """Return the active faults as a JSON-serializable dict."""
        return {name: getattr(self, name) for name in self.__slots__}

    def _problem(self, name, value) -> str:
        if name not in self.__slots__:
            return f"{name}: no such fault; known: {', '.join(self.__slots__)}"
        present = getattr(self, name)
        allowed = (int, float) if isinstance(present, int | float) and not isinstance(present, bool) else type(present)
        if not isinstance(value, allowed) or (isinstance(value, bool) and not isinstance(present, bool)):
            return f"{name}: {value!r} is not of the kind of {present!r}"
        if name == "stream_kind" and value not in ("", *STREAM_KINDS):
            return f"stream_kind: {value!r}; allowed: {', '.join(STREAM_KINDS)}"
        if name == "crash_mode" and value not in CRASH_MODES:
            return f"crash_mode: {value!r}; allowed: {', '.join(CRASH_MODES)}"
        return ""
