"""Fingerprints of what a request asks, the same for repeats of it."""

import hashlib

from bramleyfork.core import requests


def compute_fingerprint(query: requests.Query) -> str:
    """Returns a hash of lookup, key and parameters, not of the query's id."""
    text = f"{query.lookup}\0{query.key}\0{query.parameters}".encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def build_service_fingerprint(fingerprint: str, service: str) -> str:
    """Returns the fingerprint of a query's part at one service.

    A request may crash the targets of one service only, so suspicion is kept
    per service.
    """
    return f"{fingerprint}:{service}"
