"""The interface to the formats of callers, targets and operators."""

from abc import ABC, abstractmethod

from comfreyshelf.fleet.jobs import Announcement, FleetConfig, Job, JobPhase, QueueName
from comfreyshelf.ids import JobId, OrganisationId


class Codec(ABC):
    """Decodes what others send, and encodes answers; decoding raises a UserError."""

    config_topic: str
    config_key: str
    # Headers are spelled as WSGI environment keys.
    key_header: str
    # How many milliseconds the caller waits for the answer.
    deadline_header: str

    @abstractmethod
    def decode_job(
        self, body: bytes, job: JobId, organisation: OrganisationId, queue: QueueName, now: float
    ) -> Job:
        """A caller's job."""

    @abstractmethod
    def decode_announcement(self, target: str, body: bytes) -> Announcement:
        """A target's heartbeat."""

    @abstractmethod
    def decode_config(self, value: bytes) -> FleetConfig:
        """The operators' configuration."""

    @abstractmethod
    def encode_phase(self, phase: JobPhase) -> bytes:
        """The body that tells a job's state."""

    @abstractmethod
    def encode_waiting(self, count: int) -> bytes:
        """The body that tells how many jobs of a queue wait."""

    @abstractmethod
    def encode_refusal(self, retry_after_s: int) -> bytes:
        """The body of a refusal; 0 means that a retry does not help."""

    @abstractmethod
    def target_of(self, path: str) -> str:
        """The target that a heartbeat's path names, empty if it names none."""
