"""Structured log lines through absl, as text or JSON."""

import atexit
import logging as standard
import queue
import sys
from collections import Counter
from enum import Enum
from logging import handlers

import msgspec
from absl import flags, logging


class LogFormat(Enum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


class _Formatter(standard.Formatter):
    """Renders the fields that `log_event` attached to a record."""

    def __init__(self, process: str, log_format: LogFormat) -> None:
        super().__init__()
        self._process = process
        self._log_format = log_format

    def format(self, record: standard.LogRecord) -> str:
        fields: dict[str, object] = getattr(record, "fields", {})
        message = record.getMessage()
        if record.exc_info:
            message = f"{message}\n{self.formatException(record.exc_info)}"
        if self._log_format is LogFormat.JSON:
            line = {
                "time": round(record.created, 6),
                "level": record.levelname.lower(),
                "process": self._process,
                "event": message,
            }
            return msgspec.json.encode(line | fields, enc_hook=str).decode()
        time = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        pairs = "".join(f" {name}={value}" for name, value in fields.items())
        return f"{time} {record.levelname.lower()} {self._process}: {message}{pairs}"


def configure(process: str, log_format: LogFormat = LogFormat.TEXT) -> None:
    """Log to standard error; call it once per process, before any service starts."""
    flags.FLAGS(["comfreyshelf"])
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(_Formatter(process, log_format))
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)


# Limit of the lines that wait to be written; further ones are dropped and counted.
MAX_QUEUED_LINES = 2000


# Limit of the lines of one event in one second; further ones are dropped and counted.
MAX_LINES_PER_EVENT_PER_S = 100


class _LossyQueueHandler(handlers.QueueHandler):
    """Passes records to a writing thread, and drops those that exceed a limit.

    The next line that is written has the number of dropped ones in its field `dropped_before`.
    """

    def __init__(self, records: "queue.Queue[standard.LogRecord]") -> None:
        super().__init__(records)
        self._dropped = 0
        self._current_second = 0
        self._lines_by_event: Counter[str] = Counter()

    def _is_within_rate_limit(self, record: standard.LogRecord) -> bool:
        if int(record.created) != self._current_second:
            self._current_second = int(record.created)
            self._lines_by_event.clear()
        self._lines_by_event[record.msg] += 1
        return self._lines_by_event[record.msg] <= MAX_LINES_PER_EVENT_PER_S

    def enqueue(self, record: standard.LogRecord) -> None:
        if not self._is_within_rate_limit(record):
            self._dropped += 1
            return
        try:
            if self._dropped:
                record.__dict__["fields"] = record.__dict__.get("fields", {}) | {
                    "dropped_before": self._dropped
                }
            self.queue.put_nowait(record)
            self._dropped = 0
        except queue.Full:
            self._dropped += 1


def configure_daemon(process: str) -> None:
    """Log JSON lines to standard output from a separate thread; call it once per process."""
    records: queue.Queue[standard.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    writer = standard.StreamHandler(sys.stdout)
    writer.setFormatter(_Formatter(process, LogFormat.JSON))
    listener = handlers.QueueListener(records, writer)
    listener.start()
    atexit.register(listener.stop)
    logger = logging.get_absl_logger()
    logger.handlers[:] = [_LossyQueueHandler(records)]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log an event, such as a change of state, with its fields.

    `log_event("domain claimed", domain="litoral", epoch=3)` gives a line that ends in
    `domain claimed domain=litoral epoch=3`.
    """
    logging.get_absl_logger().info(event, extra={"fields": fields})
