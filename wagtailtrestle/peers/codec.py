"""Converts the frozen dataclasses that routers exchange to protobuf and back, driven by one table.

A dataclass and its protobuf message have the same field names, so the table only pairs the
types; the conversion follows from the protobuf descriptors.
"""

from dataclasses import fields
from enum import Enum
from typing import get_type_hints

from wagtailtrestle.contracts import (
    ledger_messages,
    messages,
    peer_messages,
    quota_messages,
    rollout_messages,
    stream_messages,
)
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.contracts.peer_messages import MemberState
from wagtailtrestle.contracts.rollout_messages import RolloutState
from wagtailtrestle.entry import poison
from wagtailtrestle.generated import peers_pb2 as pb

# Dataclass -> (name of the body in pb.Item, protobuf class).
BODIES = {
    peer_messages.Hello: ("hello", pb.Hello),
    peer_messages.Ping: ("ping", pb.Ping),
    peer_messages.Pong: ("pong", pb.Pong),
    peer_messages.NoAnswer: ("no_answer", pb.NoAnswer),
    peer_messages.Heartbeat: ("heartbeat", pb.Heartbeat),
    peer_messages.ViewEvent: ("view_event", pb.ViewEvent),
    peer_messages.ViewAsk: ("view_ask", pb.ViewAsk),
    peer_messages.ViewText: ("view_text", pb.ViewText),
    peer_messages.Relayed: ("relayed", pb.Relayed),
    peer_messages.RegisterAsk: ("register_ask", pb.RegisterAsk),
    peer_messages.ConfigurationAsk: ("configuration_ask", pb.ConfigurationAsk),
    peer_messages.ConfigurationText: ("configuration_text", pb.ConfigurationText),
    peer_messages.ConfirmationAsk: ("confirmation_ask", pb.ConfirmationAsk),
    peer_messages.Confirmation: ("confirmation", pb.Confirmation),
    peer_messages.EnginesAsk: ("engines_ask", pb.EnginesAsk),
    peer_messages.EnginesAnswer: ("engines_answer", pb.EnginesAnswer),
    messages.GrantRequest: ("grant_request", pb.GrantRequest),
    messages.Withdraw: ("withdraw", pb.Withdraw),
    messages.RunStarted: ("run_started", pb.RunStarted),
    messages.RunProgress: ("run_progress", pb.RunProgress),
    messages.RunFinished: ("run_finished", pb.RunFinished),
    messages.Register: ("register", pb.Register),
    messages.EngineNotice: ("engine_notice", pb.EngineNotice),
    messages.Granted: ("granted", pb.Granted),
    messages.Refused: ("refused", pb.Refused),
    messages.Preempt: ("preempt", pb.Preempt),
    messages.EngineDown: ("engine_down", pb.EngineDown),
    messages.Queued: ("queued", pb.Queued),
    stream_messages.StreamVersion: ("stream_version", pb.StreamVersion),
    stream_messages.StreamVersionAsk: ("stream_version_ask", pb.StreamVersionAsk),
    ledger_messages.ClaimAsk: ("claim_ask", pb.ClaimAsk),
    ledger_messages.ClaimAnswer: ("claim_answer", pb.ClaimAnswer),
    ledger_messages.SettleAsk: ("settle_ask", pb.SettleAsk),
    ledger_messages.SettleAnswer: ("settle_answer", pb.SettleAnswer),
    ledger_messages.NonceAsk: ("nonce_ask", pb.NonceAsk),
    ledger_messages.NonceAnswer: ("nonce_answer", pb.NonceAnswer),
    poison.CrashReport: ("crash_report", pb.CrashReport),
    poison.CrashClearance: ("crash_clearance", pb.CrashClearance),
    quota_messages.QuotaAsk: ("quota_ask", pb.QuotaAsk),
    rollout_messages.RolloutWord: ("rollout_word", pb.RolloutWord),
    quota_messages.QuotaGrant: ("quota_grant", pb.QuotaGrant),
}

# Types that occur only as fields of others.
PARTS = {
    messages.RunningRecord: pb.RunningRecord,
    messages.RetryHistory: pb.RetryHistory,
    peer_messages.EngineEntry: pb.EngineEntry,
}

