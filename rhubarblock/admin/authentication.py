"""Authenticates operators and administrators by bearer token."""

import hashlib
import hmac

from rhubarblock.admin import errors
from rhubarblock.catalogue import changes
from rhubarblock.catalogue import validation
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures

_SCHEME = "bearer"
# Name under which the audit trail lists the secret from the settings.
BOOTSTRAP_NAME = "bootstrap"

_Code = failures.FailureCode
_Role = catalogues.CredentialRole


def authenticate(
    authorization: str | None,
    catalogue: catalogues.Catalogue,
    bootstrap_sha256: str = "",
) -> changes.Actor:
    """Returns the operator or administrator who sent a request.

    Args:
      authorization: value of the ``Authorization`` header; None if missing.
      catalogue: the catalogue in force.
      bootstrap_sha256: SHA-256 hex digest of the secret that acts as
        administrator until the catalogue has one; empty for none.

    Raises:
      errors.ApiError: UNAUTHENTICATED without a known secret, FORBIDDEN for the
        credential of a caller.
    """
    digest = _digest_secret(authorization)
    is_bootstrap = hmac.compare_digest(digest, bootstrap_sha256)
    if is_bootstrap and not validation.has_administrator(catalogue):
        return changes.Actor(BOOTSTRAP_NAME)
    credential = _find_credential(digest, catalogue)
    if credential is None:
        raise errors.refuse(_Code.UNAUTHENTICATED, "unknown secret")
    if credential.role is _Role.CALLER:
        raise errors.refuse(
            _Code.FORBIDDEN, "callers may not use the administration API"
        )
    if credential.role is _Role.ADMINISTRATOR:
        return changes.Actor(credential.name)
    return changes.Actor(credential.name, credential.institution)


def _digest_secret(authorization: str | None) -> str:
    scheme, _, secret = (authorization or "").partition(" ")
    if scheme.lower() != _SCHEME or not secret.strip():
        raise errors.refuse(
            _Code.UNAUTHENTICATED, "send 'Authorization: Bearer SECRET'"
        )
    return hashlib.sha256(
        secret.strip().encode("utf-8", "surrogateescape")
    ).hexdigest()


def _find_credential(
    digest: str, catalogue: catalogues.Catalogue
) -> catalogues.Credential | None:
    for credential in catalogue.credentials.values():
        if hmac.compare_digest(credential.sha256, digest):
            return credential
    return None
