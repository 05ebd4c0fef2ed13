"""HTTP resources of operators: the configuration, the targets and their drains."""

from collections.abc import Callable
from enum import Enum
from typing import Annotated

import cherrypy
import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from comfreyshelf.auth import KeyIndex
from comfreyshelf.config_text import parse_config
from comfreyshelf.errors import Refusal, not_run
from comfreyshelf.front import FrontEnd
from comfreyshelf.holders import AnyHolder, DrainView, LostGuarantee
from comfreyshelf.ids import (
    DomainId,
    EntryId,
    JobId,
    OperatorId,
    RackId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import ConfigPublished, DomainReported

MAX_TEXT_BYTES = 512 * 1024
MAX_VERSION = 2**53


class PublishRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a publication; `base` is the version that the text was edited from."""

    base: Annotated[int, Meta(ge=0, le=MAX_VERSION)]
    text: str


class DomainView(msgspec.Struct, frozen=True):
    """The configuration version of a domain and the state of its targets.

    `behind` lists targets that have not confirmed `version` yet, and `lost` the guarantees for
    which the domain has no capacity.
    """

    version: Version
    targets: int
    behind: tuple[TargetId, ...]
    lost: tuple[LostGuarantee, ...]

    @classmethod
    def from_report(cls, report: DomainReported) -> "DomainView":
        """Build the view from the report of the domain's owner."""
        return cls(report.version, report.targets, report.behind, report.lost)


class ConfigView(msgspec.Struct, frozen=True):
    """The text in force at `entry`, and the version in force at each entry and domain."""

    version: Version
    operator: OperatorId
    entry: str
    entries: dict[EntryId, Version]
    domains: dict[DomainId, DomainView]
    text: str


def respond_to_operator(front: FrontEnd, build: Callable[[], object], *other_methods: str) -> bytes:
    """Answer an operator's GET with what `build` returns; refuse other methods and callers."""
    if cherrypy.request.method not in ("GET", "HEAD"):
        return front.refuse_method("GET", *other_methods)

    def work() -> Result[object, Refusal]:
        operator = front.authenticate_operator()
        return Error(operator.error) if operator.is_error() else Ok(build())

    return front.respond(work)


class Configuration:
    """`/v1/config`: read and publish the configuration; `/v1/config/history`."""

    def __init__(self, front: FrontEnd) -> None:
        self._front = front

    @cherrypy.expose
    def index(self) -> bytes:
        """Dispatch on method."""
        if cherrypy.request.method == "POST":
            return self._front.respond(self._front.with_admission("publish", self._publish))
        return respond_to_operator(self._front, self._show, "POST")

    @cherrypy.expose
    def history(self) -> bytes:
        """The newest accepted texts, oldest first."""
        return respond_to_operator(self._front, lambda: self._front.reader.ledger.state.history)

    def _show(self) -> ConfigView:
        with self._front.reader.lock:
            ledger = self._front.reader.ledger
            state = ledger.state
            entries = {info.entry: info.version for info in ledger.live_entries()}
            reports = {
                name: domain.report for name, domain in state.domains.items() if domain.report
            }
        return ConfigView(
            self._front.config.version,
            state.config.operator if state.config else OperatorId(""),
            self._front.name,
            entries,
            {name: DomainView.from_report(report) for name, report in reports.items()},
            state.config.text if state.config else "",
        )

    def _publish(self) -> Result[object, Refusal]:
        request = self._front.decode_body(PublishRequest, MAX_TEXT_BYTES)
        if request.is_error():
            return Error(request.error)
        version = Version(request.ok.base + 1)
        # No operator is known before the first publication, so it is checked against the
        # operators of its own text.
        is_first = self._front.config.version == 0
        known_operator = self._front.authenticate_operator()
        if not is_first and known_operator.is_error():
            return Error(known_operator.error)
        parsed = parse_config(request.ok.text, version)
        if parsed.is_error():
            problems = "\n".join(str(problem) for problem in parsed.error)
            return Error(not_run(RefusalReason.INVALID_TEXT, problems, "correct these lines"))
        operator = (
            self._front.authenticate_operator(KeyIndex(parsed.ok)) if is_first else known_operator
        )
        if operator.is_error():
            return Error(operator.error)
        outcome = self._front.append(
            ConfigPublished(version, Version(request.ok.base), request.ok.text, operator.ok.id)
        )
        if outcome.is_error():
            return Error(outcome.error)
        verdict = outcome.ok.verdict
        assert verdict is not None
        if not verdict.accepted:
            return Error(
                not_run(
                    RefusalReason.STALE_VERSION,
                    f"version {version} was not accepted: {verdict.reason}",
                    "read the version in force, apply your change to it, and publish again",
                )
            )
        return Ok({"version": version})


class Drains:
    """`/v1/drains`: the leaving targets of all domains and what still holds each of them."""

    def __init__(self, front: FrontEnd) -> None:
        self._front = front

    @cherrypy.expose
    def index(self) -> bytes:
        """List the leaving targets."""
        return respond_to_operator(self._front, self._list)

    def _list(self) -> list["LeavingTarget"]:
        scrapped = self._front.config.scrapped
        with self._front.reader.lock:
            domains = self._front.reader.ledger.state.domains.values()
            reports = [domain.report for domain in domains if domain.report]
        views_by_target = {view.target: view for report in reports for view in report.leaving}
        # A report on an older version does not show yet which targets are leaving.
        is_current = bool(reports) and all(
            report.version >= self._front.config.version for report in reports
        )
        return [
            _leaving_target(target, views_by_target.get(target), is_current)
            for target in sorted(scrapped)
        ]


def _leaving_target(target: TargetId, view: DrainView | None, is_current: bool) -> "LeavingTarget":
    if not is_current:
        return LeavingTarget(target, DrainState.WAITING, view.holders if view else ())
    if view is None:
        return LeavingTarget(target, DrainState.GONE, ())
    state = DrainState.EMPTY if view.is_empty else DrainState.LEAVING
    return LeavingTarget(target, state, view.holders)


class DrainState(Enum):
    """State of a leaving target.

    WAITING: not every owner has reported since the text was accepted. GONE: no owner knows the
    target, because it never announced itself or its lease expired.
    """

    WAITING = "waiting"
    LEAVING = "leaving"
    EMPTY = "empty"
    GONE = "gone"


class LeavingTarget(msgspec.Struct, frozen=True):
    """A target that is marked for scrapping and what still holds it."""

    target: TargetId
    state: DrainState
    holders: tuple[AnyHolder, ...]


class TargetView(msgspec.Struct, frozen=True):
    """A target as the answering entry knows it; `requests` counts those that run on it now."""

    target: TargetId
    zone: ZoneId
    rack: RackId
    version: Version
    scrap: bool
    draining: bool
    held_by: list[JobId]
    requests: int


class Targets:
    """`/v1/targets`: the targets that announced themselves to this entry."""

    def __init__(self, front: FrontEnd) -> None:
        self._front = front

    @cherrypy.expose
    def index(self) -> bytes:
        """List all targets."""
        return respond_to_operator(self._front, self._list)

    def _list(self) -> list[TargetView]:
        scrapped = self._front.config.scrapped
        return [
            TargetView(
                view.worker.target,
                view.worker.zone,
                view.worker.rack,
                view.version,
                view.worker.target in scrapped,
                view.draining,
                sorted({part.job for part in view.parts}),
                sum(load.running for load in view.runners),
            )
            for view in self._front.roster.views()
        ]
