"""Steps for the decisions of the target process."""

from behave import then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from comfreyshelf import agent as agent_module
from comfreyshelf.agent import (
    Action,
    Agent,
    CallRunner,
    Reply,
    SendToOwner,
    StartPart,
    StopPart,
)
from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    OrganisationId,
    RackId,
    RequestId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.messages import (
    AttemptAbsent,
    Commit,
    DisproveStart,
    Forget,
    PartReport,
    Release,
    RequestAnswer,
    Reserve,
    ReserveAnswer,
    RunRequest,
    ServiceSlots,
    StartDisproved,
    Stop,
    Welcome,
)
from comfreyshelf.model import Job, PartState, Placement, Shape, WorkerInfo

TARGET = TargetId("target-0")
FIRST_ATTEMPT = Attempt(1)


def new_agent(lease_s: float) -> Agent:
    agent = Agent(WorkerInfo(TARGET, ZoneId("z"), RackId("r"), 8, 64, 256, 1), ("permit",))
    agent.handle(make_welcome({"lease": lease_s}, 0.0), 0.0)
    return agent


def make_welcome(args: dict[str, float], now: float) -> Welcome:
    slots = ServiceSlots("permit", int(args.get("slots", 8)), int(args.get("connections", 64)))
    return Welcome(
        EntryId("entry-0"),
        DomainId("d"),
        Epoch(int(args.get("epoch", 1))),
        Version(int(args.get("version", 1))),
        True,
        args.get("echo", now),
        args.get("lease", 6.0),
        bool(args.get("draining")),
        services=(slots,),
    )


def make_reserve(name: str, args: dict[str, float]) -> Reserve:
    job = Job(
        JobId(name),
        OrganisationId("o"),
        CallerId("c"),
        name,
        ServiceId("permit"),
        "kind",
        Shape(1, 1),
        1.0,
        preemptible=not args.get("fixed"),
    )
    placement = Placement(0, TARGET, int(args.get("mask", 1)))
    epoch = Epoch(int(args.get("epoch", 1)))
    return Reserve(epoch, Version(int(args.get("version", 1))), job, FIRST_ATTEMPT, (placement,))


def apply_event(agent: Agent, event: str, now: float) -> list[Action]:
    kind, *words = event.split()
    args = {key: float(value) for key, value in (word.split("=") for word in words if "=" in word)}
    name = words[0] if words else ""
    epoch = Epoch(int(args.get("epoch", 1)))
    match kind:
        case "tick":
            return agent.tick(now)
        case "owner":
            return agent.on_owner_changed(now)
        case "begin_stop":
            return agent.begin_stop(now, args["grace"])
        case "end":
            return agent.on_part_ended(
                JobId(name), FIRST_ATTEMPT, 0, PartState(words[1]), now, b"x"
            )
        case "done":
            return agent.on_request_ended(RequestId(name), True, b"x", now)
        case "welcome":
            return agent.handle(make_welcome(args, now), now)
        case "reserve":
            return agent.handle(make_reserve(name, args), now)
        case "stop":
            stop = Stop(epoch, JobId(name), FIRST_ATTEMPT, bool(args.get("checkpoint")))
            return agent.handle(stop, now)
        case "request":
            timeout_s = args.get("timeout", 10.0)
            request = RunRequest(RequestId(name), "permit", Version(1), timeout_s, b"x")
            return agent.handle(request, now, "link")
        case "disprove":
            return agent.handle(DisproveStart(RequestId(name)), now)
    command = {"commit": Commit, "release": Release, "forget": Forget}[kind]
    return agent.handle(command(epoch, JobId(name), FIRST_ATTEMPT), now)


