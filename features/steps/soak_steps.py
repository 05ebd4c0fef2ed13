"""Steps that play a short soak."""

from behave import then, when
from behave.runner import Context

from features.soak.run import Soak, play


@when("a soak of {seconds:d} seconds with seed {seed:d} is played")
def play_soak(context: Context, seconds: int, seed: int) -> None:
    context.history = play(Soak(seed, float(seconds)))


@when("a soak of {seconds:d} seconds with seed {seed:d} is played, in which a leader is isolated")
def play_isolation(context: Context, seconds: int, seed: int) -> None:
    context.history = play(Soak(seed, float(seconds), isolation=True))


@then("no promise was broken")
def check_no_promise_broken(context: Context) -> None:
    history = context.history
    assert history.runs, "no job ran"
    assert not history.violations, "\n".join(history.violations + history.lines)
