"""Searches a specification for traces that violate a property, and proves that there are none.

Both methods use z3. *Bounded search* unrolls the transition relation and returns the shortest
trace. *Induction* shows that every single step, from any state that satisfies the properties
and lemmas, preserves them; this holds for traces of any length.
"""

import re

import z3


class Step:
    """One step of a trace: the action taken and the state after it.

    Parameters
    ----------
    action : str
        ``name(key=value, …)``; empty for the initial state.
    state : dict of str to str or bool
    """

    __slots__ = ("action", "state")

    def __init__(self, *, action, state):
        self.action = action
        self.state = state

    @property
    def verb(self):
        """Name of the action without its parameters."""
        return self.action.partition("(")[0]

    @property
    def parameters(self):
        """Parameters of the action, numbers as ``int``."""
        pairs = re.findall(r"(\w+)=(\w+)", self.action)
        return {key: int(value) if value.isdigit() else value for key, value in pairs}


class Trace:
    """A sequence of states and actions that starts in an initial state."""

    __slots__ = ("steps",)

    def __init__(self, *, steps):
        self.steps = steps

    @property
    def actions(self):
        """Names of the actions, in order."""
        return [step.action for step in self.steps[1:]]

    def text(self):
        """Format one line per step: the action and the variables that it changed."""
        lines = []
        before = self.steps[0].state
        for number, step in enumerate(self.steps[1:], start=1):
            changed = [f"{name} = {value}" for name, value in step.state.items() if before[name] != value]
            lines.append(f"  {number:2}. {step.action:<44} {', '.join(changed)}")
            before = step.state
        return "\n".join(lines)


class Bounded:
    """Bounded search: unrolls the steps of a specification one by one.

    Parameters
    ----------
    specification : Specification
    opening : tuple of str
        Actions that the first steps are constrained to take.
    """

    def __init__(self, specification, *, opening=()):
        self._specification = specification
        self._opening = opening
        self._solver = z3.SolverFor("QF_FD")
        self._states = []
        self._choices = []
        self._choice = z3.Const("choice", z3.BitVecSort(len(specification.actions).bit_length()))
        self._now = _variables(specification, "")
        self._next = _variables(specification, "'")
        # Built once: substituting variables in one term is much cheaper than building the term for each step.
        self._relation = self._step_relation()
        self._states.append(_variables(specification, "@0"))
        self._solver.add(self._at(specification.initial, 0))

    @property
    def depth(self):
        """Number of steps unrolled so far."""
        return len(self._choices)

    @property
    def conflicts(self):
        """Number of conflicts in the SAT solver so far."""
        statistics = self._solver.statistics()
        return next((statistics.get_key_value(key) for key in statistics.keys() if key == "sat conflicts"), 0)

    def deepen(self):
        """Unroll one more step."""
        choice = z3.Const(f"choice@{self.depth}", self._choice.sort())
        if self.depth < len(self._opening):
            self._solver.add(self._takes(choice, self._opening[self.depth]))
        state, after = self._states[-1], _variables(self._specification, f"@{self.depth + 1}")
        pairs = [(self._choice, choice)]
        pairs += [(self._now[name], state[name]) for name in state]
        pairs += [(self._next[name], after[name]) for name in state]
        self._solver.add(z3.substitute(self._relation, pairs))
        self._choices.append(choice)
        self._states.append(after)

    def search(self, bad):
        """Return a trace whose last state satisfies ``bad``, or ``None`` if there is none of at most this depth.

        A step may leave the state unchanged, so shorter traces are covered too.
        """
        self._solver.push()
        self._solver.add(self._at(bad, self.depth))
        found = self._solver.check()
        trace = self._trace(self._solver.model()) if found == z3.sat else None
        self._solver.pop()
        if found == z3.unknown:
            raise RuntimeError(f"the solver returned unknown: {self._solver.reason_unknown()}")
        return trace

    def _step_relation(self):
        """Transition relation: the chosen action's guard holds and its changes apply, or the state stays the same."""
        actions = self._specification.actions
        taken = [self._choice == index for index in range(len(actions))]
        parts = [z3.ULE(self._choice, len(actions))]
        parts += [z3.Implies(one, action.guard) for one, action in zip(taken, actions, strict=True)]
        for name, term in self._next.items():
            value = self._now[name]
            for one, action in zip(taken, actions, strict=True):
                if name in action.changes:
                    value = z3.If(one, action.changes[name], value)
            parts.append(term == value)
        return z3.And(parts)

    def _takes(self, choice, name):
        names = [action.name for action in self._specification.actions]
        return choice == names.index(name)

    def _at(self, term, number):
        state = self._states[number]
        return z3.substitute(term, [(self._now[name], state[name]) for name in state])

    def _trace(self, model):
        steps = [Step(action="", state=self._read(model, 0))]
        for number, choice in enumerate(self._choices):
            index = model.eval(choice, model_completion=True).as_long()
            if index < len(self._specification.actions):
                action = self._specification.actions[index].name
                steps.append(Step(action=action, state=self._read(model, number + 1)))
        return Trace(steps=steps)

    def _read(self, model, number):
        return {
            name: domain.read(model.eval(self._states[number][name], model_completion=True))
            for name, domain in self._specification.domains_by_variable.items()
        }


