"""Domains and names of the specification of claims."""

from wagtailtrestle.spec.language import Domain

ROUTERS = 2
NONE = "none"
UNREAD = "unread"

# queued, dispatched, finished, refused and unknown are as in RequestState, claiming and running as
# in NonceState; gone means that the router of the send crashed.
REQUEST = Domain("queued", "claiming", "running", "dispatched", "finished", "refused", "unknown", "gone")
REPORTED = Domain("nothing", "no", "unknown", "answer")
RUNS = Domain("none", "one", "more")
