"""Steps for the choice of a job's domain."""

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.domains import Candidate, choose_domain, choose_move, summarise_domain
from comfreyshelf.ids import DomainId, RackId, RegionId, TargetId, ZoneId
from comfreyshelf.model import Adjacency, DomainSummary, Shape, WorkerInfo
from comfreyshelf.topology import Topology

SHAPE = Shape(1, 8, Adjacency.WORKER)


def make_summary(free: int, workers: int, wait_s: float) -> DomainSummary:
    topology = Topology()
    for index in range(workers):
        target = TargetId(f"t{index}")
        topology.add(WorkerInfo(target, ZoneId("z"), RackId("r"), 8, 64, 256, 1))
        if index >= free:
            topology.allocate(target, 0b1, 1, 1)
    summary = summarise_domain(topology, ())
    return DomainSummary(summary.free, summary.total, wait_s)


@given("domains litoral and platense with {litoral:d} and {platense:d} of 4 workers free")
def given_two_domains(context: Context, litoral: int, platense: int) -> None:
    context.free_workers = {"litoral": litoral, "platense": platense}
    context.wait_s = {"litoral": 0.0, "platense": 0.0}
    context.guaranteed = set()


@given("{seconds:d} seconds of queued work in {domain}")
def given_queued_work(context: Context, seconds: int, domain: str) -> None:
    context.wait_s[domain] = float(seconds)


@given("the organisation's guarantee is in {domain}")
def given_guarantee(context: Context, domain: str) -> None:
    context.guaranteed = {DomainId(domain)}


def make_candidates(context: Context) -> list[Candidate]:
    return [
        Candidate(DomainId(name), RegionId(name), make_summary(free, 4, context.wait_s[name]))
        for name, free in context.free_workers.items()
    ]


@when("a job of {parts:d} x {accelerators:d} @ {adjacency} arrives in region {region}")
def submit_job(
    context: Context, parts: int, accelerators: int, adjacency: str, region: str
) -> None:
    shape = Shape(parts, accelerators, Adjacency(adjacency))
    known = make_candidates(context)
    context.chosen = choose_domain(shape, context.guaranteed, RegionId(region), known)


@then("it goes to domain {domain}")
def check_chosen_domain(context: Context, domain: str) -> None:
    assert context.chosen == domain, context.chosen


def move_from(context: Context, waited_s: float, domain: str, moves: int) -> DomainId | None:
    known = make_candidates(context)
    return choose_move(SHAPE, DomainId(domain), waited_s, moves, context.guaranteed, known)


@then("a job that waited {seconds:d} seconds in {domain} stays")
def check_job_stays(context: Context, seconds: int, domain: str) -> None:
    assert move_from(context, seconds, domain, 0) is None


@then("a job that waited {seconds:d} seconds in {domain} moves to {to}")
def check_job_moves(context: Context, seconds: int, domain: str, to: str) -> None:
    assert move_from(context, seconds, domain, 0) == to


@then("a job that moved {moves:d} times and waited {seconds:d} seconds in {domain} stays")
def check_job_stays_after_moves(context: Context, moves: int, seconds: int, domain: str) -> None:
    assert move_from(context, seconds, domain, moves) is None


@given("a domain of 3 workers, one of them leaving and one with a planned cell of 4 accelerators")
def given_partly_usable_domain(context: Context) -> None:
    topology = Topology()
    targets = [TargetId(f"t{index}") for index in range(3)]
    for target in targets:
        topology.add(WorkerInfo(target, ZoneId("z"), RackId("r"), 8, 64, 256, 1))
    topology.set_excluded(frozenset(targets[:1]))
    topology.set_cell(targets[1], 0xF, True)
    context.summary = summarise_domain(topology, ())


@then("its summary has room for 3 parts of 4 accelerators, 2 of them on one worker")
def check_summary(context: Context) -> None:
    assert context.summary.free[4] == (2, 3, 3), context.summary.free
