"""Counters of the messages and bytes exchanged with other hosts."""

import collections.abc

from bramleyfork.codecs import formats


class TrafficCounts:
    """Messages and bytes of one kind of message.

    Attributes:
      messages_in: Messages received.
      bytes_in: Bytes received.
      messages_out: Messages written to streams.
      bytes_out: Bytes written to streams.
      dropped: Messages dropped before they were written to a stream.
    """

    __slots__ = (
        "messages_in",
        "bytes_in",
        "messages_out",
        "bytes_out",
        "dropped",
    )

    def __init__(self):
        self.messages_in = 0
        self.bytes_in = 0
        self.messages_out = 0
        self.bytes_out = 0
        self.dropped = 0


class TrafficCounters(collections.abc.Mapping):
    """Traffic by kind of message; written by one thread, read by others.

    For the metrics it is a mapping from each name in ``TrafficCounts`` to the
    values of that count by kind.

    Attributes:
      kinds: Traffic by kind. All kinds are present from the start, so readers
        never see the dict change its size.
    """

    __slots__ = ("kinds",)

    def __init__(self):
        self.kinds = {kind: TrafficCounts() for kind in formats.GROUP_BY_KIND}

    def __getitem__(self, name: str) -> dict[str, int]:
        if name not in TrafficCounts.__slots__:
            raise KeyError(name)
        return {kind: getattr(t, name) for kind, t in self.kinds.items()}

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(TrafficCounts.__slots__)

    def __len__(self) -> int:
        return len(TrafficCounts.__slots__)

    def count_received(self, kind: str, size: int) -> None:
        """Counts a received message of ``size`` bytes."""
        traffic = self.kinds[kind]
        traffic.messages_in += 1
        traffic.bytes_in += size

    def count_sent(self, kind: str, size: int) -> None:
        """Counts a sent message of ``size`` bytes."""
        traffic = self.kinds[kind]
        traffic.messages_out += 1
        traffic.bytes_out += size

    def count_dropped(self, kind: str) -> None:
        """Counts a message that was dropped before it was sent."""
        self.kinds[kind].dropped += 1

    def sum_groups(self) -> dict[str, TrafficCounts]:
        """Returns the traffic of formats.CONTROL and of formats.DATA."""
        sums = {formats.CONTROL: TrafficCounts(), formats.DATA: TrafficCounts()}
        for kind, traffic in self.kinds.items():
            total = sums[formats.GROUP_BY_KIND[kind]]
            for name in TrafficCounts.__slots__:
                value = getattr(total, name) + getattr(traffic, name)
                setattr(total, name, value)
        return sums
