"""Open-loop arrivals for the two example deployments, drawn in advance from a fixed seed.

Lengths are log-normal and vary by a factor of more than a hundred. The prompts of a team share its
system prompt, and some requests extend the prompt of an earlier request.
"""

import copy
import math
import random

from wagtailtrestle.engines.prefix_cache import BLOCK_TOKENS

MIN_PROMPT_TOKENS = 8
MIN_OUTPUT_TOKENS = 4
FOLLOW_UP_WINDOW_S = 15.0
FOLLOW_UP_EXTRA_TOKENS = 128
MAX_CAP_RATIO = 2.0
BLOCK_BITS = 63
MEAN_SAMPLE = 20_000


class RequestKind:
    """One kind of request in a mix; lengths in tokens, times in seconds.

    Parameters
    ----------
    route : str
        Declared route, which determines tier, repeatability and teams.
    share : float
        Share of all requests.
    prompt_median, prompt_sigma, prompt_max
        Log-normal length of the prompt after the team's system prompt, up to a maximum.
    output_median, output_sigma, output_max
        Log-normal length of the actual answer, up to a maximum.
    deadline_s : float
        Deadline that callers request; the route's default is longer.
    shared_tokens : int
        Length of the team's system prompt.
    follow_up_share : float
        Share of requests that repeat the prompt of an earlier request of the team and extend it.
    """

    __slots__ = (
        "route",
        "share",
        "prompt_median",
        "prompt_sigma",
        "prompt_max",
        "output_median",
        "output_sigma",
        "output_max",
        "deadline_s",
        "shared_tokens",
        "follow_up_share",
    )

    def __init__(self, *, route, share, prompt, output, deadline_s, shared_tokens, follow_up_share=0.0):
        self.route = route
        self.share = share
        self.prompt_median, self.prompt_sigma, self.prompt_max = prompt
        self.output_median, self.output_sigma, self.output_max = output
        self.deadline_s = deadline_s
        self.shared_tokens = shared_tokens
        self.follow_up_share = follow_up_share


MIX_BY_SERVICE = {
    "asistente": (
        RequestKind(
            route="question",
            share=0.5,
            prompt=(80, 0.8, 1500),
            output=(60, 0.7, 400),
            deadline_s=8.0,
            shared_tokens=256,
        ),
        RequestKind(
            route="plan",
            share=0.1,
            prompt=(3000, 0.9, 16000),
            output=(400, 0.5, 1200),
            deadline_s=30.0,
            shared_tokens=512,
            follow_up_share=0.15,
        ),
        RequestKind(
            route="tagging",
            share=0.4,
            prompt=(250, 1.0, 4000),
            output=(15, 0.5, 60),
            deadline_s=20.0,
            shared_tokens=256,
        ),
    ),
    "naamkosh": (
        RequestKind(
            route="wording-check",
            share=0.55,
            prompt=(60, 0.8, 1200),
            output=(40, 0.7, 300),
            deadline_s=6.0,
            shared_tokens=320,
        ),
        RequestKind(
            route="petition",
            share=0.15,
            prompt=(1500, 1.0, 12000),
            output=(500, 0.6, 1500),
            deadline_s=30.0,
            shared_tokens=512,
            follow_up_share=0.15,
        ),
        RequestKind(
            route="gazette",
            share=0.3,
            prompt=(800, 1.0, 8000),
            output=(300, 0.7, 1200),
            deadline_s=40.0,
            shared_tokens=256,
        ),
    ),
}


class Arrival:
    """One request of a plan.

    Parameters
    ----------
    number : int
    at_s : float
    kind : RequestKind
    team : str
    prompt_tokens : int
    output_tokens : int
        Actual length of the answer, known only to the engine.
    output_cap : int
        Maximum number of output tokens that the caller requests.
    prefix_blocks : tuple of int
    reusable_tokens : int
        Prompt tokens shared with an earlier prompt, which an ideal cache would hold.
    """

    __slots__ = (
        "number",
        "at_s",
        "kind",
        "team",
        "prompt_tokens",
        "output_tokens",
        "output_cap",
        "prefix_blocks",
        "reusable_tokens",
    )

    def __init__(
        self,
        *,
        number,
        at_s,
        kind,
        team,
        prompt_tokens,
        output_tokens,
        output_cap,
        prefix_blocks,
        reusable_tokens,
    ):
        self.number = number
        self.at_s = at_s
        self.kind = kind
        self.team = team
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.output_cap = output_cap
        self.prefix_blocks = prefix_blocks
        self.reusable_tokens = reusable_tokens


