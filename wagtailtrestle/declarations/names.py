"""Names declared so far in a declaration, to detect duplicates and undeclared references."""


class NameTable:
    """Names of one kind, with the lines on which they are declared."""

    __slots__ = ("kind", "lines_by_name")

    def __init__(self, *, kind):
        self.kind = kind
        self.lines_by_name = {}

    def declare(self, reader, field, name, *, node=None):
        """Add the name in ``field``; record a fault if it is declared already.

        Returns
        -------
        bool
            Whether the name is new.
        """
        if name is None:
            return False
        line = reader.line_of(field) if node is None else node.line
        if name in self.lines_by_name:
            problem = f"repeats the {self.kind} {name}, declared on line {self.lines_by_name[name]}"
            reader.add_fault(field, problem, f"each {self.kind} once", node=node)
            return False
        self.lines_by_name[name] = line
        return True

    def check_declared(self, reader, field, name, *, node=None):
        """Record a fault if the name in ``field`` is not declared."""
        if name is not None and name not in self.lines_by_name:
            reader.add_fault(field, f"is {name}, which is not declared", f"a declared {self.kind}", node=node)


class DeclaredNames:
    """Tables of names that the sections of a declaration share."""

    __slots__ = ("zones", "tiers", "teams", "keys", "services", "kinds_by_service")

    def __init__(self):
        self.zones = NameTable(kind="zone")
        self.tiers = NameTable(kind="tier")
        self.teams = NameTable(kind="team")
        self.keys = NameTable(kind="key")
        self.services = NameTable(kind="service")
        self.kinds_by_service = {}
