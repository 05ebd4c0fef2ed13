"""Runs blocking code in virtual time: threads that take turns, one at a time."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    from features.history.world import Process


class Killed(BaseException):
    """Raised inside a process to unwind its stack when the process is killed."""


class Fiber:
    """Runs `action` of a process in a thread that returns control to the loop whenever it waits.

    Only one thread runs at a time, either the event loop or one fiber, so a history depends on its
    plan alone. When the process has died, waiting raises `Killed` in its fibers.
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
        """Run the fiber until it waits or ends, and re-raise an exception of its action."""
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
        """End a fiber that is still waiting when the run is over."""
        self._process.alive = False
        with suppress(Killed):
            self.resume()
        self._thread.join()

    def _run(self) -> None:
        self._resumed.acquire()
        try:
            if self._process.alive:
                self._action()
        except BaseException as exc:  # `resume` raises it in the event loop.
            self._error = exc
        self.done = True
        self._paused.release()


class SimFuture(Future[Any]):
    """A future whose `result` waits in virtual time."""

    def result(self, timeout: float | None = None) -> Any:
        """Return the result; raise TimeoutError after `timeout` seconds of virtual time."""
        fiber = Fiber.current
        if fiber is not None and not self.done():
            fiber.wait(timeout, self)
        return super().result(0)


def sleep(seconds: float) -> None:
    """Replaces `time.sleep` in the simulated modules."""
    if Fiber.current is not None:
        Fiber.current.wait(seconds)
