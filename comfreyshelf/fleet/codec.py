"""Interface for decoding requests and configuration, and for encoding answers."""

from abc import ABC, abstractmethod

from comfreyshelf.fleet.jobs import Announcement, FleetConfig, Job, JobPhase, QueueName
from comfreyshelf.ids import JobId, OrganisationId, ZoneId


class Codec(ABC):
    """Translates between wire formats and the fleet's types; decoding raises UserError."""

    config_topic: str
    config_key: str
    # Header names are spelled as WSGI environment keys.
    api_key_header: str
    # The header that states how many milliseconds the caller waits for the answer.
    deadline_header: str

    @abstractmethod
    def decode_job(
        self, body: bytes, job: JobId, organisation: OrganisationId, queue: QueueName, now: float
    ) -> Job:
        """Decode a job that a caller submits."""

    @abstractmethod
    def decode_announcement(self, target: str, body: bytes) -> Announcement:
        """Decode a target's heartbeat."""

    @abstractmethod
    def decode_config(self, value: bytes) -> FleetConfig:
        """Decode the operators' configuration."""

    @abstractmethod
    def evacuated_zone(self, key: str) -> ZoneId | None:
        """Return the zone that a key of the operators' topic evacuates, None if it does not."""

    @abstractmethod
    def check_evacuation(self, value: bytes) -> None:
        """Raise UserError if the value of an evacuation's record is malformed."""

    @abstractmethod
    def encode_phase(self, phase: JobPhase) -> bytes:
        """Encode the answer to a query for a job's state."""

    @abstractmethod
    def encode_waiting(self, count: int) -> bytes:
        """Encode the answer that states how many jobs wait in a queue."""

    @abstractmethod
    def encode_refusal(self, retry_after_s: int) -> bytes:
        """Encode a refusal; `retry_after_s` is 0 if a retry does not help."""

    @abstractmethod
    def target_from_path(self, path: str) -> str:
        """Return the target that a heartbeat's path names, or an empty string."""