def describe_action(action: Action) -> str:
    match action:
        case StartPart():
            return f"start {action.placement.mask}"
        case StopPart():
            return "checkpoint" if action.checkpoint else "stop"
        case CallRunner():
            return f"run {action.request.request}"
        case Reply(message=ReserveAnswer(reason=reason)):
            return reason.value if reason else "reserved"
        case Reply(message=AttemptAbsent(started=started)):
            return f"absent, {'may have started' if started else 'never started'}"
        case Reply(message=StartDisproved(disproved=disproved)):
            return "disproved" if disproved else "not disproved"
        case Reply(message=RequestAnswer() as answer):
            return f"{answer.request} {answer.reason.value if answer.reason else 'answered'}"
        case SendToOwner(message=PartReport() as report):
            return f"report {report.state.value}" + ("" if report.started else ", never started")
    return repr(action)


@when("these events reach a target whose lease lasts until {lease:d} s")
def check_event_table(context: Context, lease: int) -> None:
    agent = new_agent(float(lease))
    for row in context.table:
        actions = apply_event(agent, row["event"], float(row["at"]))
        found = "; ".join(describe_action(action) for action in actions)
        assert found == row["actions"], f"{row['at']} {row['event']}: {found}"


@when("{refused:d} reservations are refused and {held:d} results of 64 KiB are not recorded")
def fill_memory(context: Context, refused: int, held: int) -> None:
    agent = context.agent = new_agent(1000.0)
    for index in range(refused):
        apply_event(agent, f"reserve refused-{index} mask=512", 1.0)
    context.last_action = ""
    for index in range(held):
        apply_event(agent, f"reserve held-{index}", 2.0)
        apply_event(agent, f"commit held-{index}", 2.0)
        agent.on_part_ended(
            JobId(f"held-{index}"), FIRST_ATTEMPT, 0, PartState.FINISHED, 2.0, bytes(64 * 1024)
        )
    context.last_action = describe_action(apply_event(agent, "reserve more", 3.0)[0])


@then("tombstones and held results stay within their limits")
def check_memory_limits(context: Context) -> None:
    agent = context.agent
    assert agent.counters["tombstone_evicted"] > 0
    assert len(agent._tombstones) <= agent_module.MAX_TOMBSTONES
    assert agent._held_bytes <= agent_module.MAX_HELD_BYTES + 64 * 1024
    assert context.last_action == "queue_full", context.last_action


# Reservations and commits are drawn twice as often, so that most examples start a part.
KINDS = ["reserve", "commit", "release", "stop", "forget", "end", "welcome", "tick"]
KINDS += ["reserve", "commit"]
EVENTS = st.tuples(
    st.sampled_from(
        [
            "reserve",
            "commit",
            "reserve",
            "commit",
            "welcome",
            "release",
            "stop",
            "forget",
            "end",
            "tick",
        ]
    ),
    st.sampled_from("ab"),
    st.sampled_from([1, 1, 1, 2]),
    st.sampled_from([1, 2, 3]),
    st.sampled_from([0.0, 0.0, 0.0, 0.5, 4.0, 11.0]),
)
REFUSALS = ("occupied", "lease_lapsed", "stale_version", "draining")


@then("random repeated, late and reordered messages start nothing twice or after a refusal")
def check_random_orders(context: Context) -> None:
    @settings(max_examples=1500, deadline=None, database=None, derandomize=True)
    @examples(st.lists(EVENTS, min_size=10, max_size=60))
    def check(events: list[tuple[str, str, int, int, float]]) -> None:
        agent = new_agent(6.0)
        now = 0.0
        started: set[str] = set()
        proven_not_started: set[str] = set()
        for kind, name, epoch, mask, pause_s in events:
            now += pause_s
            event = f"{kind} {name} {'finished' if kind == 'end' else ''} epoch={epoch} mask={mask}"
            for action in apply_event(agent, event, now):
                text = describe_action(action)
                if isinstance(action, StartPart):
                    assert action.job.id not in started | proven_not_started, events
                    assert now <= agent.lease_expires_at, events
                    started.add(action.job.id)
                elif text.endswith("never started") or text in REFUSALS:
                    assert action.message.job not in started, events
                    proven_not_started.add(action.message.job)
            busy = [part.mask for part in agent.status(now).parts if not part.state.has_ended]
            assert sum(busy) == sum({bit for bit in (1, 2) if any(bit & m for m in busy)}), events

    check()
