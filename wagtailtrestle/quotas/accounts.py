"""The serving side of quotas: a balance of credits for each team, prefetched from the team's owner."""

import threading

from wagtailtrestle.contracts.quota_messages import QuotaAsk

PREFETCH_S = 0.3
"""Credits are prefetched for the demand of this time: three request intervals, so that one message may be lost."""

MAX_WAIT_S = 0.35
"""Maximum time that a request waits for an owner's answer: the time until a dead owner is replaced, plus a second
message. For a caller that waits a second for its first token this is better than a false refusal."""

RESEND_AFTER_S = 0.2
"""Time without an answer after which a message counts as lost; an answer takes some milliseconds."""

OWNER_TIMEOUT_S = 0.4
"""Time without an answer after which the owner counts as unreachable and this router uses its own share."""

MIN_RETRY_AFTER_S = 0.05
"""Minimum time for which a refusal by the owner is reused here, also for a request too large for its quota."""

MAX_SHARE_S = 1.0
"""Maximum credits of the own share that accumulate while the owner is unreachable, in seconds of that share."""

DEMAND_WINDOW_S = 1.0
"""Time over which a team's demand is averaged."""

RETURN_FACTOR = 2.0
"""Credits beyond this multiple of the prefetch target are returned to the owner: demand has moved to other
routers, or a request was refunded. If the credits stayed here, they would be missing at the other routers."""


class QuotaRefused:
    """The quota is used up.

    Parameters
    ----------
    retry_after_s : float
        Time until the request fits the quota.
    left : int or None
        Units that the owner had when it refused; ``None`` if it did not answer.
    left_age_s : float
        Age of that value.
    held : int
        Balance of this router.
    """

    __slots__ = ("retry_after_s", "left", "left_age_s", "held")

    def __init__(self, *, retry_after_s, left=None, left_age_s=0.0, held=0):
        self.retry_after_s = retry_after_s
        self.left = left
        self.left_age_s = left_age_s
        self.held = held


class QuotaCharge:
    """Units charged for one request."""

    __slots__ = ("_accounts", "_team", "_units")

    def __init__(self, *, accounts, team, units):
        self._accounts = accounts
        self._team = team
        self._units = units

    def refund(self):
        """Refund the units, since the request was not run."""
        self._accounts.return_units(self._team, self._units)
        self._units = 0


class _TeamAccount:
    """Credit balance of one team at this router, and the state of requests to its owner."""

    __slots__ = (
        "balance",
        "waiting",
        "unrequested",
        "demand_per_s",
        "demand_at",
        "requested_at",
        "sent_at",
        "exhausted_until",
        "exhausted_units",
        "left",
        "left_at",
        "share_credited_at",
    )

    def __init__(self, *, now):
        self.balance = 0.0
        self.waiting = []
        self.unrequested = []
        self.demand_per_s = 0.0
        self.demand_at = now
        self.requested_at = None
        self.sent_at = now
        self.exhausted_until = now
        self.exhausted_units = 0
        self.left = None
        self.left_at = now
        self.share_credited_at = now

    def record_demand(self, units, now):
        """Add to the demand averaged over the window; refused requests count, too."""
        kept = max(0.0, 1.0 - (now - self.demand_at) / DEMAND_WINDOW_S)
        self.demand_per_s = self.demand_per_s * kept + units / DEMAND_WINDOW_S
        self.demand_at = now

    def ahead(self, now):
        """Prefetch target: the units to have available for the demand of ``PREFETCH_S``."""
        kept = max(0.0, 1.0 - (now - self.demand_at) / DEMAND_WINDOW_S)
        return self.demand_per_s * kept * PREFETCH_S

    def spare(self, now, *, share):
        """Units beyond the expected need of this router; one second of its own share is kept for small requests."""
        wanted = sum(self.waiting) + max(RETURN_FACTOR * self.ahead(now), share)
        return int(max(0.0, self.balance - wanted))

    def is_exhausted(self, units, now):
        """Whether the owner refused a request of at most this size and the time that it named has not passed."""
        return now < self.exhausted_until and units >= self.exhausted_units

    def is_idle(self, now):
        """Whether no request to the owner is open, none of this team waits, and there was no recent demand."""
        return self.requested_at is None and not self.waiting and now - self.demand_at > 2 * DEMAND_WINDOW_S

    def is_answer_due(self, now):
        """Whether the last message to the owner was answered or may still be."""
        return self.requested_at is None or now - self.sent_at < RESEND_AFTER_S

    def mark_requested(self, now):
        """Record a message to the owner; its silence counts from the first message without an answer."""
        self.sent_at = now
        if self.requested_at is None:
            self.requested_at = now

    def sizes_to_request(self, now):
        """Sizes of the waiting requests that have not been sent to the owner, or of all once a message was lost."""
        sizes = self.unrequested if self.is_answer_due(now) else self.waiting
        self.unrequested = []
        return tuple(sizes)


