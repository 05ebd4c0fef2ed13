"""Service container of a process: a cherrypy bus and a registry of services by name."""

from abc import ABC, abstractmethod
from contextlib import ExitStack
from types import TracebackType
from typing import TypeVar

from cherrypy.process.wspbus import Bus

S = TypeVar("S", bound="Service")


class Service(ABC):
    """A part of a process that the kernel starts and stops."""

    @abstractmethod
    def start(self) -> None:
        """Open sockets and start tasks."""

    @abstractmethod
    def stop(self) -> None:
        """Finish the work in progress and release all resources."""


class Kernel:
    """Starts services in order of registration and stops them in reverse order.

    Plugins may subscribe to the cherrypy bus: `start` is published once all services run, `stop`
    before the first one stops, and `exit` after the last one has stopped. Services find each other
    by name:

        kernel = Kernel()
        kernel.register("metrics", Metrics())
        kernel.find("metrics", Metrics).count("requests")
    """

    def __init__(self) -> None:
        self.bus = Bus()
        self._services: dict[str, Service] = {}
        self._stop_callbacks = ExitStack()

    def register(self, name: str, service: S) -> S:
        """Add a service under a name that is not yet taken."""
        if name in self._services:
            raise ValueError(f"service '{name}' is registered twice")
        self._services[name] = service
        return service

    def find(self, name: str, kind: type[S]) -> S:
        """The service of that name; raises LookupError if it is missing or of another type."""
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise LookupError(f"no service '{name}' of type {kind.__name__}")
        return service

    def service_names(self) -> list[str]:
        """Names of all services in order of registration."""
        return list(self._services)

    def start(self) -> None:
        """Start all services; if one fails, stop those that were started."""
        try:
            for service in self._services.values():
                service.start()
                self._stop_callbacks.callback(service.stop)
        except BaseException:
            self._stop_callbacks.close()
            raise
        self.bus.start()

    def stop(self) -> None:
        """Stop all services that were started."""
        self.bus.stop()
        self._stop_callbacks.close()
        self.bus.publish("exit")
        # Bus.exit() would publish `stop` a second time; without this state the bus logs a warning
        # when the interpreter exits.
        self.bus.state = self.bus.states.EXITING

    def __enter__(self) -> "Kernel":
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()
