"""Domains and names of the specification of scheduling."""

from wagtailtrestle.spec.language import Domain

SCHEDULERS = ("s0", "s1")
HIGH, LOW, FIXED = "high", "low", "fixed"
REQUESTS = (HIGH, LOW, FIXED)
TIER_BY_REQUEST = {HIGH: 0, LOW: 1, FIXED: 1}
REPEATABLE = (HIGH, LOW)

STATE = Domain("queued", "dispatched", "finished", "refused")
HELD = Domain("none", "waiting", "granted")
ATTEMPT = Domain("a0", "a1", "a2", "a3")
LAST_ATTEMPT = "a3"
COUNT = Domain("none", "one", "more")
VIEW = Domain(*SCHEDULERS)
