import io
import json
import logging
import logging.handlers
import threading

from bramleyfork.core import logs


def create_record(text):
    return logging.makeLogRecord({"msg": text, "levelname": "INFO"})


def test_waiting_lines_are_bounded_and_counted():
    # Guards against a slow reader of the log filling the memory unseen.
    handler = logs.BoundedQueueHandler(limit=2)
    for number in range(5):
        handler.handle(create_record(f"line {number}"))
    assert handler.queue.qsize() == 2
    assert handler.counters == {"dropped_lines": 3}


def test_waiting_lines_are_written_at_the_end():
    # Guards against losing the last lines of a process that exits.
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


def test_reader_that_stands_still_does_not_stop_the_caller():
    # Guards against a full pipe behind standard error that stops routing.
    blocked = threading.Event()

    class StandingStream(io.StringIO):
        def write(self, text):
            blocked.wait(10.0)
            return super().write(text)

    writer = logging.StreamHandler(StandingStream())
    handler = logs.BoundedQueueHandler(limit=5)
    listener = logging.handlers.QueueListener(handler.queue, writer)
    listener.start()
    for number in range(20):
        handler.handle(create_record(f"line {number}"))
    assert not blocked.is_set()
    assert handler.counters["dropped_lines"] >= 14
    blocked.set()
    listener.stop()
