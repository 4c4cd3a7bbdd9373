import json
import logging
import os

from bramleyfork.entry import json_logs


def create_handler():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    return json_logs.LineHandler(descriptor=writer, host="h1"), reader


def create_record(level=logging.INFO, created=1000.0, **fields):
    record = logging.LogRecord("x", level, "", 0, "said", (), None)
    record.created = created
    record.__dict__.update(fields)
    return record


def read_all(reader):
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_a_line_names_host_level_and_fields():
    handler, reader = create_handler()
    handler.emit(create_record(request="q1"))
    handler.flush()
    (entry,) = read_all(reader)
    assert (entry["host"], entry["level"]) == ("h1", "INFO")
    assert (entry["message"], entry["request"]) == ("said", "q1")


def test_a_stalled_reader_does_not_block_the_host():
    # Guards against a host that waits for its log collector.
    handler, reader = create_handler()
    for number in range(10_000):
        handler.emit(create_record(created=float(number), text="x" * 200))
    assert handler.dropped > 0
    handler.flush()
    while handler._unwritten or handler._lines:
        read_all_raw(reader)
        handler.flush()


def read_all_raw(reader):
    try:
        while os.read(reader, 1 << 20):
            pass
    except BlockingIOError:
        return


def test_lines_per_second_are_limited_and_dropped_ones_are_counted():
    handler, reader = create_handler()
    for _ in range(json_logs._RATE_LIMIT + 30):
        handler.emit(create_record())
    handler.emit(create_record(level=logging.ERROR, request="kept"))
    assert handler.dropped == 30
    handler.flush()
    entries = read_all(reader)
    assert any(entry.get("request") == "kept" for entry in entries)
    assert {"message": "lines dropped", "count": 30} in entries
    handler.emit(create_record(created=1001.0))
    handler.flush()
    assert len(read_all(reader)) == 1


def test_many_lines_of_one_message_do_not_hide_another():
    # Guards against a change of the configuration that is missing from the log
    # because hundreds of targets were listed in the same second.
    handler, reader = create_handler()
    for _ in range(json_logs._RATE_LIMIT + 30):
        handler.emit(create_record())
    for _ in range(json_logs._MESSAGE_RATE_LIMIT + 5):
        record = create_record(kind="other")
        record.msg = "route table in force"
        handler.emit(record)
    handler.flush()
    found = [e for e in read_all(reader) if e.get("kind") == "other"]
    assert len(found) == json_logs._MESSAGE_RATE_LIMIT