class QuotaAccounts:
    """Credits of every team with a quota.

    ``acquire`` and ``return_units`` are called from callers' threads, everything else on the loop.

    Parameters
    ----------
    clock : callable
        Returns the loop's time; callable from threads.
    call_soon : callable
        ``call_soon(callback)`` runs it on the loop; callable from threads.
    send_ask : callable
        ``send_ask(request)`` sends a ``QuotaAsk`` to the owner of its team; ``False`` if it can't be sent.
    members : callable
        Returns the number of routers among which a quota is shared.
    """

    __slots__ = (
        "_clock",
        "_call_soon",
        "_send_ask",
        "_members",
        "_quota_by_team",
        "_account_by_team",
        "_active_teams",
        "_changed",
    )

    def __init__(self, *, clock, call_soon, send_ask, members):
        self._clock = clock
        self._call_soon = call_soon
        self._send_ask = send_ask
        self._members = members
        self._quota_by_team = {}
        self._account_by_team = {}
        # Of 1,700 teams a router serves a few dozen at a time. Visiting all of them ten times a second
        # would take a third of the CPU time that an idle router may use.
        self._active_teams = set()
        self._changed = threading.Condition()

    def set_quotas(self, quota_by_team):
        """Apply the declared quotas."""
        with self._changed:
            self._quota_by_team = dict(quota_by_team)
            now = self._clock()
            self._account_by_team = {
                team: self._account_by_team.get(team) or _TeamAccount(now=now) for team in quota_by_team
            }
            self._active_teams &= self._account_by_team.keys()

    def acquire(self, team, units):
        """Charge a request's units to its team's quota.

        Returns
        -------
        QuotaCharge or QuotaRefused or None
            ``None`` for a team without a quota.
        """
        with self._changed:
            account = self._account_by_team.get(team)
            if account is None:
                return None
            now = self._clock()
            self._active_teams.add(team)
            account.record_demand(units, now)
            if account.balance < units:
                refused = self._wait_for_units(account, units, now)
                if refused is not None:
                    return refused
            account.balance -= units
            if account.balance < account.ahead(now) / 2:
                self._call_soon(self.request_credits)
        return QuotaCharge(accounts=self, team=team, units=units)

    def return_units(self, team, units):
        """Add units that a request did not use to the balance."""
        with self._changed:
            account = self._account_by_team.get(team)
            if account is not None:
                account.balance += units
                self._active_teams.add(team)

    def request_credits(self):
        """Request needed and prefetched credits from the owners, and return spare ones."""
        now = self._clock()
        with self._changed:
            requests = [
                request
                for team, account in self._active_accounts()
                if (request := self._next_request(team, account, now))
            ]
        for request in requests:
            self._send_ask(request)

    def _next_request(self, team, account, now):
        """Build the next message to the owner of one team, or ``None``."""
        needed = account.sizes_to_request(now)
        # While requests are refused, credits go to them rather than to the prefetch.
        ahead = int(account.ahead(now)) if now >= account.exhausted_until else 0
        if needed:
            returned_units = self._collect_balance(account)
            account.mark_requested(now)
            return QuotaAsk(team=team, needed=needed, ahead=ahead, returned=returned_units)
        if account.requested_at is not None and account.is_answer_due(now):
            return None
        if account.balance < ahead / 2:
            account.mark_requested(now)
            return QuotaAsk(team=team, ahead=ahead - int(account.balance))
        return self._return_spare(team, account, now)

    @staticmethod
    def _collect_balance(account):
        """Take the whole balance, to be returned with a request for more."""
        # One bucket grants a request in full or not at all. If the balance stayed here, it would not count
        # towards the request: with 1,200 units here and 800 at the owner, a request of 2,000 was refused. If the
        # owner has not answered the last message, it may be unreachable, and the balance stays here.
        if account.requested_at is not None:
            return 0
        returned_units = int(max(0.0, account.balance))
        account.balance -= returned_units
        return returned_units

    def _return_spare(self, team, account, now):
        """Return spare credits if no message to the owner is open."""
        spare = self._spare(team, account, now)
        if spare <= 0 or account.requested_at is not None:
            return None
        account.balance -= spare
        return QuotaAsk(team=team, returned=spare)

    def _spare(self, team, account, now):
        return account.spare(now, share=self._share_of(self._quota_by_team[team]))

    def on_grant(self, grant):
        """Apply an owner's answer."""
        now = self._clock()
        with self._changed:
            account = self._account_by_team.get(grant.team)
            if account is None:
                return
            account.balance += grant.units
            account.requested_at = None
            account.left, account.left_at = grant.left, now
            if grant.refused_units:
                account.exhausted_until = now + max(MIN_RETRY_AFTER_S, grant.retry_after_s)
                account.exhausted_units = grant.refused_units
            self._changed.notify_all()

    def tick(self):
        """Prefetch credits, return unused ones, and credit the own share where an owner is silent."""
        now = self._clock()
        with self._changed:
            for team, account in self._active_accounts():
                self._credit_own_share(self._quota_by_team[team], account, now)
                if account.is_idle(now) and not self._spare(team, account, now):
                    self._active_teams.discard(team)
        self.request_credits()

    def _active_accounts(self):
        return [(team, self._account_by_team[team]) for team in self._active_teams]

    def dump(self):
        """Plain data for the state dump."""
        with self._changed:
            return {
                team: {"balance": int(account.balance), "demand_per_s": int(account.demand_per_s)}
                for team, account in self._account_by_team.items()
            }

    def _wait_for_units(self, account, units, now):
        """Wait for the owner's answer; returns ``None`` once the balance suffices, else the refusal."""
        if account.is_exhausted(units, now):
            return self._refusal(account, now, retry_after_s=account.exhausted_until - now)
        account.waiting.append(units)
        account.unrequested.append(units)
        self._call_soon(self.request_credits)
        try:
            return self._wait_until(account, units, now + MAX_WAIT_S)
        finally:
            account.waiting.remove(units)
            if units in account.unrequested:
                account.unrequested.remove(units)

    def _wait_until(self, account, units, until):
        while account.balance < units:
            now = self._clock()
            if account.is_exhausted(units, now):
                return self._refusal(account, now, retry_after_s=account.exhausted_until - now)
            if now >= until or not self._changed.wait(until - now):
                return self._refusal(account, now, retry_after_s=OWNER_TIMEOUT_S)
        return None

    def _refusal(self, account, now, *, retry_after_s):
        return QuotaRefused(
            retry_after_s=retry_after_s, left=account.left, left_age_s=now - account.left_at, held=int(account.balance)
        )

    def _credit_own_share(self, quota, account, now):
        # The owner is dead or unreachable. All routers that can't reach it together grant no more than
        # their shares, which the owner withholds from what it grants.
        elapsed_s = min(MAX_SHARE_S, now - account.share_credited_at)
        account.share_credited_at = now
        if account.requested_at is None or now - account.requested_at < OWNER_TIMEOUT_S:
            return
        share_per_s = self._share_of(quota)
        account.balance = min(account.balance + elapsed_s * share_per_s, MAX_SHARE_S * share_per_s)
        self._changed.notify_all()

    def _share_of(self, quota):
        return quota.rate_per_s / max(1, self._members())