# Replacement for an enumeration value unknown here, sent by a newer peer. A refusal for an unknown reason is still
# a refusal: dropping it would leave its request waiting forever.
UNKNOWN_BY_ENUM = {
    Reason: Reason.OVERLOADED,
    MemberState: MemberState.ALIVE,
    RolloutState: RolloutState.RUNNING,
}


class _Converter:
    """Converts one dataclass to one protobuf class, by field names."""

    __slots__ = ("cls", "pb_class", "_plain", "_tuples", "_parts", "_part_tuples", "_enums")

    def __init__(self, *, cls, pb_class):
        self.cls = cls
        self.pb_class = pb_class
        self._plain, self._tuples, self._parts, self._part_tuples = [], [], [], []
        self._enums = {}
        names = [field.name for field in fields(cls)]
        by_name = pb_class.DESCRIPTOR.fields_by_name
        if set(names) != set(by_name):
            raise AssertionError(f"{cls.__name__}: fields differ from peers.proto: {set(names) ^ set(by_name)}")
        hints = get_type_hints(cls)
        for name in names:
            if isinstance(hints[name], type) and issubclass(hints[name], Enum):
                self._enums[name] = hints[name]
            else:
                self._group(by_name[name]).append(name)

    def _group(self, descriptor):
        if descriptor.message_type is not None:
            return self._part_tuples if descriptor.is_repeated else self._parts
        return self._tuples if descriptor.is_repeated else self._plain

    def to_pb(self, message):
        """Build the protobuf message."""
        values = {name: getattr(message, name) for name in self._plain}
        for name in self._tuples:
            values[name] = getattr(message, name)
        for name in self._enums:
            values[name] = getattr(message, name).value
        for name in self._parts:
            values[name] = _part_to_pb(getattr(message, name))
        for name in self._part_tuples:
            values[name] = [_part_to_pb(part) for part in getattr(message, name)]
        return self.pb_class(**values)

    def from_pb(self, body):
        """Build the dataclass."""
        values = {name: getattr(body, name) for name in self._plain}
        for name in self._tuples:
            values[name] = tuple(getattr(body, name))
        for name, enum in self._enums.items():
            values[name] = _enum_from_text(enum, getattr(body, name))
        for name in self._parts:
            values[name] = _part_from_pb(getattr(body, name))
        for name in self._part_tuples:
            values[name] = tuple(_part_from_pb(part) for part in getattr(body, name))
        return self.cls(**values)


def _enum_from_text(enum, text):
    try:
        return enum(text)
    except ValueError:
        return UNKNOWN_BY_ENUM[enum]


def _part_to_pb(part):
    return _converters_by_class[type(part)].to_pb(part)


def _part_from_pb(part):
    return _converters_by_pb[type(part)].from_pb(part)


_converters_by_class = {
    cls: _Converter(cls=cls, pb_class=pb_class)
    for cls, pb_class in [*PARTS.items(), *((cls, pb_class) for cls, (_, pb_class) in BODIES.items())]
}
_converters_by_pb = {converter.pb_class: converter for converter in _converters_by_class.values()}
_converters_by_body = {body: _converters_by_class[cls] for cls, (body, _) in BODIES.items()}


def is_encodable(text):
    """Whether a text can be a field of a message: JSON may hold half of a surrogate pair, UTF-8 can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def encode(message, *, cell="", question=0, answer_to=0):
    """Encode one message as a ``pb.Item``.

    Parameters
    ----------
    message : dataclass instance
        Its type is a key of ``BODIES``.
    cell : str
        Cell that the message concerns, for messages to a scheduler.
    question, answer_to : int
        Number that matches a query with its answer on one connection; 0 for none.
    """
    cls = type(message)
    body, _ = BODIES[cls]
    item = {body: _converters_by_class[cls].to_pb(message)}
    return pb.Item(cell=cell, question=question, answer_to=answer_to, **item)


def decode(item):
    """Decode a ``pb.Item`` to its dataclass, or ``None`` if its body is unknown here."""
    body = item.WhichOneof("body")
    converter = _converters_by_body.get(body)
    if converter is None:
        return None
    return converter.from_pb(getattr(item, body))
