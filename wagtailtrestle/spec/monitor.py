"""Runtime monitor: tracks the state of a specification alongside a run of the real code.

Each step of the code is reported as an action, and the monitor checks that the specification
allows it in the present state. This keeps specification and code from drifting apart.
"""

import z3


class NotAllowed(Exception):
    """The code took an action that the specification does not allow in this state."""


class Monitor:
    """Current state of a specification, advanced by named actions.

    Parameters
    ----------
    specification : Specification
    """

    __slots__ = ("specification", "taken", "violations", "_actions_by_name", "_terms", "_state")

    def __init__(self, specification):
        self.specification = specification
        self.taken = []
        # Recorded as well as raised: a task of the code under test may swallow the exception.
        self.violations = []
        self._actions_by_name = {action.name: action for action in specification.actions}
        domains = specification.domains_by_variable
        self._terms = {name: domain.variable(name) for name, domain in domains.items()}
        self._state = self._initial_state()

    def allows(self, name):
        """Whether the action is enabled now; an unknown action never is."""
        action = self._actions_by_name.get(name)
        return action is not None and z3.is_true(self._value(action.guard))

    def take(self, name):
        """Take an action, or record a violation and raise :class:`NotAllowed`."""
        if not self.allows(name):
            self.violations.append(f"{name} after {', '.join(self.taken)} in {self.state()}")
            raise NotAllowed(self.violations[-1])
        action = self._actions_by_name[name]
        self._state |= {variable: self._value(term) for variable, term in action.changes.items()}
        self.taken.append(name)

    def take_first(self, *names):
        """Take the first action that is allowed; if none is, the first name is the violation."""
        self.take(next((name for name in names if self.allows(name)), names[0]))

    def read(self, variable):
        """Return the value of a variable."""
        return self.specification.domains_by_variable[variable].read(self._state[variable])

    def state(self):
        """Return the values of all variables as plain data."""
        return {variable: self.read(variable) for variable in self._state}

    def broken(self):
        """Return the names of the properties that do not hold now."""
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