def _variables(specification, suffix):
    return {name: domain.variable(name + suffix) for name, domain in specification.domains_by_variable.items()}


def shortest_trace(specification, bad, *, max_steps, opening=()):
    """Return the shortest trace to a ``bad`` state, or ``None`` if there is none of at most ``max_steps``."""
    bounded = Bounded(specification, opening=opening)
    for _ in range(max_steps):
        bounded.deepen()
        trace = bounded.search(bad)
        if trace is not None:
            return trace
    return None


class Gap:
    """Counterexample to an induction: ``action`` leads from a state that satisfies all facts to one that does not."""

    __slots__ = ("action", "broken", "trace")

    def __init__(self, *, action, broken, trace):
        self.action = action
        self.broken = broken
        self.trace = trace


class Inductive:
    """Proof by induction that a specification's properties hold in every reachable state.

    Parameters
    ----------
    specification : Specification
    """

    __slots__ = ("_specification", "_facts_by_name", "_variables")

    def __init__(self, specification):
        self._specification = specification
        domains = specification.domains_by_variable
        self._variables = {name: domain.variable(name) for name, domain in domains.items()}
        within = z3.And([domain.within(self._variables[name]) for name, domain in domains.items()])
        self._facts_by_name = {"domains": within, **specification.properties_by_name}
        self._facts_by_name |= {f"lemma {number}": lemma for number, lemma in enumerate(specification.lemmas)}

    def gap(self):
        """Return the first gap in the proof, or ``None`` if the proof succeeds."""
        fact = z3.And(list(self._facts_by_name.values()))
        solver = z3.SolverFor("QF_FD")
        solver.add(self._specification.initial, z3.Not(fact))
        if solver.check() != z3.unsat:
            return Gap(action="initial", broken=self._broken(solver.model(), {}), trace=None)
        for action in self._specification.actions:
            found = self._gap_at(action, fact)
            if found is not None:
                return found
        return None

    def _gap_at(self, action, fact):
        changes = [(self._variables[name], term) for name, term in action.changes.items()]
        after = z3.substitute(fact, changes) if changes else fact
        solver = z3.SolverFor("QF_FD")
        solver.add(fact, action.guard, z3.Not(after))
        if solver.check() == z3.unsat:
            return None
        model = solver.model()
        return Gap(action=action.name, broken=self._broken(model, action.changes), trace=self._pair(model, action))

    def _broken(self, model, changes):
        pairs = [(self._variables[name], term) for name, term in changes.items()]
        return [
            name
            for name, fact in self._facts_by_name.items()
            if not z3.is_true(model.eval(z3.substitute(fact, pairs) if pairs else fact, model_completion=True))
        ]

    def _pair(self, model, action):
        domains = self._specification.domains_by_variable
        before = {name: model.eval(term, model_completion=True) for name, term in self._variables.items()}
        after = {
            name: model.eval(action.changes.get(name, self._variables[name]), model_completion=True) for name in before
        }

        def read(state):
            return {name: domain.read(state[name]) for name, domain in domains.items()}

        return Trace(steps=[Step(action="", state=read(before)), Step(action=action.name, state=read(after))])


def covering_traces(specification, *, max_steps):
    """Return a shortest trace to each action that is reachable within ``max_steps``, by action name."""
    bounded = Bounded(specification)
    traces_by_action = {}
    for _ in range(max_steps):
        bounded.deepen()
        for action in specification.actions:
            if action.name in traces_by_action:
                continue
            trace = bounded.search(action.guard)
            if trace is not None:
                end = Step(action=action.name, state=trace.steps[-1].state)
                traces_by_action[action.name] = Trace(steps=[*trace.steps, end])
    return traces_by_action
