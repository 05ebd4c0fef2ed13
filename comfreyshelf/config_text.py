"""Parses and validates the operators' INI text into a configuration."""

import configparser
import re
from collections.abc import Callable, Iterable, Mapping
from graphlib import CycleError, TopologicalSorter
from typing import TypeVar

from expression import Error, Ok, Result

from comfreyshelf.config import (
    EMPTY_CONFIG,
    Caller,
    Config,
    Guarantee,
    Operator,
    Organisation,
    Service,
    Zone,
)
from comfreyshelf.errors import Problem
from comfreyshelf.ids import (
    CallerId,
    DomainId,
    OperatorId,
    OrganisationId,
    RegionId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.model import MAX_PARTS, Adjacency, Shape

T = TypeVar("T")

# Options allowed in each kind of section.
SECTION_OPTIONS: dict[str, frozenset[str]] = {
    "deployment": frozenset({"name", "result_retention_s"}),
    "region": frozenset(),
    "zone": frozenset({"region", "domain"}),
    "service": frozenset({"depends", "slots", "connections", "timeout_s"}),
    "organisation": frozenset(
        {
            "weight",
            "guarantee",
            "guarantee_domain",
            "max_queued",
            "max_accelerators",
            "rate",
            "burst",
            "retry_ratio",
        }
    ),
    "caller": frozenset({"organisation", "key_sha256", "weight", "max_queued", "rate", "burst"}),
    "operator": frozenset({"key_sha256"}),
    "target": frozenset({"scrap"}),
}
_GUARANTEE_PATTERN = re.compile(r"^(\d+)\s*x\s*(\d+)\s*@\s*(worker|rack|zone)$")
_SHA256_PATTERN = re.compile(r"^[0-9a-f]{64}$")
_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9_.-]{0,62}$")


class _LineIndex:
    """Line numbers of the sections and options, for error messages."""

    def __init__(self, text: str) -> None:
        self._lines: dict[tuple[str, str], int] = {}
        section = ""
        for number, line in enumerate(text.splitlines(), start=1):
            stripped = line.strip()
            if stripped.startswith("[") and stripped.endswith("]"):
                section = stripped[1:-1]
                self._lines.setdefault((section, ""), number)
            elif line[:1].strip() and stripped[:1] not in ("#", ";"):
                option = re.split(r"[=:]", stripped, maxsplit=1)[0].strip().lower()
                self._lines.setdefault((section, option), number)

    def find(self, section: str, option: str = "") -> int:
        return self._lines.get((section, option), self._lines.get((section, ""), 1))


class _Section:
    """A section with typed getters, which add a problem for each invalid value."""

    def __init__(
        self, name: str, values: Mapping[str, str], lines: _LineIndex, problems: list[Problem]
    ) -> None:
        self.name = name
        self.values = dict(values)
        self._lines = lines
        self._problems = problems

    @property
    def id(self) -> str:
        return self.name.partition(" ")[2].strip()

    def add_problem(self, message: str, remedy: str, option: str = "") -> None:
        line = self._lines.find(self.name, option)
        self._problems.append(Problem(self.name, line, message, remedy))

    def check_options(self, known: Iterable[str]) -> None:
        known = sorted(known)
        for option in self.values:
            if option not in known:
                remedy = f"use one of: {', '.join(known)}" if known else "remove it"
                self.add_problem(f"unknown option '{option}'", remedy, option)

    def get_text(self, option: str, default: str = "") -> str:
        return self.values.get(option, default).strip()

    def get_required(self, option: str) -> str:
        value = self.get_text(option)
        if not value:
            self.add_problem(f"'{option}' is missing", f"add a line '{option} = ...'", option)
        return value

    def _parse(self, option: str, default: T, parse: Callable[[str], T], expected: str) -> T:
        raw = self.values.get(option)
        if raw is None:
            return default
        try:
            return parse(raw.strip())
        except ValueError:
            self.add_problem(f"'{option} = {raw}' is not valid", f"give {expected}", option)
            return default

    def get_int(self, option: str, default: int, low: int, high: int = 10**9) -> int:
        def parse(raw: str) -> int:
            value = int(raw)
            if not low <= value <= high:
                raise ValueError(raw)
            return value

        return self._parse(option, default, parse, f"a whole number from {low} to {high}")

    def get_float(self, option: str, default: float, low: float, high: float = 1e9) -> float:
        def parse(raw: str) -> float:
            value = float(raw)
            if not low <= value <= high:
                raise ValueError(raw)
            return value

        return self._parse(option, default, parse, f"a number from {low:g} to {high:g}")

    def get_bool(self, option: str) -> bool:
        words = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}

        def parse(raw: str) -> bool:
            try:
                return words[raw.lower()]
            except KeyError:
                raise ValueError(raw) from None

        return self._parse(option, False, parse, "yes or no")

    def get_list(self, option: str) -> tuple[str, ...]:
        return tuple(part.strip() for part in self.get_text(option).split(",") if part.strip())

    def get_key_hash(self) -> str:
        value = self.get_required("key_sha256")
        if value and not _SHA256_PATTERN.match(value):
            self.add_problem(
                "'key_sha256' is not a SHA-256 hash",
                "give 64 lower-case hex digits, as 'comfreyshelf key' prints them",
                "key_sha256",
            )
        return value


