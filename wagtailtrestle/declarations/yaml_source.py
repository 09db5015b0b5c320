"""Parsing of YAML text to nodes with line numbers.

The text is untrusted: nothing here raises on any input, however hostile. Nodes are built from the
library's flat stream of events, without recursion, in the same pass that rejects forbidden constructs.
"""

import yaml

from wagtailtrestle.record import record

MAX_TEXT_BYTES = 1_000_000
MAX_NESTING_DEPTH = 16
MAX_REASON_LENGTH = 200
NULL_LITERALS = ("", "~", "null", "Null", "NULL")
# The pure Python loader takes several times longer on a huge declaration; it is the fallback where
# the C library is missing.
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@record
class Fault:
    """One fault in a file.

    Parameters
    ----------
    file : str
    line : int
        Counted from 1; 0 if the fault concerns the whole file.
    field : str
        Path of the field, for instance ``engines[asistente-3].zone``.
    problem : str
        What is wrong.
    allowed : str
        What is allowed there.
    """

    file: str
    line: int
    field: str
    problem: str
    allowed: str

    def __str__(self):
        """Return the fault in one line, as ``FILE:LINE``, which editors can jump to, and a description."""
        where = f"{self.file}:{self.line}" if self.line else self.file
        field = f" {self.field}:" if self.field else ""
        return f"{where}:{field} {self.problem}; allowed: {self.allowed}"


class FaultList:
    """Collects the faults of one file."""

    __slots__ = ("file", "faults")

    def __init__(self, *, file):
        self.file = file
        self.faults = []

    def add(self, *, line, field, problem, allowed):
        """Record a fault at a line, or at line 0 for the whole file."""
        self.faults.append(Fault(file=self.file, line=line, field=field, problem=problem, allowed=allowed))

    def sorted_by_line(self):
        """Return the faults as a tuple, sorted by line."""
        return tuple(sorted(self.faults, key=lambda fault: fault.line))


class ScalarNode:
    """A scalar as written; ``is_quoted`` marks text that YAML must not read as another type."""

    __slots__ = ("line", "text", "is_quoted")

    def __init__(self, *, line, text, is_quoted):
        self.line = line
        self.text = text
        self.is_quoted = is_quoted

    @property
    def is_null(self):
        """Whether the value is empty or a null literal."""
        return not self.is_quoted and self.text in NULL_LITERALS

    @property
    def is_text(self):
        """Whether any YAML parser reads the value as a string, not as a number or boolean."""
        if self.is_quoted:
            return True
        resolvers = Loader.yaml_implicit_resolvers.get(self.text[:1], ())
        return not any(pattern.match(self.text) for _, pattern in resolvers)


class SequenceNode:
    """A list; ``items`` holds its nodes."""

    __slots__ = ("line", "items")

    def __init__(self, *, line):
        self.line = line
        self.items = []

    def add(self, node):
        """Append the next node."""
        self.items.append(node)


class MappingNode:
    """A mapping; ``pairs`` holds ``(key node, value node)`` in the order written."""

    __slots__ = ("line", "pairs", "_key")

    def __init__(self, *, line):
        self.line = line
        self.pairs = []
        self._key = None

    def add(self, node):
        """Add the next node; keys and values alternate."""
        if self._key is None:
            self._key = node
            return
        self.pairs.append((self._key, node))
        self._key = None


@record
class _Rejection:
    problem: str
    allowed: str


def compose(text, *, faults):
    """Return the root node of one YAML document, or ``None`` with a fault recorded.

    Parameters
    ----------
    text : str or bytes
    faults : FaultList
    """
    text = _decode(text, faults=faults)
    if text is None:
        return None
    try:
        node = _build(text, faults=faults)
    except yaml.YAMLError as error:
        _add_yaml_error(error, faults=faults)
        return None
    if node is None and not faults.faults:
        faults.add(line=0, field="", problem="is empty", allowed="a mapping of fields")
    return node


def read_file(path):
    """Return a file's bytes, at most one more than the limit, which shows that it is too long.

    Returns
    -------
    bytes or str
        If a string, the reason why the file can't be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read(MAX_TEXT_BYTES + 1)
    except (OSError, ValueError) as error:
        return f"can't be read: {getattr(error, 'strerror', None) or error}"


def _add_yaml_error(error, *, faults):
    mark = getattr(error, "problem_mark", None)
    context_mark = getattr(error, "context_mark", None)
    reason = getattr(error, "problem", None) or getattr(error, "reason", None) or "unreadable"
    problem = f"is not YAML: {str(reason)[:MAX_REASON_LENGTH]}"
    if context_mark is not None and context_mark.line != mark.line:
        problem += f", in the structure that begins on line {context_mark.line + 1}"
    faults.add(line=mark.line + 1 if mark else 0, field="", problem=problem, allowed="one YAML document")


def _decode(text, *, faults):
    if isinstance(text, str):
        # A lone surrogate can't be sent to the platform; it gives the UTF-8 fault below.
        text = text.encode(errors="surrogatepass")
    if not isinstance(text, (bytes, bytearray)):
        faults.add(line=0, field="", problem="is not text", allowed="YAML text")
        return None
    if len(text) > MAX_TEXT_BYTES:
        allowed = f"at most {MAX_TEXT_BYTES} bytes"
        faults.add(line=0, field="", problem="is too long", allowed=allowed)
        return None
    try:
        return text.decode()
    except UnicodeDecodeError:
        faults.add(line=0, field="", problem="is not text in UTF-8", allowed="YAML text in UTF-8")
        return None


def _build(text, *, faults):
    """Build the tree of one document from its events."""
    root = None
    open_nodes = []
    for event in yaml.parse(text, Loader=Loader):
        if isinstance(event, yaml.CollectionEndEvent):
            open_nodes.pop()
            continue
        line = event.start_mark.line + 1
        refused = _find_forbidden(event, depth=len(open_nodes), is_second=root is not None)
        if refused is not None:
            faults.add(line=line, field="", problem=refused.problem, allowed=refused.allowed)
            return None
        node = _node(event, line=line)
        if node is None:
            continue
        if open_nodes:
            open_nodes[-1].add(node)
        else:
            root = node
        if not isinstance(node, ScalarNode):
            open_nodes.append(node)
    return root


def _node(event, *, line):
    if isinstance(event, yaml.ScalarEvent):
        return ScalarNode(line=line, text=event.value, is_quoted=bool(event.style))
    if isinstance(event, yaml.MappingStartEvent):
        return MappingNode(line=line)
    if isinstance(event, yaml.SequenceStartEvent):
        return SequenceNode(line=line)
    return None


def _find_forbidden(event, *, depth, is_second):
    """Return why no node may be built for an event, or ``None``.

    A few bytes of nested aliases expand to billions of nodes, and deep nesting overflows the stack of
    code that traverses the tree: the process would hang or crash. Without either, the tree is no
    larger than the text, whose size is bounded.
    """
    if isinstance(event, yaml.NodeEvent):
        if event.anchor is not None:
            return _Rejection(
                problem="has an anchor or an alias ('&' or '*')", allowed="the value itself, or quoted text"
            )
        if event.tag is not None:
            return _Rejection(problem="has a tag ('!')", allowed="plain YAML without tags")
        if isinstance(event, yaml.CollectionStartEvent) and depth >= MAX_NESTING_DEPTH:
            return _Rejection(problem="is nested too deeply", allowed=f"at most {MAX_NESTING_DEPTH} levels")
    if isinstance(event, yaml.DocumentStartEvent) and is_second:
        return _Rejection(problem="holds a second document", allowed="one YAML document in a file")
    return None
