import hypothesis
from hypothesis import strategies as st

from bramleyfork.core import messages
from tests.controllers import configuration_harness


class Network:
    """Nodes, a platform and a set order of events, without time-outs."""

    def __init__(self, count):
        seeds = ("127.0.1.9:7000",)
        self.harnesses = {
            f"h{n}": configuration_harness.ConfigurationHarness(
                name=f"h{n}", seeds=seeds
            )
            for n in range(1, count + 1)
        }
        self.platform = {}
        self.now = 0.0

    def run_one(self, name, *, platform_up, deliver):
        harness = self.harnesses[name]
        self.now += 0.1
        if platform_up:
            wake = harness.serve(self.platform, self.now)
        else:
            for read in harness.reads.read_new_records():
                harness.answer(read, self.now, status=0, error="down")
            wake = harness.step(self.now)
        assert wake > self.now  # Guards against a loop that spins.
        for message in harness.sent_messages.read_new_records():
            receivers = (
                [n for n in self.harnesses if n != name]
                if message.to == messages.ALL_PEERS
                else [message.to]
            )
            for receiver in receivers if deliver else ():
                self.harnesses[receiver].receive(name, message, self.now)

    def settle(self):
        for _ in range(1000):
            for name in self.harnesses:
                self.run_one(name, platform_up=True, deliver=True)


EVENT = st.one_of(
    st.tuples(st.just("publish"), st.integers(1, 4), st.integers(0, 2)),
    st.tuples(
        st.just("run"),
        st.sampled_from(("h1", "h2", "h3")),
        st.booleans(),
        st.booleans(),
    ),
)


# What only a host that is not declared (h3) had read was never passed on.
LOST_ON_H3 = [
    ("publish", 1, 0),
    ("publish", 2, 2),
    ("run", "h3", False, False),
    ("run", "h3", True, False),
    ("publish", 1, 2),
]


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.example(LOST_ON_H3)
@hypothesis.given(st.lists(EVENT, min_size=5, max_size=60))
def test_hosts_only_move_upward_and_agree_in_the_end(events):
    # H10 under lost messages, an absent platform and two operators.
    network = Network(3)
    seen = dict.fromkeys(network.harnesses, (0, ""))
    for kind, *details in [("publish", 1, 0), *events]:
        if kind == "publish":
            note = b"%d" % details[1]
            network.platform = configuration_harness.create_bodies(
                revision=details[0], note=note
            )
        else:
            name, platform_up, deliver = details
            network.run_one(name, platform_up=platform_up, deliver=deliver)
            version = network.harnesses[name].read_version()
            assert version >= seen[name]
            seen[name] = version
    network.settle()
    final = {harness.read_version() for harness in network.harnesses.values()}
    assert len(final) == 1
    assert final.pop() >= max(
        [configuration_harness.find_version(network.platform), *seen.values()]
    )
