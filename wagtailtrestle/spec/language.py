"""Building blocks of specifications: finite variables, guarded actions, properties and safeguards.

Everything is a z3 term over bit vectors and Booleans, so that the same specification serves
bounded search, proof by induction and replay against the code.
"""

import z3


class Domain:
    """A finite set of named values, encoded as bit vectors.

    Parameters
    ----------
    names : tuple of str
        The first one is encoded as 0.
    """

    __slots__ = ("names", "sort", "_values_by_name")

    def __init__(self, *names):
        self.names = names
        self.sort = z3.BitVecSort(max(1, (len(names) - 1).bit_length()))
        self._values_by_name = {name: z3.BitVecVal(code, self.sort) for code, name in enumerate(names)}

    def __getitem__(self, name):
        return self._values_by_name[name]

    def variable(self, name):
        """Make a variable of this domain."""
        return z3.Const(name, self.sort)

    def within(self, term):
        """Build the constraint that a term is one of the named values."""
        return z3.ULE(term, z3.BitVecVal(len(self.names) - 1, self.sort))

    def read(self, value):
        """Return the name of a value from a model."""
        return self.names[value.as_long()]


class Truth:
    """The Boolean domain, with the interface of :class:`Domain`."""

    __slots__ = ()

    def variable(self, name):
        """Make a Boolean variable."""
        return z3.Bool(name)

    def within(self, term):
        """Build the trivial constraint: every Boolean is in the domain."""
        return z3.BoolVal(True)

    def read(self, value):
        """Convert a value from a model to ``bool``."""
        return z3.is_true(value)


TRUTH = Truth()
TRUE = z3.BoolVal(True)
FALSE = z3.BoolVal(False)


class Action:
    """A transition that is enabled whenever its guard holds.

    Parameters
    ----------
    name : str
        With its parameters, as printed in traces: ``dispatch(send=0)``.
    guard : z3.BoolRef
        Condition over the state's variables.
    changes : dict of str to z3 term
        New values; variables that are not listed keep theirs.
    """

    __slots__ = ("name", "guard", "changes")

    def __init__(self, *, name, guard, changes):
        self.name = name
        self.guard = guard
        self.changes = changes


class Specification:
    """A transition system with its properties.

    Parameters
    ----------
    name : str
    domains_by_variable : dict of str to Domain
    actions : list of Action
    initial : z3.BoolRef
    properties_by_name : dict of str to z3.BoolRef
        Invariants: must hold in every reachable state.
    lemmas : list of z3.BoolRef
        Auxiliary invariants that make the properties inductive.
    witnesses_by_name : dict of str to z3.BoolRef
        States that must be reachable, so that the properties do not hold vacuously.
    limits_by_name : dict of str to z3.BoolRef
        Plausible guarantees that the design does not give; the checker must refute them.
    """

    __slots__ = (
        "name",
        "domains_by_variable",
        "actions",
        "initial",
        "properties_by_name",
        "lemmas",
        "witnesses_by_name",
        "limits_by_name",
    )

    def __init__(
        self,
        *,
        name,
        domains_by_variable,
        actions,
        initial,
        properties_by_name,
        lemmas=(),
        witnesses_by_name=None,
        limits_by_name=None,
    ):
        self.name = name
        self.domains_by_variable = domains_by_variable
        self.actions = actions
        self.initial = initial
        self.properties_by_name = properties_by_name
        self.lemmas = list(lemmas)
        self.witnesses_by_name = witnesses_by_name or {}
        self.limits_by_name = limits_by_name or {}


class Safeguard:
    """One rule of the design; the checker must refute the specification without it.

    Parameters
    ----------
    rule : str
        The rule, in words.
    breaks : str
        Name of the property that is violated without it.
    opening : tuple of str
        First actions of the search, for mutants whose trace is too long to find from the initial state.
    size : dict
        Sizes of the instance that shows the failure, if the default instance is too small.
    """

    __slots__ = ("rule", "breaks", "opening", "size")

    def __init__(self, *, rule, breaks, opening=(), size=None):
        self.rule = rule
        self.breaks = breaks
        self.opening = opening
        self.size = size or {}


class Builder:
    """Collects variables and actions of one specification or mutant.

    Parameters
    ----------
    safeguards : dict of str to Safeguard
    without : str
        The safeguard to leave out, empty for none.
    """

    def __init__(self, *, safeguards, without):
        if without and without not in safeguards:
            raise KeyError(without)
        self.without = without
        self.domains_by_variable = {}
        self.actions = []
        self._terms_by_variable = {}
        self._initial = []

    def keeps(self, safeguard):
        """Whether this instance has the safeguard."""
        return self.without != safeguard

    def declare(self, domain, name, *indices, initial):
        """Add a variable and its initial value."""
        key = variable_name(name, *indices)
        self.domains_by_variable[key] = domain
        self._terms_by_variable[key] = domain.variable(key)
        self._initial.append(self._terms_by_variable[key] == initial)

    def v(self, name, *indices):
        """Return the term of a variable."""
        return self._terms_by_variable[variable_name(name, *indices)]

    def act(self, name, guards, changes, **parameters):
        """Add an action; ``changes`` maps variable names to terms."""
        guard = z3.And(list(guards)) if guards else TRUE
        self.actions.append(Action(name=action_name(name, **parameters), guard=guard, changes=changes))

    @property
    def initial(self):
        """Constraint that holds in the initial state."""
        return z3.And(self._initial)


def variable_name(name, *indices):
    """Return the name of an indexed variable, such as ``asked[0,1]``."""
    return f"{name}[{','.join(map(str, indices))}]" if indices else name


def action_name(name, **parameters):
    """Return the name of an action with its parameters, such as ``ask(send=0, writer=1)``."""
    return f"{name}({', '.join(f'{key}={value}' for key, value in parameters.items())})"


def all_of(terms):
    """Return the conjunction of the terms."""
    return z3.And(list(terms))


def any_of(terms):
    """Return the disjunction of the terms."""
    return z3.Or(list(terms))


def at_most_one(terms):
    """Build the constraint that no two of the terms hold."""
    terms = list(terms)
    pairs = [z3.Not(z3.And(one, other)) for index, one in enumerate(terms) for other in terms[index + 1 :]]
    return z3.And(pairs)
