import hypothesis
from hypothesis import strategies as st

from bramleyfork.core import messages
from tests.controllers import configuration_harness


class Network:
    """Hosts and a platform whose events run in the order the test chooses."""

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
        assert wake > self.now  # Guards against a busy loop.
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


# A version that only h3 had read, a host that is not declared, was never
# forwarded to the other hosts.
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
def test_hosts_only_move_to_higher_versions_and_converge(events):
    # Guards against hosts that return to an older configuration or stay on
    # different ones, with lost messages, an unreachable platform and two
    # operators who publish different contents of the same revision.
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
