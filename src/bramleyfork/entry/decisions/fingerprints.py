"""Fingerprints that identify a request which callers send again."""

import hashlib

from bramleyfork.entry import exchanges

_SIZE_BYTES = 8


def compute_fingerprint(request: exchanges.CallerRequest) -> str:
    """Returns a hash of a request's content, in hexadecimal digits.

    The request id isn't part of it, as callers use a new one each time. Neither
    is the caller's address, as a caller may come back from another one.
    """
    digest = hashlib.blake2b(digest_size=_SIZE_BYTES)
    for part in (request.method, request.host.encode(), request.url):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body)
    return digest.hexdigest()
