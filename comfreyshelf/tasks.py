"""Threads that own their state: tasks with an inbox of messages, and pollers."""

import queue
import threading
import time
from abc import abstractmethod
from typing import Generic, TypeVar

from absl import logging

from comfreyshelf.kernel import Service

M = TypeVar("M")


class Task(Service, Generic[M]):
    """A thread with an inbox; `handle` and `tick` run in that thread only."""

    def __init__(self, name: str, tick_s: float = 0.2, capacity: int = 100_000) -> None:
        self.name = name
        self._tick_s = tick_s
        self._inbox: queue.Queue[M | None] = queue.Queue(capacity)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name=self.name, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Let the thread handle the messages in its inbox, then end it."""
        self._inbox.put(None)
        if self._thread is not None:
            self._thread.join()

    def send(self, message: M) -> None:
        """Put a message into the inbox."""
        self._inbox.put(message)

    @abstractmethod
    def handle(self, message: M) -> None:
        """Handle one message."""

    def tick(self) -> None:
        """Called about every `tick_s` seconds, between messages."""

    def close(self) -> None:
        """Called in the thread when it ends."""

    def _run(self) -> None:
        next_tick = time.monotonic()
        while True:
            try:
                message = self._inbox.get(timeout=max(0.0, next_tick - time.monotonic()))
            except queue.Empty:
                next_tick = time.monotonic() + self._tick_s
                self._tick_safely()
                continue
            if message is None:
                break
            self._handle_safely(message)
            if time.monotonic() >= next_tick:
                next_tick = time.monotonic() + self._tick_s
                self._tick_safely()
        self.close()

    def _handle_safely(self, message: M) -> None:
        try:
            self.handle(message)
        except Exception:
            logging.exception("task %s: handling a message failed; the task continues", self.name)

    def _tick_safely(self) -> None:
        try:
            self.tick()
        except Exception:
            logging.exception("task %s: a tick failed; the task continues", self.name)


class Poller(Service):
    """A thread that calls `poll` until it is stopped; `poll` has to return within a second."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name=self.name, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()

    @abstractmethod
    def poll(self) -> None:
        """Run one iteration."""

    def wait(self, seconds: float) -> None:
        """Wait for `seconds`, or until the thread is stopped."""
        self._stopping.wait(seconds)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.poll()
            except Exception:
                logging.exception("task %s: a poll failed; the task continues", self.name)
                self.wait(0.5)
