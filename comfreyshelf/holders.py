"""The reasons that keep a leaving target in service, as shown to operators."""

import msgspec

from comfreyshelf.ids import JobId, OrganisationId, ServiceId, TargetId, Version
from comfreyshelf.model import Shape


class Holder(msgspec.Struct, frozen=True, tag=True):
    """Base class of the reasons that keep a target in service."""


class HeldByJob(Holder, frozen=True, tag=True):
    """A job with `parts` parts on the target; a job that is not preemptible finishes there."""

    job: JobId
    organisation: OrganisationId
    parts: int
    preemptible: bool
    stopping: bool


class HeldByResult(Holder, frozen=True, tag=True):
    """Results of a job that the target keeps until they are recorded in the log."""

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
    """The target has not confirmed the configuration version that scraps it.

    Until then it may still accept requests.
    """

    version: Version


AnyHolder = (
    HeldByJob | HeldByResult | HeldByRequests | HeldByGuarantee | HeldByService | HeldByVersion
)


class DrainView(msgspec.Struct, frozen=True):
    """What keeps a target in service or, if it is not leaving, what scrapping it would affect."""

    target: TargetId
    leaving: bool
    holders: tuple[AnyHolder, ...]

    @property
    def is_empty(self) -> bool:
        """Whether the target has no jobs, results or requests and has confirmed that it leaves.

        Lost guarantees and services without a runner elsewhere do not count.
        """
        blocking = (HeldByJob, HeldByResult, HeldByRequests, HeldByVersion)
        return not any(isinstance(holder, blocking) for holder in self.holders)


class LostGuarantee(msgspec.Struct, frozen=True):
    """A guaranteed shape for which a domain has no capacity."""

    organisation: OrganisationId
    shape: Shape
