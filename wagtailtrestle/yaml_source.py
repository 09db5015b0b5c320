"""YAML text to nodes that know their lines, and readers that collect every fault at once.

Text comes from outside: nothing here raises on any input, however hostile.
"""

from dataclasses import dataclass

import yaml

from wagtailtrestle.argument_types import Wrong, shown

LARGEST_TEXT_BYTES = 1_000_000
LARGEST_DEPTH = 16
STRING_TAG = "tag:yaml.org,2002:str"
NULL_TAG = "tag:yaml.org,2002:null"
REQUIRED = object()
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(slots=True, frozen=True, kw_only=True)
class Fault:
    """One thing wrong in a file.

    Parameters
    ----------
    file : str
    line : int
        From 1; 0 if the fault is the whole file's.
    field : str
        Where in the structure, for instance ``engines[asistente-3].zone``.
    problem : str
        What is wrong.
    allowed : str
        What may stand there.
    """

    file: str
    line: int
    field: str
    problem: str
    allowed: str

    def __str__(self):
        """Say the fault in one line, in the form editors can jump to."""
        where = f"{self.file}:{self.line}" if self.line else self.file
        field = f" {self.field}:" if self.field else ""
        return f"{where}:{field} {self.problem}; allowed: {self.allowed}"


class FaultList:
    """Collects the faults of one file."""

    __slots__ = ("file", "faults")

    def __init__(self, *, file):
        self.file = file
        self.faults = []

    def add(self, *, node, field, problem, allowed):
        """Record a fault at a node's line, or of the whole file without a node."""
        line = node.start_mark.line + 1 if node is not None else 0
        self.add_at(line=line, field=field, problem=problem, allowed=allowed)

    def add_at(self, *, line, field, problem, allowed):
        """Record a fault at a line."""
        self.faults.append(Fault(file=self.file, line=line, field=field, problem=problem, allowed=allowed))

    def in_order(self):
        """Return the faults as a tuple, by line."""
        return tuple(sorted(self.faults, key=lambda fault: fault.line))


