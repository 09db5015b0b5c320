"""Follows a specification step by step, beside a run of the real code.

Each thing that the code does is told as an action; the monitor says whether the
specification allows it there. That keeps specification and code from drifting apart.
"""

import z3


class NotAllowed(Exception):
    """The code did what the specification does not allow in this state."""


class Monitor:
    """One state of a specification, moved by named actions.

    Parameters
    ----------
    specification : Specification
    """

    __slots__ = ("specification", "taken", "violations", "_actions_by_name", "_terms", "_state")

    def __init__(self, specification):
        self.specification = specification
        self.taken = []
        # Kept here too: a task of the code may swallow what is raised in it.
        self.violations = []
        self._actions_by_name = {action.name: action for action in specification.actions}
        domains = specification.domains_by_variable
        self._terms = {name: domain.variable(name) for name, domain in domains.items()}
        self._state = self._initial_state()

    def allows(self, name):
        """Whether the action may be taken now; an action that does not exist may not."""
        action = self._actions_by_name.get(name)
        return action is not None and z3.is_true(self._value(action.guard))

    def take(self, name):
        """Take an action that must be allowed."""
        if not self.allows(name):
            self.violations.append(f"{name} after {', '.join(self.taken)} in {self.state()}")
            raise NotAllowed(self.violations[-1])
        action = self._actions_by_name[name]
        self._state |= {variable: self._value(term) for variable, term in action.changes.items()}
        self.taken.append(name)

    def take_first(self, *names):
        """Take the first of the actions that is allowed."""
        self.take(next((name for name in names if self.allows(name)), names[0]))

    def read(self, variable):
        """Value of one variable, by name."""
        return self.specification.domains_by_variable[variable].read(self._state[variable])

    def state(self):
        """Return the whole state as plain data."""
        return {variable: self.read(variable) for variable in self._state}

    def broken(self):
        """Names of the properties that do not hold now."""
        properties = self.specification.properties_by_name
        return [name for name, term in properties.items() if not z3.is_true(self._value(term))]

    def _initial_state(self):
        solver = z3.Solver()
        solver.add(self.specification.initial)
        if solver.check() != z3.sat:
            raise ValueError("the specification has no initial state")
        model = solver.model()
        return {name: model.eval(term, model_completion=True) for name, term in self._terms.items()}

    def _value(self, term):
        pairs = [(self._terms[name], value) for name, value in self._state.items()]
        return z3.simplify(z3.substitute(term, pairs))
