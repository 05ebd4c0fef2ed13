"""Keys of callers and operators; the configuration keeps only their SHA-256 hashes."""

import hashlib
import secrets

from comfreyshelf.config import Caller, Config, Operator


def generate_key() -> str:
    """Generate a random key of 256 bits."""
    return secrets.token_urlsafe(32)


def hash_key(key: str) -> str:
    """The hash for the configuration; keys are random, so no slow password hash is needed."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def bearer_key(header: str | None) -> str:
    """The key in an `Authorization: Bearer` header, or an empty string."""
    scheme, _, key = (header or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


class KeyIndex:
    """Callers and operators of one configuration by the hash of their key.

    The duration of a lookup by hash reveals nothing about a key, because a caller cannot choose the
    hash of a key that it does not know.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self._callers = {caller.key_sha256: caller for caller in config.callers.values()}
        self._operators = {operator.key_sha256: operator for operator in config.operators.values()}

    def caller(self, key: str) -> Caller | None:
        """The caller whose key this is."""
        return self._callers.get(hash_key(key))

    def operator(self, key: str) -> Operator | None:
        """The operator whose key this is."""
        return self._operators.get(hash_key(key))
