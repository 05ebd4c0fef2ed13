"""Typed configuration, as parsed from a published text."""

import msgspec

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
from comfreyshelf.model import Shape


class Zone(msgspec.Struct, frozen=True):
    """An availability zone; jobs are placed by the owner of its `domain`."""

    id: ZoneId
    region: RegionId
    domain: DomainId


class Service(msgspec.Struct, frozen=True):
    """A service with the services it depends on.

    `slots` and `connections` are per runner; `timeout_s` is the default deadline of a request.
    """

    id: ServiceId
    depends: tuple[ServiceId, ...] = ()
    slots: int = 8
    connections: int = 64
    timeout_s: float = 30.0


class Guarantee(msgspec.Struct, frozen=True):
    """A shape guaranteed to an organisation in `domain`; `index` distinguishes equal shapes."""

    organisation: OrganisationId
    index: int
    shape: Shape
    domain: DomainId


class Organisation(msgspec.Struct, frozen=True):
    """An organisation with its fair-share weight, guarantees and limits.

    `max_queued` counts jobs, `max_accelerators` of 0 means no limit, `rate` is new jobs or requests
    per second with bursts of `burst`, and `retry_ratio` is the fraction of requests that may be
    retried.
    """

    id: OrganisationId
    weight: float = 1.0
    guarantees: tuple[Guarantee, ...] = ()
    max_queued: int = 10_000
    max_accelerators: int = 0
    rate: float = 100.0
    burst: int = 200
    retry_ratio: float = 0.2


class Caller(msgspec.Struct, frozen=True):
    """A caller of an organisation; only the SHA-256 of its key is kept."""

    id: CallerId
    organisation: OrganisationId
    key_sha256: str
    weight: float = 1.0
    max_queued: int = 5_000
    rate: float = 50.0
    burst: int = 100


class Operator(msgspec.Struct, frozen=True):
    """An operator; only the SHA-256 of its key is kept."""

    id: OperatorId
    key_sha256: str


class Config(msgspec.Struct, frozen=True):
    """A validated configuration; `version` is 0 before the first publication.

    Ended jobs with their results, and the keys of requests, are kept for `result_retention_s`
    seconds.
    """

    version: Version
    name: str = ""
    zones: dict[ZoneId, Zone] = {}
    services: dict[ServiceId, Service] = {}
    organisations: dict[OrganisationId, Organisation] = {}
    callers: dict[CallerId, Caller] = {}
    operators: dict[OperatorId, Operator] = {}
    scrapped: frozenset[TargetId] = frozenset()
    result_retention_s: float = 86_400.0

    @property
    def domains(self) -> list[DomainId]:
        """All scheduling domains, sorted by name."""
        return sorted({zone.domain for zone in self.zones.values()})

    def domain_guarantees(self, domain: DomainId) -> list[Guarantee]:
        """All guarantees that the owner of `domain` has to keep."""
        return [
            guarantee
            for organisation in self.organisations.values()
            for guarantee in organisation.guarantees
            if guarantee.domain == domain
        ]


EMPTY_CONFIG = Config(Version(0))