def with_deadline(arrival, deadline_s):
    """Return the arrival with another deadline."""
    changed = copy.copy(arrival)
    changed.kind = copy.copy(arrival.kind)
    changed.kind.deadline_s = deadline_s
    return changed


class ArrivalGenerator:
    """Generates the arrivals of one service from a seed.

    Parameters
    ----------
    service : Service
        Declared service; its routes name the teams that may call them.
    teams_by_name : dict of str to Team
    seed : int
    """

    def __init__(self, *, service, teams_by_name, seed):
        self._service = service
        self._teams_by_name = teams_by_name
        self._random = random.Random(f"{service.name} {seed}")
        self._mix = MIX_BY_SERVICE[service.name]
        self._shared_by_team = {}
        self._recent_by_team = {}

    def arrivals(self, *, rate, duration_s):
        """Generate Poisson arrivals of ``rate`` requests per second over ``duration_s``."""
        drawn = []
        at_s = self._random.expovariate(rate)
        while at_s < duration_s:
            drawn.append(self._arrival(len(drawn), at_s))
            at_s += self._random.expovariate(rate)
        return drawn

    def mean(self, cost_of):
        """Return the mean of ``cost_of(arrival)`` over ``MEAN_SAMPLE`` requests of the mix."""
        drawn = [self._arrival(number, 0.0) for number in range(MEAN_SAMPLE)]
        return sum(map(cost_of, drawn)) / len(drawn)

    def _arrival(self, number, at_s):
        kind = self._random.choices(self._mix, [kind.share for kind in self._mix])[0]
        team = self._team(kind)
        blocks, prompt_tokens, reusable = self._prompt(kind, team, at_s)
        output = self._length(kind.output_median, kind.output_sigma, MIN_OUTPUT_TOKENS, kind.output_max)
        return Arrival(
            number=number,
            at_s=at_s,
            kind=kind,
            team=team,
            prompt_tokens=prompt_tokens,
            output_tokens=output,
            output_cap=math.ceil(output * self._random.uniform(1.0, MAX_CAP_RATIO)),
            prefix_blocks=blocks,
            reusable_tokens=reusable,
        )

    def _team(self, kind):
        names = self._service.routes_by_name[kind.route].teams or tuple(self._teams_by_name)
        return self._random.choices(names, [self._teams_by_name[name].share for name in names])[0]

    def _prompt(self, kind, team, at_s):
        recent = self._recent_by_team.get((kind.route, team))
        if recent and at_s - recent[0] < FOLLOW_UP_WINDOW_S and self._random.random() < kind.follow_up_share:
            _, blocks, tokens = recent
            extra = FOLLOW_UP_EXTRA_TOKENS
            return blocks + self._new_blocks(extra), tokens + extra, len(blocks) * BLOCK_TOKENS
        shared = self._shared_blocks(kind, team)
        own = self._length(kind.prompt_median, kind.prompt_sigma, MIN_PROMPT_TOKENS, kind.prompt_max)
        blocks = shared + self._new_blocks(own)
        tokens = kind.shared_tokens + own
        self._recent_by_team[kind.route, team] = (at_s, blocks, tokens)
        return blocks, tokens, len(shared) * BLOCK_TOKENS

    def _shared_blocks(self, kind, team):
        key = (kind.route, team)
        if key not in self._shared_by_team:
            self._shared_by_team[key] = self._new_blocks(kind.shared_tokens)
        return self._shared_by_team[key]

    def _new_blocks(self, tokens):
        return tuple(self._random.getrandbits(BLOCK_BITS) for _ in range(tokens // BLOCK_TOKENS))

    def _length(self, median, sigma, minimum, maximum):
        return int(min(max(median * math.exp(self._random.gauss(0.0, sigma)), minimum), maximum))
