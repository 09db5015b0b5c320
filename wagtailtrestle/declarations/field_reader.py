"""Reading of YAML mappings field by field; each fault is recorded and reading continues."""

from wagtailtrestle.declarations.argument_types import InvalidValue, quote_value
from wagtailtrestle.declarations.yaml_source import MappingNode, ScalarNode, SequenceNode

REQUIRED = object()


class MappingReader:
    """Reads the fields of one mapping; ``close`` records a fault for each unknown field.

    Parameters
    ----------
    node : MappingNode
    field : str
        Path of the mapping in the file; empty for the root.
    faults : FaultList
    """

    __slots__ = ("node", "field", "faults", "_pairs_by_key", "_requested_fields")

    def __init__(self, *, node, field, faults):
        self.node = node
        self.field = field
        self.faults = faults
        self._pairs_by_key = {}
        self._requested_fields = {}
        for key, value in node.pairs:
            self._add(key, value)

    def _add(self, key, value):
        if not isinstance(key, ScalarNode):
            self.add_fault(None, "has a key that is not a single value", "a field's name", node=key)
        elif key.text in self._pairs_by_key:
            # The YAML library would keep the last one and silently drop the first.
            self.add_fault(_truncate(key.text), "appears here twice", "each field once", node=key)
        else:
            self._pairs_by_key[key.text] = (key, value)

    def path(self, name):
        """Return the path of one of this mapping's fields, or of the mapping if ``name`` is ``None``."""
        if name is None:
            return self.field
        return f"{self.field}.{name}" if self.field else name

    def add_fault(self, name, problem, allowed, *, node=None):
        """Record a fault of a field, at the line of ``node`` if given, else of the field, else of this mapping."""
        line = self.line_of(name) if node is None else node.line
        self.faults.add(line=line, field=self.path(name), problem=problem, allowed=allowed)

    def line_of(self, name):
        """Return the line of a field, or of this mapping if the field is absent."""
        pair = self._pairs_by_key.get(name)
        return self.node.line if pair is None else pair[1].line

    def keys(self):
        """Return the key nodes, for a mapping whose keys are data rather than field names."""
        return tuple(key for key, _ in self._pairs_by_key.values())

    def get(self, name, *, allowed="this field", required=True):
        """Return the node of a field, or ``None`` if it is absent, which is a fault if it is required."""
        self._requested_fields[name] = None
        pair = self._pairs_by_key.get(name)
        if pair is not None:
            return pair[1]
        if required:
            self.add_fault(name, "is missing", allowed)
        return None

    def value(self, name, value_type, *, default=REQUIRED):
        """Return the value of a scalar field, its default if it is absent, or ``None`` if it is faulty."""
        node = self.get(name, allowed=value_type.allowed, required=default is REQUIRED)
        if node is None:
            return None if default is REQUIRED else default
        return read_scalar(node, value_type, field=self.path(name), faults=self.faults)

    def values(self, name, value_type, *, required=True):
        """Return ``(value, node)`` for each valid item of a list of scalars."""
        field = self.path(name)
        valid_items = []
        for node in self.items(name, required=required, allowed=f"a list: {value_type.allowed}"):
            value = read_scalar(node, value_type, field=field, faults=self.faults)
            if value is not None:
                valid_items.append((value, node))
        return valid_items

    def items(self, name, *, required=True, allowed="a list"):
        """Return the nodes of a list field; empty if it is absent or not a list.

        A required list must not be empty.
        """
        node = self.get(name, allowed=allowed, required=required)
        if node is None:
            return ()
        if not isinstance(node, SequenceNode):
            self.add_fault(name, "is not a list", allowed)
            return ()
        if required and not node.items:
            self.add_fault(name, "is empty", "at least one")
        return node.items

    def mapping(self, name, *, required=True):
        """Return a reader of a mapping field, or ``None`` if it is absent or faulty."""
        node = self.get(name, allowed="a mapping of fields", required=required)
        if node is None:
            return None
        return open_mapping(node, field=self.path(name), faults=self.faults)

    def mappings(self, name, *, required=True):
        """Yield a reader for each mapping of a list field, identified in faults by its ``name`` or its index."""
        for index, node in enumerate(self.items(name, required=required, allowed="a list of mappings")):
            field = f"{self.path(name)}[{_declared_name(node) or index}]"
            reader = open_mapping(node, field=field, faults=self.faults)
            if reader is not None:
                yield reader

    def close(self):
        """Record a fault for each field that was never requested."""
        for name, (key, _) in self._pairs_by_key.items():
            if name not in self._requested_fields:
                self.add_fault(_truncate(name), "is an unknown field", ", ".join(self._requested_fields), node=key)


def open_mapping(node, *, field, faults):
    """Return a reader of a mapping node, or ``None`` with a fault recorded."""
    if isinstance(node, MappingNode):
        return MappingReader(node=node, field=field, faults=faults)
    faults.add(line=node.line, field=field, problem="is not a mapping", allowed="a mapping of fields")
    return None


def read_scalar(node, value_type, *, field, faults):
    """Return the value of a scalar node, or ``None`` with a fault recorded."""
    problem = _shape_problem(node, value_type)
    if problem is None:
        value = value_type.read(node.text)
        if not isinstance(value, InvalidValue):
            return value
        problem = value.problem
    faults.add(line=node.line, field=field, problem=problem, allowed=value_type.allowed)
    return None


def _shape_problem(node, value_type):
    if not isinstance(node, ScalarNode):
        return "is not a single value"
    if node.is_null:
        return "is empty"
    if value_type.is_text and not node.is_text:
        return "is read by YAML as something other than text; put it in quotes"
    if not value_type.is_text and node.is_quoted:
        return "is quoted text"
    return None


def _declared_name(node):
    """Return the value of a mapping's field ``name``, truncated, to identify the mapping in faults."""
    if not isinstance(node, MappingNode):
        return None
    for key, value in node.pairs:
        if isinstance(key, ScalarNode) and key.text == "name" and isinstance(value, ScalarNode):
            return _truncate(value.text)
    return None


def _truncate(text):
    return quote_value(text)[1:-1]
