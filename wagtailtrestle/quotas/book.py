"""The serving side of quotas: credits in hand by team, fetched ahead from each team's owner."""

import threading

from wagtailtrestle.contracts.quota_messages import QuotaAsk

AHEAD_S = 0.3
"""Credits are fetched for the demand of so long: three rounds of asking, so that one may be lost."""

WAIT_S = 0.15
"""Longest time that a request waits for an owner's answer, some ten round trips between zones."""

SILENT_S = 0.4
"""An owner that answers nothing for so long can't be reached: this router goes on with its own share."""

SHARE_HELD_S = 1.0
"""Credits of the own share that may gather while the owner is out, in seconds of that share."""

DEMAND_WINDOW_S = 1.0
"""Time over which a team's demand is averaged."""

RETURN_FACTOR = 4.0
"""Credits beyond so many times what is fetched ahead are dropped: demand has moved to other routers."""


class QuotaRefused:
    """The quota is used up; ``retry_after_s`` says when there is room again."""

    __slots__ = ("retry_after_s",)

    def __init__(self, *, retry_after_s):
        self.retry_after_s = retry_after_s


class QuotaCharge:
    """What one request took."""

    __slots__ = ("_book", "_team", "_units")

    def __init__(self, *, book, team, units):
        self._book = book
        self._team = team
        self._units = units

    def refund(self):
        """Give it back, since the request was not run."""
        self._book.give_back(self._team, self._units)
        self._units = 0


class _Credit:
    """Credits of one team in hand, and what is asked of its owner."""

    __slots__ = (
        "balance",
        "needed",
        "demand_per_s",
        "demand_at",
        "asked_at",
        "answered_at",
        "exhausted_until",
        "shared_at",
    )

    def __init__(self, *, now):
        self.balance = 0.0
        self.needed = 0
        self.demand_per_s = 0.0
        self.demand_at = now
        self.asked_at = None
        self.answered_at = now
        self.exhausted_until = now
        self.shared_at = now

    def note_demand(self, units, now):
        """Average the demand over the window, refused requests included."""
        kept = max(0.0, 1.0 - (now - self.demand_at) / DEMAND_WINDOW_S)
        self.demand_per_s = self.demand_per_s * kept + units / DEMAND_WINDOW_S
        self.demand_at = now

    def ahead(self, now):
        """Units worth having in hand."""
        kept = max(0.0, 1.0 - (now - self.demand_at) / DEMAND_WINDOW_S)
        return self.demand_per_s * kept * AHEAD_S


class QuotaBook:
    """Credits of every team with a quota.

    ``take`` and ``give_back`` are called from callers' threads, everything else on the loop.

    Parameters
    ----------
    clock : callable
        The loop's time, which threads may read too.
    call_soon : callable
        ``call_soon(callback)`` runs it on the loop; callable from threads.
    send_ask : callable
        ``send_ask(ask)`` carries a ``QuotaAsk`` to the owner of its team; ``False`` if it can't.
    members : callable
        Number of routers over which a share is reckoned.
    """

    __slots__ = ("_clock", "_call_soon", "_send_ask", "_members", "_quota_by_team", "_credit_by_team", "_changed")

    def __init__(self, *, clock, call_soon, send_ask, members):
        self._clock = clock
        self._call_soon = call_soon
        self._send_ask = send_ask
        self._members = members
        self._quota_by_team = {}
        self._credit_by_team = {}
        self._changed = threading.Condition()

    def set_quotas(self, quota_by_team):
        """Put the declared quotas in force."""
        with self._changed:
            self._quota_by_team = dict(quota_by_team)
            now = self._clock()
            self._credit_by_team = {team: self._credit_by_team.get(team) or _Credit(now=now) for team in quota_by_team}

    def take(self, team, units):
        """Take a request's units from its team's quota.

        Returns
        -------
        QuotaCharge or QuotaRefused or None
            ``None`` for a team without a quota.
        """
        with self._changed:
            credit = self._credit_by_team.get(team)
            if credit is None:
                return None
            now = self._clock()
            credit.note_demand(units, now)
            if credit.balance < units:
                refused = self._wait_for(credit, units, now)
                if refused is not None:
                    return refused
            credit.balance -= units
            if credit.balance < credit.ahead(now) / 2:
                self._call_soon(self.ask)
        return QuotaCharge(book=self, team=team, units=units)

    def give_back(self, team, units):
        """Take back what a request did not use."""
        with self._changed:
            credit = self._credit_by_team.get(team)
            if credit is not None:
                credit.balance += units

    def ask(self):
        """Ask owners for what is needed or worth having."""
        now = self._clock()
        asks = []
        with self._changed:
            for team, credit in self._credit_by_team.items():
                ahead = int(credit.ahead(now))
                wanted = credit.needed + ahead - int(credit.balance)
                is_waiting = credit.asked_at is not None and now - credit.asked_at < SILENT_S / 2
                if wanted <= ahead / 2 or (is_waiting and not credit.needed):
                    continue
                needed = min(credit.needed, wanted)
                asks.append(QuotaAsk(team=team, needed=needed, ahead=wanted - needed))
                credit.needed = 0
                if credit.asked_at is None:
                    credit.asked_at = now
        for ask in asks:
            self._send_ask(ask)

    def on_grant(self, grant):
        """Take in an owner's answer."""
        now = self._clock()
        with self._changed:
            credit = self._credit_by_team.get(grant.team)
            if credit is None:
                return
            credit.balance += grant.units
            credit.asked_at = None
            credit.answered_at = now
            if grant.retry_after_s > 0.0:
                credit.exhausted_until = now + grant.retry_after_s
            self._changed.notify_all()

    def tick(self):
        """Fetch ahead, let go of what is not used, and go on alone where an owner is silent."""
        now = self._clock()
        with self._changed:
            for team, credit in self._credit_by_team.items():
                self._share_alone(self._quota_by_team[team], credit, now)
                most = max(RETURN_FACTOR * credit.ahead(now), self._share_of(self._quota_by_team[team]))
                credit.balance = min(credit.balance, most)
        self.ask()

    def dump(self):
        """Plain data for the state dump."""
        with self._changed:
            return {
                team: {"balance": int(credit.balance), "demand_per_s": int(credit.demand_per_s)}
                for team, credit in self._credit_by_team.items()
            }

    def _wait_for(self, credit, units, now):
        """Wait until the owner has answered; ``None`` once there is enough, else the refusal."""
        until = now + WAIT_S
        if now >= credit.exhausted_until:
            credit.needed += units
            self._call_soon(self.ask)
        while credit.balance < units:
            now = self._clock()
            if now < credit.exhausted_until:
                return QuotaRefused(retry_after_s=credit.exhausted_until - now)
            if now >= until or not self._changed.wait(until - now):
                return QuotaRefused(retry_after_s=SILENT_S)
        return None

    def _share_alone(self, quota, credit, now):
        # The owner died, or the way to it is cut. All routers that can't reach it together give out no
        # more than their shares, which the owner leaves out of what it grants.
        elapsed_s = min(SHARE_HELD_S, now - credit.shared_at)
        credit.shared_at = now
        if credit.asked_at is None or now - credit.asked_at < SILENT_S:
            return
        share_per_s = self._share_of(quota)
        credit.balance = min(credit.balance + elapsed_s * share_per_s, SHARE_HELD_S * share_per_s)
        self._changed.notify_all()

    def _share_of(self, quota):
        return quota.rate_per_s / max(1, self._members())
