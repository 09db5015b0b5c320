"""Orders to the stand-in engine, with an optional check of their fencing numbers."""

import threading

LEAVE = "leave"
STAY = "stay"


class Orders:
    """Orders accepted so far, and whether the engine is draining.

    A draining engine still admits runs: the senders have to stop sending, and the run record
    shows whether they do. It refuses runs only when it is about to stop.

    Parameters
    ----------
    checks_fencing : bool
        Refuse an order whose fencing number is lower than the highest seen.
    """

    __slots__ = ("leaving", "refusing", "_checks_fencing", "_highest", "_accepted", "_lock")

    def __init__(self, *, checks_fencing):
        self.leaving = False
        self.refusing = False
        self._checks_fencing = checks_fencing
        self._highest = 0
        self._accepted = []
        self._lock = threading.Lock()

    def apply(self, order, *, ignore_fencing):
        """Apply or refuse an order; return the HTTP status and the answer."""
        fencing = order.get("fencing")
        kind = order.get("order")
        if not isinstance(fencing, int) or not isinstance(kind, str):
            return 400, {"error": "an order needs a whole fencing number and a text in 'order'"}
        with self._lock:
            if fencing < self._highest and self._checks_fencing and not ignore_fencing:
                return 409, {"highest": self._highest}
            self._highest = max(self._highest, fencing)
            self._accepted.append(order)
            if kind in (LEAVE, STAY):
                self.leaving = kind == LEAVE
        return 200, {"highest": self._highest}

    def as_dict(self) -> dict:
        """Return the accepted orders, for the state dump."""
        with self._lock:
            return {"leaving": self.leaving, "highest": self._highest, "taken": list(self._accepted)}
