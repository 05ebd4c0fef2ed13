"""Steps for the kernel."""

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.kernel import Kernel, Service
from comfreyshelf.metrics import Metrics


class RecordingService(Service):
    """Appends its starts and stops to a shared list."""

    def __init__(self, name: str, events: list[str], fails: bool = False) -> None:
        self._name = name
        self._events = events
        self._fails = fails

    def start(self) -> None:
        if self._fails:
            raise OSError("address in use")
        self._events.append(f"start {self._name}")

    def stop(self) -> None:
        self._events.append(f"stop {self._name}")


@given('services "log", "ledger" and "api" of which "api" fails to start')
def given_failing_service(context: Context) -> None:
    register_services(context, ["log", "ledger", "api"], failing="api")


@given('services "log" and "ledger"')
def given_two_services(context: Context) -> None:
    register_services(context, ["log", "ledger"])


def register_services(context: Context, names: list[str], failing: str = "") -> None:
    context.events = []
    context.kernel = Kernel()
    for name in names:
        context.kernel.register(name, RecordingService(name, context.events, name == failing))


@when("the kernel starts")
def start_kernel(context: Context) -> None:
    context.error = None
    try:
        context.kernel.start()
    except OSError as exc:
        context.error = exc


@then('"ledger" and then "log" are stopped')
def check_stopped_in_reverse(context: Context) -> None:
    assert context.events == [
        "start log",
        "start ledger",
        "stop ledger",
        "stop log",
    ], context.events


@then("the caller gets the error")
def check_failure_raised(context: Context) -> None:
    assert "address in use" in str(context.error)


@when("the kernel starts and stops with a plugin subscribed to its bus")
def run_kernel(context: Context) -> None:
    for channel in ("start", "stop", "exit"):
        context.kernel.bus.subscribe(channel, lambda name=channel: context.events.append(name))
    with context.kernel:
        pass


@then('"log" is found by its name, and a lookup with an unknown name or another type fails')
def check_find(context: Context) -> None:
    assert isinstance(context.kernel.find("log", RecordingService), RecordingService)
    for name, kind in (("nothing", RecordingService), ("log", Metrics)):
        try:
            context.kernel.find(name, kind)
        except LookupError:
            continue
        raise AssertionError(name)


@then('the plugin is notified of "start", "stop" and "exit" in order with the services')
def check_plugin_events(context: Context) -> None:
    assert context.events == [
        "start log",
        "start ledger",
        "start",
        "stop",
        "stop ledger",
        "stop log",
        "exit",
    ], context.events