def parse_config(text: str, version: Version) -> Result[Config, list[Problem]]:
    """Parse and validate the operators' text.

    Returns the configuration, or all problems found, sorted by line.

        parse_config("[region litoral]\\n", Version(1))
    """
    lines = _LineIndex(text)
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        line = int(getattr(exc, "lineno", 0) or (getattr(exc, "errors", None) or [(1, "")])[0][0])
        problem = Problem(
            getattr(exc, "section", None) or "text",
            line,
            str(exc.message).splitlines()[0],
            "correct the INI syntax of this line",
        )
        return Error([problem])
    return _ConfigBuilder(parser, lines).build(version)


class _ConfigBuilder:
    """Builds a configuration from the parsed sections and collects all problems in it."""

    def __init__(self, parser: configparser.ConfigParser, lines: _LineIndex) -> None:
        self._problems: list[Problem] = []
        self._sections: dict[str, list[_Section]] = {kind: [] for kind in SECTION_OPTIONS}
        self._zones: dict[ZoneId, Zone] = {}
        for name in parser.sections():
            self._add_section(_Section(name, parser[name], lines, self._problems))

    def _add_section(self, section: _Section) -> None:
        kind = section.name.split(" ")[0]
        if kind not in self._sections:
            remedy = f"start the section with one of: {', '.join(SECTION_OPTIONS)}"
            section.add_problem(f"unknown kind of section '{kind}'", remedy)
            return
        if kind != "deployment" and not _NAME_PATTERN.match(section.id):
            section.add_problem(
                f"'{section.id}' is not a valid name",
                "use lower-case letters, digits, '.', '_' and '-', 63 at most",
            )
            return
        section.check_options(SECTION_OPTIONS[kind])
        self._sections[kind].append(section)

    def build(self, version: Version) -> Result[Config, list[Problem]]:
        regions = self._build_regions()
        self._zones = self._build_zones(regions)
        services = self._build_services()
        organisations = self._build_organisations()
        config = Config(
            version,
            self._get_deployment_name(),
            self._zones,
            services,
            organisations,
            self._build_callers(organisations),
            self._build_operators(),
            self._build_scrapped_targets(),
            self._get_result_retention_s(),
        )
        if self._problems:
            return Error(sorted(self._problems, key=lambda problem: problem.line))
        return Ok(config)

    def _get_deployment_name(self) -> str:
        sections = self._sections["deployment"]
        if not sections:
            self._problems.append(
                Problem("deployment", 1, "the section is missing", "add '[deployment]' with a name")
            )
            return ""
        return sections[0].get_required("name")

    def _get_result_retention_s(self) -> float:
        sections = self._sections["deployment"]
        default = EMPTY_CONFIG.result_retention_s
        if not sections:
            return default
        return sections[0].get_float("result_retention_s", default, 60.0, 30 * 86_400.0)

    def _build_regions(self) -> set[str]:
        return {section.id for section in self._sections["region"]}

    def _build_zones(self, regions: set[str]) -> dict[ZoneId, Zone]:
        zones = {}
        region_by_domain: dict[str, str] = {}
        for section in self._sections["zone"]:
            region = section.get_required("region")
            if region and region not in regions:
                section.add_problem(
                    f"region '{region}' is unknown", f"add '[region {region}]'", "region"
                )
            domain = section.get_text("domain", region)
            if region_by_domain.setdefault(domain, region) != region:
                section.add_problem(
                    f"domain '{domain}' spans two regions",
                    "name another domain; a domain stays inside one region",
                    "domain",
                )
            zone = ZoneId(section.id)
            zones[zone] = Zone(zone, RegionId(region), DomainId(domain))
        return zones

    def _build_services(self) -> dict[ServiceId, Service]:
        sections = {ServiceId(section.id): section for section in self._sections["service"]}
        services = {name: self._build_service(section) for name, section in sections.items()}
        for service in services.values():
            for other in service.depends:
                if other not in services:
                    sections[service.id].add_problem(
                        f"service '{other}' is unknown", f"add '[service {other}]'", "depends"
                    )
        self._check_dependency_cycles(sections, services)
        return services

    def _build_service(self, section: _Section) -> Service:
        return Service(
            ServiceId(section.id),
            tuple(ServiceId(name) for name in section.get_list("depends")),
            section.get_int("slots", 8, 1, 10_000),
            section.get_int("connections", 64, 1, 100_000),
            section.get_float("timeout_s", 30.0, 0.001, 86_400),
        )

    def _check_dependency_cycles(
        self, sections: dict[ServiceId, _Section], services: dict[ServiceId, Service]
    ) -> None:
        graph = {service.id: service.depends for service in services.values()}
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as exc:
            cycle = exc.args[1]
            sections[cycle[0]].add_problem(
                f"services depend on each other: {' -> '.join(cycle)}",
                "remove one of these dependencies",
                "depends",
            )

    def _build_organisations(self) -> dict[OrganisationId, Organisation]:
        organisations = {}
        for section in self._sections["organisation"]:
            name = OrganisationId(section.id)
            organisations[name] = Organisation(
                name,
                section.get_float("weight", 1.0, 0.001, 1e6),
                self._build_guarantees(section, name),
                section.get_int("max_queued", 10_000, 1),
                section.get_int("max_accelerators", 0, 0),
                section.get_float("rate", 100.0, 0.001),
                section.get_int("burst", 200, 1),
                section.get_float("retry_ratio", 0.2, 0.0, 1.0),
            )
        return organisations

    def _build_guarantees(self, section: _Section, name: OrganisationId) -> tuple[Guarantee, ...]:
        domains = sorted({zone.domain for zone in self._zones.values()})
        guarantees = []
        for index, raw in enumerate(section.get_list("guarantee")):
            shape_text, _, domain = raw.partition(" in ")
            domain = domain.strip() or section.get_text("guarantee_domain")
            if not domain and len(domains) == 1:
                domain = domains[0]
            if domain not in domains:
                section.add_problem(
                    f"guarantee '{raw}' has no known domain",
                    f"end it with 'in DOMAIN', one of: {', '.join(domains)}",
                    "guarantee",
                )
            shape = self._parse_shape(section, shape_text.strip())
            if shape is not None:
                guarantees.append(Guarantee(name, index, shape, DomainId(domain)))
        return tuple(guarantees)

    def _parse_shape(self, section: _Section, raw: str) -> Shape | None:
        match = _GUARANTEE_PATTERN.match(raw)
        if match is None:
            section.add_problem(
                f"guarantee '{raw}' is not a shape",
                "write PARTS x ACCELERATORS @ worker|rack|zone, for example '2 x 8 @ rack'",
                "guarantee",
            )
            return None
        parts, accelerators = int(match[1]), int(match[2])
        if not 1 <= parts <= MAX_PARTS or not 1 <= accelerators <= 64:
            section.add_problem(
                f"guarantee '{raw}' is impossible",
                f"use 1 to {MAX_PARTS} parts of 1 to 64 accelerators",
                "guarantee",
            )
            return None
        return Shape(parts, accelerators, Adjacency(match[3]), 0, 0)

    def _build_callers(
        self, organisations: dict[OrganisationId, Organisation]
    ) -> dict[CallerId, Caller]:
        callers = {}
        caller_by_hash: dict[str, str] = {}
        for section in self._sections["caller"]:
            organisation = OrganisationId(section.get_required("organisation"))
            if organisation and organisation not in organisations:
                section.add_problem(
                    f"organisation '{organisation}' is unknown",
                    f"add '[organisation {organisation}]'",
                    "organisation",
                )
            name = CallerId(section.id)
            key_hash = section.get_key_hash()
            if caller_by_hash.setdefault(key_hash, name) != name:
                section.add_problem(
                    f"the key of caller '{caller_by_hash[key_hash]}' is used twice",
                    "give each caller its own key",
                    "key_sha256",
                )
            callers[name] = Caller(
                name,
                organisation,
                key_hash,
                section.get_float("weight", 1.0, 0.001, 1e6),
                section.get_int("max_queued", 5_000, 1),
                section.get_float("rate", 50.0, 0.001),
                section.get_int("burst", 100, 1),
            )
        return callers

    def _build_operators(self) -> dict[OperatorId, Operator]:
        operators = {}
        for section in self._sections["operator"]:
            name = OperatorId(section.id)
            operators[name] = Operator(name, section.get_key_hash())
        if not operators:
            self._problems.append(
                Problem("operator", 1, "no operator is named", "add '[operator NAME]' with a key")
            )
        return operators

    def _build_scrapped_targets(self) -> frozenset[TargetId]:
        scrapped = set()
        for section in self._sections["target"]:
            if section.get_bool("scrap"):
                scrapped.add(TargetId(section.id))
        return frozenset(scrapped)
