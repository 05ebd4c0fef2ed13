"""Steps of the promises: hand-made histories, disabled mechanisms and seeded plans."""

from contextlib import ExitStack

from absl import logging
from behave import given, then, when
from behave.runner import Context

from features.history.checkers import CHECKERS, check_all
from features.history.events import Promise
from features.history.handmade import INVALID_HISTORIES, VALID_HISTORY
from features.history.mutations import MUTATIONS, Mutation
from features.history.plan import (
    FaultKind,
    Plan,
    decode_plan,
    draw_examples,
    fixed_faults,
    random_faults,
)
from features.history.report import Report, repeat_command
from features.history.scenario import run_plan


def known_red_promises(context: Context) -> set[str]:
    return {name.removeprefix("history ") for name in context.known_red}


@given("a hand-made history that breaks {promise}: {how}")
def broken_history(context: Context, promise: str, how: str) -> None:
    context.history = INVALID_HISTORIES[promise, how]


@then("only the checker of {promise} reports a violation, with the {event} event")
def only_one_finds(context: Context, promise: str, event: str) -> None:
    found = check_all(context.history)
    assert {violation.promise for violation in found} == {Promise(promise)}, found
    names = {type(item).__name__ for violation in found for item in violation.events}
    assert event in names, names


@given("a hand-made history that keeps every promise")
def kept_history(context: Context) -> None:
    context.history = VALID_HISTORY


@then("no checker reports a violation")
def nothing_found(context: Context) -> None:
    assert check_all(context.history) == []


@when('up to {count:d} plans run with "{mechanism}" disabled')
def run_plans_without(context: Context, count: int, mechanism: str) -> None:
    mutation = next(item for item in MUTATIONS if item.name == mechanism)
    run_until_broken(context, mutation, draw_examples(fixed_faults(mutation.faults), 1, count))


@when('the plan {plan} runs with "{mechanism}" disabled')
def run_one_without(context: Context, plan: str, mechanism: str) -> None:
    mutation = next(item for item in MUTATIONS if item.name == mechanism)
    run_until_broken(context, mutation, [decode_plan(plan)])


def run_until_broken(context: Context, mutation: Mutation, selected_plans: list[Plan]) -> None:
    """Run plans with a mechanism disabled until one breaks its promise."""
    logging.set_verbosity(logging.FATAL)
    context.mutation, context.failing_plan = mutation, None
    check = CHECKERS[mutation.promise]
    with ExitStack() as stack:
        mutation.disable(stack)
        for plan in selected_plans:
            if check(run_plan(plan)):
                context.failing_plan = plan
                return


@then("the checker of {promise} fails")
def checker_fails(context: Context, promise: str) -> None:
    assert context.mutation.promise is Promise(promise)
    assert (
        context.failing_plan is not None
    ), "no plan broke the promise while its mechanism was disabled"


@then("the same plan passes with the mechanism enabled")
def same_plan_passes(context: Context) -> None:
    found = CHECKERS[context.mutation.promise](run_plan(context.failing_plan))
    assert not found, f"{found[0].message}; repeat: {repeat_command(context.failing_plan)}"


@when("{count:d} plans with up to {most:d} fault run from seed {seed:d}")
@when("{count:d} plans with up to {most:d} faults run from seed {seed:d}")
def run_plans(context: Context, count: int, most: int, seed: int) -> None:
    run_and_check(context, draw_examples(random_faults(max_faults=most), seed, count))


@when("{count:d} plans with {fault} run from seed {seed:d}")
def run_plans_with(context: Context, count: int, fault: str, seed: int) -> None:
    run_and_check(context, draw_examples(fixed_faults((FaultKind(fault),)), seed, count))


@when("the plan {plan} runs")
def run_one(context: Context, plan: str) -> None:
    run_and_check(context, [decode_plan(plan)])


def run_and_check(context: Context, selected_plans: list) -> None:
    logging.set_verbosity(logging.FATAL)
    context.report = Report()
    for plan in selected_plans:
        context.report.run(plan)


@then("no promise breaks except those listed as known red")
def no_promise_breaks(context: Context) -> None:
    assert not context.report.broken_rows(known_red_promises(context)), context.report.render()


@then("the promise {promise} holds")
def promise_holds(context: Context, promise: str) -> None:
    assert promise not in context.report.first_violations, context.report.render()
