"""What keeps a leaving target in service, as operators read it back."""

import msgspec

from comfreyshelf.ids import JobId, OrganisationId, ServiceId, TargetId, Version
from comfreyshelf.model import Shape


class Holder(msgspec.Struct, frozen=True, tag=True):
    """Base of what keeps a target in service."""


class HeldByJob(Holder, frozen=True, tag=True):
    """A job with `parts` parts on the target; a job that is not preemptible finishes there."""

    job: JobId
    organisation: OrganisationId
    parts: int
    preemptible: bool
    stopping: bool


class HeldByResult(Holder, frozen=True, tag=True):
    """The target keeps results of a job until the log has them."""

    job: JobId
    parts: int


class HeldByRequests(Holder, frozen=True, tag=True):
    """Requests that the target's runner of a service has not answered yet."""

    service: ServiceId
    running: int
    waiting: int


class HeldByGuarantee(Holder, frozen=True, tag=True):
    """A guaranteed shape that does not fit into the domain without the target."""

    organisation: OrganisationId
    shape: Shape


class HeldByService(Holder, frozen=True, tag=True):
    """The target has the last healthy runner of a service that others depend on."""

    service: ServiceId
    dependents: tuple[ServiceId, ...]


class HeldByVersion(Holder, frozen=True, tag=True):
    """The target has not confirmed the version that marks it; it may still take requests."""

    version: Version


AnyHolder = (
    HeldByJob | HeldByResult | HeldByRequests | HeldByGuarantee | HeldByService | HeldByVersion
)


class DrainView(msgspec.Struct, frozen=True):
    """What holds a target. Of a target in service it tells what scrapping it would affect."""

    target: TargetId
    leaving: bool
    holders: tuple[AnyHolder, ...]

    @property
    def is_empty(self) -> bool:
        """Whether nothing on the target itself is left; a lost guarantee does not stop it."""
        kept = (HeldByJob, HeldByResult, HeldByRequests, HeldByVersion)
        return not any(isinstance(holder, kept) for holder in self.holders)


class LostGuarantee(msgspec.Struct, frozen=True):
    """A guaranteed shape for which a domain has no capacity."""

    organisation: OrganisationId
    shape: Shape
