"""Measures the CPU time to encode and decode messages between hosts.

Run with ``python -m bench.peer_frames`` from the root of the repository.
"""

import json
import sys
import time

from bramleyfork.codecs import frames
from bramleyfork.core import ranges
from bramleyfork.core import records
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts

_BATCHES = 30
_PER_BATCH = 1000
_PER_WRITE = 50  # Messages passed to the decoder in one buffer.

_KEY_RANGE = ranges.KeyRange(low=0, high=32768)
_SNAPSHOT = requests.Snapshot(index_version=41, map_version=7)


def build_request() -> requests.SubRequest:
    """Returns a sub-request of typical size."""
    return requests.SubRequest(
        attempt_id="bilbao-1-17f3-123456",
        query_id="bilbao-1-99887",
        router="bilbao-1",
        owner="oviedo-2",
        target="booking-01-a",
        service="booking-01",
        lookup="availability",
        key_range=_KEY_RANGE,
        snapshot=_SNAPSHOT,
        parameters="date=2026-12-05",
        urgent=True,
        idempotent=True,
        deadline=1000.4,
        fingerprint="0123456789abcdef",
        exclusive=False,
    )


def build_reply(count: int) -> replies.SubReply:
    """Returns a reply with ``count`` records."""
    holding = requests.Holding(snapshot=_SNAPSHOT, key_range=_KEY_RANGE)
    return replies.SubReply(
        attempt_id="bilbao-1-17f3-123456",
        query_id="bilbao-1-99887",
        router="bilbao-1",
        owner="oviedo-2",
        target="booking-01-a",
        verdict=verdicts.Verdict.RAN,
        code="ok",
        key_range=_KEY_RANGE,
        snapshot=_SNAPSHOT,
        records=tuple((key, {"seats": key}) for key in range(count)),
        report=requests.TargetReport(
            epoch="e1", state="warm", load=0.5, holdings=(holding,)
        ),
        queue_length=2,
        service_time_s=0.01,
    )


def measure(message: records.Record) -> dict[str, float]:
    """Returns the size of a message and the CPU time to code it, in µs."""
    encoder = frames.FrameEncoder()
    decoder = frames.FrameDecoder(host="bilbao-1")
    data = encoder.encode(message, 1000.0)
    write = data * _PER_WRITE
    encode_us, decode_us = [], []
    for _ in range(_BATCHES):
        begin = time.thread_time()
        for _ in range(_PER_BATCH):
            encoder.encode(message, 1000.0)
        middle = time.thread_time()
        for _ in range(_PER_BATCH // _PER_WRITE):
            decoder.feed(write, 1000.0)
        end = time.thread_time()
        encode_us.append((middle - begin) / _PER_BATCH * 1e6)
        decode_us.append((end - middle) / _PER_BATCH * 1e6)
    return {
        "bytes": len(data),
        "encode_best_us": round(min(encode_us), 2),
        "encode_median_us": round(sorted(encode_us)[_BATCHES // 2], 2),
        "decode_best_us": round(min(decode_us), 2),
        "decode_median_us": round(sorted(decode_us)[_BATCHES // 2], 2),
    }


def run() -> None:
    """Prints one JSON line per message."""
    cases = {"subrequest": build_request()}
    for count in (0, 3, 30):
        cases[f"subreply with {count} records"] = build_reply(count)
    for name, message in cases.items():
        result = {"message": name, **measure(message)}
        sys.stdout.write(json.dumps(result) + "\n")


if __name__ == "__main__":
    run()