def compose(text, *, faults):
    """Return the root node of one safe YAML document, or ``None`` with a fault recorded.

    Parameters
    ----------
    text : str or bytes
    faults : FaultList
    """
    text = _decoded(text, faults=faults)
    if text is None:
        return None
    try:
        if not _is_plain_tree(text, faults=faults):
            return None
        node = yaml.compose(text, Loader=Loader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        reason = getattr(error, "problem", None) or getattr(error, "reason", None) or "unreadable"
        faults.add_at(
            line=mark.line + 1 if mark else 0,
            field="",
            problem=f"is not YAML: {str(reason)[:200]}",
            allowed="one YAML document",
        )
        return None
    if node is None:
        faults.add_at(line=0, field="", problem="is empty", allowed="a mapping of fields")
    return node


def _decoded(text, *, faults):
    if isinstance(text, str):
        try:
            text = text.encode()
        except UnicodeEncodeError:
            text = b"\xff"
    if not isinstance(text, (bytes, bytearray)):
        faults.add_at(line=0, field="", problem="is not text", allowed="YAML text")
        return None
    if len(text) > LARGEST_TEXT_BYTES:
        allowed = f"at most {LARGEST_TEXT_BYTES} bytes"
        faults.add_at(line=0, field="", problem=f"is {len(text)} bytes long", allowed=allowed)
        return None
    try:
        return text.decode()
    except UnicodeDecodeError:
        faults.add_at(line=0, field="", problem="is not text in UTF-8", allowed="YAML text in UTF-8")
        return None


def _is_plain_tree(text, *, faults):
    """Tell whether composing is safe; records a fault if not.

    A few bytes of nested aliases stand for billions of nodes, and deep nesting overruns
    the C stack of the composer: the process would hang or die. Both show in the
    flat stream of events, which needs neither memory nor recursion.
    """
    depth = 0
    documents = 0
    for event in yaml.parse(text, Loader=Loader):
        fault = None
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > LARGEST_DEPTH:
                fault = ("is nested too deeply", f"at most {LARGEST_DEPTH} levels")
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        elif isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                fault = ("holds a second document", "one YAML document in a file")
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            fault = ("has an anchor or an alias ('&' or '*')", "values written out, or quoted text")
        elif isinstance(event, yaml.NodeEvent) and event.tag is not None:
            fault = ("has a tag ('!')", "plain YAML without tags")
        if fault:
            line = event.start_mark.line + 1
            faults.add_at(line=line, field="", problem=fault[0], allowed=fault[1])
            return False
    return True


class MappingReader:
    """Reads the fields of one YAML mapping; ``close`` reports those nobody asked for."""

    __slots__ = ("node", "field", "faults", "_nodes_by_key", "_known")

    def __init__(self, *, node, field, faults):
        self.node = node
        self.field = field
        self.faults = faults
        self._nodes_by_key = {}
        self._known = []
        for key, value in node.value:
            self._add(key, value)

    def _add(self, key, value):
        if not isinstance(key, yaml.ScalarNode):
            self.faults.add(
                node=key, field=self.field, problem="has a key that is not a word", allowed="a field's name"
            )
        elif key.value in self._nodes_by_key:
            field = self.path(shown(key.value)[1:-1])
            self.faults.add(node=key, field=field, problem="stands here twice", allowed="each field once")
        else:
            self._nodes_by_key[key.value] = (key, value)

    def path(self, name):
        """Return the full name of one of this mapping's fields."""
        return f"{self.field}.{name}" if self.field else name

    def keys(self):
        """Return ``(key node, value node)`` pairs, for a mapping whose keys are data."""
        return tuple(self._nodes_by_key.values())

    def get(self, name, *, allowed="this field", required=True):
        """Return the node of a field, or ``None`` (a fault if it is required)."""
        self._known.append(name)
        if name in self._nodes_by_key:
            return self._nodes_by_key[name][1]
        if required:
            self.faults.add(node=self.node, field=self.path(name), problem="is missing", allowed=allowed)
        return None

    def value(self, name, value_type, *, default=REQUIRED):
        """Return the value of a scalar field; ``None`` if it is faulty."""
        node = self.get(name, allowed=value_type.allowed, required=default is REQUIRED)
        if node is None:
            return None if default is REQUIRED else default
        return read_scalar(node, value_type, field=self.path(name), faults=self.faults)

    def values(self, name, value_type, *, required=True):
        """Return ``(value, node)`` for each sound item of a list of scalars."""
        field = self.path(name)
        sound = []
        for node in self.items(name, required=required, allowed=f"a list: {value_type.allowed}"):
            value = read_scalar(node, value_type, field=field, faults=self.faults)
            if value is not None:
                sound.append((value, node))
        return sound

    def items(self, name, *, required=True, allowed="a list"):
        """Return the nodes of a list field; empty if it is absent or no list."""
        node = self.get(name, allowed=allowed, required=required)
        if node is None:
            return ()
        if not isinstance(node, yaml.SequenceNode):
            self.faults.add(node=node, field=self.path(name), problem="is not a list", allowed=allowed)
            return ()
        return node.value

    def mapping(self, name, *, required=True):
        """Return a reader of a mapping field, or ``None``."""
        node = self.get(name, allowed="a mapping of fields", required=required)
        if node is None:
            return None
        return open_mapping(node, field=self.path(name), faults=self.faults)

    def mappings(self, name, *, required=True):
        """Yield a reader for each mapping of a list field, called by its ``name`` or its place."""
        for index, node in enumerate(self.items(name, required=required, allowed="a list of mappings")):
            field = f"{self.path(name)}[{_name_in(node) or index}]"
            reader = open_mapping(node, field=field, faults=self.faults)
            if reader is not None:
                yield reader

    def close(self):
        """Report every field that was never asked for."""
        for name, (key, _) in self._nodes_by_key.items():
            if name not in self._known:
                allowed = ", ".join(self._known)
                field = self.path(shown(name)[1:-1])
                self.faults.add(node=key, field=field, problem="is an unknown field", allowed=allowed)


def open_mapping(node, *, field, faults):
    """Return a reader of a mapping node, or ``None`` with a fault recorded."""
    if isinstance(node, yaml.MappingNode):
        return MappingReader(node=node, field=field, faults=faults)
    faults.add(node=node, field=field, problem="is not a mapping", allowed="a mapping of fields")
    return None


def read_scalar(node, value_type, *, field, faults):
    """Return the value of a scalar node, or ``None`` with a fault recorded."""
    problem = _shape_problem(node, value_type)
    if problem is None:
        value = value_type.read(node.value)
        if not isinstance(value, Wrong):
            return value
        problem = value.problem
    faults.add(node=node, field=field, problem=problem, allowed=value_type.allowed)
    return None


def _shape_problem(node, value_type):
    if not isinstance(node, yaml.ScalarNode):
        return "is not a single value"
    if node.tag == NULL_TAG:
        return "is empty"
    if value_type.is_text and node.tag != STRING_TAG:
        return "is read by YAML as something other than text; put it in quotes"
    if not value_type.is_text and node.style:
        return "is quoted text"
    return None


def _name_in(node):
    if not isinstance(node, yaml.MappingNode):
        return None
    for key, value in node.value:
        if isinstance(key, yaml.ScalarNode) and key.value == "name" and isinstance(value, yaml.ScalarNode):
            return shown(value.value)[1:-1]
    return None
