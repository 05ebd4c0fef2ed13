"""Blocking code of the product in virtual time: one thread runs at any moment."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    from features.history.world import Process


class Killed(BaseException):
    """Unwinds the step in which a process is killed."""


class Fiber:
    """Runs `action` of a process in a thread that hands control back whenever it waits.

    The event loop and all fibers take turns, so a history depends on its plan alone. A fiber of a
    process that died is unwound by `Killed`.
    """

    current: ClassVar["Fiber | None"] = None

    def __init__(self, process: "Process", action: Callable[[], None], name: str = "") -> None:
        self.name = name
        self.done = False
        self._process = process
        self._action = action
        self._wait_count = 0
        self._error: BaseException | None = None
        self._resumed = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)
        process.world.fibers.append(self)
        self._thread.start()
        process.step(self.resume)

    def resume(self) -> None:
        """Let the fiber run until it waits or ends; raises what its action raised."""
        if self.done:
            return
        previous, Fiber.current = Fiber.current, self
        self._resumed.release()
        self._paused.acquire()
        Fiber.current = previous
        if self._error is not None:
            error, self._error = self._error, None
            raise error

    def wait(self, seconds: float | None, future: "Future[Any] | None" = None) -> None:
        """Pause until `seconds` have passed or `future` is done."""
        self._wait_count += 1
        wait_number = self._wait_count

        def wake() -> None:
            if wait_number == self._wait_count and not self.done:
                self._process.step(self.resume)

        world = self._process.world
        if seconds is not None:
            world.call_later(max(0.0, seconds), wake)
        if future is not None:
            future.add_done_callback(lambda _: world.call_later(0.0, wake))
        self._paused.release()
        self._resumed.acquire()
        self._wait_count += 1
        if not self._process.alive:
            raise Killed

    def cancel(self) -> None:
        """Unwind a fiber that never resumes, at the end of a history."""
        self._process.alive = False
        with suppress(Killed):
            self.resume()
        self._thread.join()

    def _run(self) -> None:
        self._resumed.acquire()
        try:
            if self._process.alive:
                self._action()
        except BaseException as exc:  # The event loop raises it again.
            self._error = exc
        self.done = True
        self._paused.release()


class SimFuture(Future[Any]):
    """A future whose `result` waits in virtual time."""

    def result(self, timeout: float | None = None) -> Any:
        """The result; raises TimeoutError after `timeout` seconds."""
        fiber = Fiber.current
        if fiber is not None and not self.done():
            fiber.wait(timeout, self)
        return super().result(0)


def sleep(seconds: float) -> None:
    """Stands in for `time.sleep`."""
    if Fiber.current is not None:
        Fiber.current.wait(seconds)
