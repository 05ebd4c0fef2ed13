"""A target process on a simulated clock, without threads for its links."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from behave.runner import Context

from comfreyshelf.fleet import order_executor, runner_poller, target_state
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.jobs import Announcement, Incarnation, Resources, RunListing, Token
from comfreyshelf.fleet.messages import StartOrder, StopOrder
from comfreyshelf.fleet.target_runner import Runner
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.ids import RackId, ServiceId, TargetId, ZoneId
from comfreyshelf.metrics import Metrics


class FakeRunner(Runner):
    """A runner without runs that carries out all calls, for tests to override some of them."""

    def renew_lease(
        self,
        token: Token,
        target: TargetId,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> RunListing:
        return RunListing(0, Incarnation(1), (), ())

    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        """Starts succeed."""

    def stop(self, token: Token, target: TargetId, order: StopOrder) -> None:
        """Stops succeed."""

    def close(self) -> None:
        """There are no connections."""


# When the process starts, on its clock.
START_S = 100.0


def announcement(target: str, incarnation: int, draining: bool = False) -> Announcement:
    """What a target without room states about itself."""
    return Announcement(
        TargetId(target),
        ServiceId("permit"),
        ZoneId("z"),
        RackId("r"),
        (),
        Resources(),
        draining,
        3000 if draining else 0,
        Incarnation(incarnation),
        2 if draining else 1,
        0,
    )


def confirm_life(state: TargetState, heartbeat: Announcement, now: float) -> None:
    """Send a heartbeat, and let the runner answer as the life that it names, without runs."""
    state.announce(heartbeat)
    state.apply_listing(heartbeat.id, RunListing(0, heartbeat.incarnation, (), ()), now)


@contextmanager
def simulated_target_process(
    context: Context, runner: Runner, target: str | None = "t"
) -> Iterator[None]:
    """Put the state of a target process into `context`, with `context.clock` as its clock.

    Its VM has been suspended for `context.suspended_s` of that time.

    Its target has sent one heartbeat, and its runner has confirmed it, unless `target` is None.
    """
    context.clock, context.suspended_s = START_S, 0.0
    with (
        mock.patch.object(target_state, "monotonic", lambda: context.clock),
        mock.patch.object(target_state, "steady", lambda: context.clock - context.suspended_s),
        mock.patch.object(order_executor, "monotonic", lambda: context.clock),
        mock.patch.object(runner_poller, "monotonic", lambda: context.clock),
    ):
        context.state = TargetState(Bounds(), "m", Metrics())
        if target is not None:
            confirm_life(context.state, announcement(target, 1), context.clock)
        context.runner = runner
        yield
