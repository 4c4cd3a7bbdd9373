import io
import json
import logging
import logging.handlers
import threading

from bramleyfork.core import logs


def create_record(text):
    return logging.makeLogRecord({"msg": text, "levelname": "INFO"})


def test_waiting_lines_are_bounded_and_counted():
    # Guards against memory exhaustion, or an unnoticed loss of lines, when the
    # log is consumed more slowly than it is written.
    handler = logs.BoundedQueueHandler(limit=2)
    for number in range(5):
        handler.handle(create_record(f"line {number}"))
    assert handler.queue.qsize() == 2
    assert handler.counters == {"dropped_lines": 3}


def test_waiting_lines_are_written_at_the_end():
    # Guards against the loss of lines that are queued when the process exits.
    stream = io.StringIO()
    writer = logging.StreamHandler(stream)
    writer.setFormatter(logs.JsonFormatter())
    handler = logs.BoundedQueueHandler()
    for number in range(3):
        handler.handle(create_record(f"line {number}"))
    listener = logging.handlers.QueueListener(handler.queue, writer)
    listener.start()
    listener.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["message"] for line in lines] == ["line 0", "line 1", "line 2"]


def test_blocked_log_stream_does_not_block_the_caller():
    # Guards against requests that block on logging because the pipe behind
    # standard error is full and nobody reads it.
    released = threading.Event()

    class BlockedStream(io.StringIO):
        def write(self, text):
            released.wait(10.0)
            return super().write(text)

    writer = logging.StreamHandler(BlockedStream())
    handler = logs.BoundedQueueHandler(limit=5)
    listener = logging.handlers.QueueListener(handler.queue, writer)
    listener.start()
    for number in range(20):
        handler.handle(create_record(f"line {number}"))
    assert not released.is_set()
    assert handler.counters["dropped_lines"] >= 14
    released.set()
    listener.stop()
