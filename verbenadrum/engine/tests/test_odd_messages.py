"""Property-based tests: no well-formed message of a peer, however odd its values, harms a host.

An error of a handler is logged by the shell and concerns one message only. What must not happen is
that a message leaves a state in which later ticks fail or requests are no longer served.
"""

import enum
import random
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.engine import behaviours, engine
from verbenadrum.messages import codec
from verbenadrum.records import types
from verbenadrum.utils import clock

assert behaviours  # Importing it registers the implementations that are chosen by name.

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=40)
CHOICES = {
    "default": engine.Choices(),
    "seeded": engine.Choices(
        host_list="seeded", epochs="counted", claims="local", limits="metered", health="belief"
    ),
}
OWN = ports.HostRow(host="h1", address="127.0.0.1:1", data_centre="d1", region="r1")
NAMES = st.sampled_from(
    ["h1", "h2", "svc", "s1", "r1", "d1", "w", "l1", "", "x" * 300, "\x00", "é"]
)
NUMBERS = st.one_of(st.floats(), st.sampled_from([0.0, -1.0, 1e308, float("inf"), float("nan")]))
INTEGERS = st.one_of(st.integers(-3, 3), st.integers(-(2**63), 2**64 - 1))


class Sink:
    """Records what the core does with one request."""

    def __init__(self):
        self.orders = []
        self.refusals = []

    def dispatch(self, order):
        self.orders.append(order)

    def refuse(self, refusal):
        self.refusals.append(refusal)

    def replay(self, answer):
        self.orders.append(answer)

    def cancel(self, lease):
        pass


class LoneHost:
    """Engine of a host that is alone, with one server; its own messages are delivered at once."""

    def __init__(self, choices):
        self.time = clock.SteppedClock()
        self.outbox = []
        self.engine = engine.Engine(
            context=context.Context(
                host="h1",
                data_centre="d1",
                region="r1",
                incarnation=1,
                clock=self.time,
                rng=random.Random(1),
                send=lambda to, message: self.outbox.append((to, message)),
                decisions=ring.DecisionRing(wall_ms=self.time.wall_ms),
            ),
            choices=choices,
            address="127.0.0.1:1",
        )
        self.engine.apply_hosts(1, (OWN,))
        entry = types.ServerEntry(server="s1", address="127.0.0.1:2")
        specs = [
            (types.RecordKind.ROUTE, types.RouteSpec(path_prefix="/", service="svc", public=True)),
            (types.RecordKind.POOL, types.PoolSpec(servers=(entry,))),
        ]
        self.engine.apply_records(
            [
                types.Record(kind=kind, name="svc", revision=revision, spec=spec)
                for revision, (kind, spec) in enumerate(specs, start=1)
            ]
        )

    def deliver(self, sender, message):
        """Deliver a message as the shell does, which logs the error of a handler."""
        try:
            self.engine.on_message(sender, message)
        except Exception:
            return

    def run(self, duration_ms):
        """Advance the time; an error of a tick fails the test."""
        end_ms = self.time.now_ms() + duration_ms
        while self.time.now_ms() < end_ms:
            self.time.advance(engine.TICK_MS)
            self.engine.on_tick()
            self.engine.pop_due_probes()
            self.hand_over()

    def hand_over(self):
        """Deliver the messages that the host sent to itself, and check that all can be encoded."""
        while self.outbox:
            to, message = self.outbox.pop(0)
            codec.encode("h1", message)
            if to == "h1":
                self.deliver("h1", message)

    def serve(self):
        """Return the sink of a request that has had a second."""
        sink = Sink()
        head = ports.RequestHead(request="q", method="GET", host="a", path="/x", api_key="")
        self.engine.begin(head, sink)
        self.hand_over()
        self.run(1_000.0)
        return sink


def strategy_of(kind):
    """Return a strategy for values of a message's field, which often has odd ones."""
    origin = typing.get_origin(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return messages_of(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return st.sampled_from(kind)
    if origin is tuple:
        (item, *_) = typing.get_args(kind)
        return st.lists(strategy_of(item), max_size=3).map(tuple)
    if origin is dict:
        key, value = typing.get_args(kind)
        return st.dictionaries(strategy_of(key), strategy_of(value), max_size=3)
    if origin is not None:
        return st.one_of([strategy_of(each) for each in typing.get_args(kind)])
    simple = {
        bool: st.booleans(),
        int: INTEGERS,
        float: NUMBERS,
        str: NAMES,
        bytes: st.binary(max_size=40),
        type(None): st.none(),
    }
    return simple[getattr(kind, "__supertype__", kind)]


def messages_of(struct):
    hints = typing.get_type_hints(struct)
    fields = {name: strategy_of(hints[name]) for name in struct.__struct_fields__}
    return st.builds(struct, **fields)


def handled_types(choices):
    return sorted(
        {kind for each in LoneHost(choices).engine.systems for kind, _ in each.handlers()},
        key=lambda kind: kind.__name__,
    )


CASES = [
    pytest.param(choices, kind, id=f"{name}-{kind.__name__}")
    for name, choices in CHOICES.items()
    for kind in handled_types(choices)
]


@pytest.mark.parametrize(("choices", "kind"), CASES)
def test_odd_messages_neither_fail_later_ticks_nor_stop_the_serving(choices, kind):
    @hypothesis.given(
        received=st.lists(
            st.tuples(st.sampled_from(["h1", "h2", "h9"]), messages_of(kind)),
            min_size=1,
            max_size=3,
        )
    )
    @SETTINGS
    def check(received):
        host = LoneHost(choices)
        host.run(200.0)
        for sender, message in received:
            try:
                envelope = codec.decode(codec.encode(sender, message))
            except codec.MalformedMessageError:
                continue
            host.deliver(*envelope)
        host.run(1_500.0)
        sink = host.serve()
        assert sink.orders or sink.refusals

    check()
