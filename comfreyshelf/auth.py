"""Keys of callers and operators; the configuration keeps only their SHA-256 hashes."""

import hashlib
import hmac
import secrets

from comfreyshelf.config import Caller, Config, Operator


def new_key() -> str:
    """Make a random key of 256 bits."""
    return secrets.token_urlsafe(32)


def hash_key(key: str) -> str:
    """The hash to put into the configuration; keys are random, so no slow hash is needed."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(header: str | None) -> str:
    """The key in an `Authorization: Bearer` header, or an empty string."""
    scheme, _, key = (header or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def find_caller(config: Config, key: str) -> Caller | None:
    """The caller whose key this is."""
    digest = hash_key(key)
    for caller in config.callers.values():
        if hmac.compare_digest(caller.key_sha256, digest):
            return caller
    return None


def find_operator(config: Config, key: str) -> Operator | None:
    """The operator whose key this is."""
    digest = hash_key(key)
    for operator in config.operators.values():
        if hmac.compare_digest(operator.key_sha256, digest):
            return operator
    return None
