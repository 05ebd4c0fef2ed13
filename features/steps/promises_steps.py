"""Steps of the promises: hand-made histories, switched-off mechanisms, and seeded plans."""

from contextlib import ExitStack

from absl import logging
from behave import given, then, when
from behave.runner import Context

from features.history.checkers import CHECKERS, check_all
from features.history.events import Promise
from features.history.handmade import BROKEN, KEPT
from features.history.mutations import MUTATIONS, Mutation
from features.history.plan import FaultKind, Plan, decode_plan, examples, plans, plans_of
from features.history.report import Report, command
from features.history.scenario import run_plan


def passed_over(context: Context) -> set[str]:
    return {name.removeprefix("history ") for name in context.known_red}


@given("a hand-made history that breaks {promise}: {how}")
def broken_history(context: Context, promise: str, how: str) -> None:
    context.history = BROKEN[promise, how]


@then("only the checker of {promise} finds the offending {event}")
def only_one_finds(context: Context, promise: str, event: str) -> None:
    found = check_all(context.history)
    assert {violation.promise for violation in found} == {Promise(promise)}, found
    names = {type(item).__name__ for violation in found for item in violation.events}
    assert event in names, names


@given("a hand-made history that keeps every promise")
def kept_history(context: Context) -> None:
    context.history = KEPT


@then("no checker finds anything")
def nothing_found(context: Context) -> None:
    assert check_all(context.history) == []


@when('up to {count:d} plans run with "{mechanism}" switched off')
def run_without(context: Context, count: int, mechanism: str) -> None:
    mutation = next(item for item in MUTATIONS if item.name == mechanism)
    run_switched_off(context, mutation, examples(plans_of(mutation.faults), 1, count))


@when('the plan {plan} runs with "{mechanism}" switched off')
def run_one_without(context: Context, plan: str, mechanism: str) -> None:
    mutation = next(item for item in MUTATIONS if item.name == mechanism)
    run_switched_off(context, mutation, [decode_plan(plan)])


def run_switched_off(context: Context, mutation: Mutation, chosen: list[Plan]) -> None:
    """Run plans without a mechanism until one breaks its promise."""
    logging.set_verbosity(logging.FATAL)
    context.mutation, context.offending = mutation, None
    check = CHECKERS[mutation.promise]
    with ExitStack() as stack:
        mutation.switch_off(stack)
        for plan in chosen:
            if check(run_plan(plan)):
                context.offending = plan
                return


@then("the checker of {promise} fails")
def checker_fails(context: Context, promise: str) -> None:
    assert context.mutation.promise is Promise(promise)
    assert context.offending is not None, "no plan broke the promise"


@then("the same plan passes with the mechanism on")
def same_plan_passes(context: Context) -> None:
    found = CHECKERS[context.mutation.promise](run_plan(context.offending))
    assert not found, f"{found[0].message}; repeat: {command(context.offending)}"


@when("{count:d} plans with up to {most:d} fault run from seed {seed:d}")
@when("{count:d} plans with up to {most:d} faults run from seed {seed:d}")
def run_plans(context: Context, count: int, most: int, seed: int) -> None:
    run_all(context, examples(plans(most=most), seed, count))


@when("{count:d} plans with {fault} run from seed {seed:d}")
def run_plans_with(context: Context, count: int, fault: str, seed: int) -> None:
    run_all(context, examples(plans_of((FaultKind(fault),)), seed, count))


@when("the plan {plan} runs")
def run_one(context: Context, plan: str) -> None:
    run_all(context, [decode_plan(plan)])


def run_all(context: Context, chosen: list) -> None:
    logging.set_verbosity(logging.FATAL)
    context.report = Report()
    for plan in chosen:
        context.report.run(plan)


@then("no promise breaks but those listed as known red")
def no_promise_breaks(context: Context) -> None:
    assert not context.report.broken(passed_over(context)), context.report.render()


@then("the promise {promise} holds")
def promise_holds(context: Context, promise: str) -> None:
    assert promise not in context.report.firsts, context.report.render()
