"""Authenticates callers: finds the credential of a bearer token."""

from collections.abc import Callable
import hashlib

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.relay import apierrors

_SCHEME = "bearer "
# A refused caller retries at another instance, so it need not wait long.
_NO_CATALOGUE_RETRY_AFTER_S = 1.0


class CallerIndex:
    """Credentials of the catalogue in force, by the digest of their secret."""

    __slots__ = ("_by_digest", "_catalogue", "_provider")

    def __init__(self, provider: Callable[[], catalogues.Catalogue]):
        """Creates the index.

        Args:
          provider: returns the catalogue in force.
        """
        self._provider = provider
        self._catalogue: catalogues.Catalogue | None = None
        self._by_digest: dict[str, catalogues.Credential] = {}

    def find(self, authorization: str) -> catalogues.Credential:
        """Returns the credential of a caller.

        Args:
          authorization: value of the Authorization header.

        Raises:
          failures.FailureError: UNAUTHENTICATED, FORBIDDEN, or
            PLATFORM_UNAVAILABLE while there is no catalogue; NOT_RUN.
        """
        if not authorization.lower().startswith(_SCHEME):
            raise apierrors.make_rejection(
                failures.FailureCode.UNAUTHENTICATED,
                "an Authorization header with a bearer token is needed",
            )
        secret = authorization[len(_SCHEME) :].strip()
        # A header may hold bytes that are not UTF-8.
        data = secret.encode(errors="surrogateescape")
        digest = hashlib.sha256(data).hexdigest()
        credential = self._read_index().get(digest)
        if credential is None:
            raise apierrors.make_rejection(
                failures.FailureCode.UNAUTHENTICATED,
                "the bearer token is not known",
            )
        if credential.role is not catalogues.CredentialRole.CALLER:
            raise apierrors.make_rejection(
                failures.FailureCode.FORBIDDEN,
                "this credential is not one for callers",
            )
        return credential

    def _read_index(self) -> dict[str, catalogues.Credential]:
        catalogue = self._provider()
        if not catalogue.revision:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.PLATFORM_UNAVAILABLE,
                    "this instance has no catalogue yet",
                    retry_after_s=_NO_CATALOGUE_RETRY_AFTER_S,
                )
            )
        if catalogue is not self._catalogue:
            self._catalogue = catalogue
            self._by_digest = {
                credential.sha256: credential
                for credential in catalogue.credentials.values()
            }
        return self._by_digest


def find_workspace(
    credential: catalogues.Credential, catalogue: catalogues.Catalogue
) -> catalogues.Workspace:
    """Returns the workspace that a caller's credential is bound to.

    Raises:
      failures.FailureError: UNKNOWN_WORKSPACE; NOT_RUN.
    """
    workspace = catalogue.workspaces.get(credential.workspace)
    if workspace is None:
        raise apierrors.make_rejection(
            failures.FailureCode.UNKNOWN_WORKSPACE,
            f"workspace {credential.workspace!r} is not in the catalogue",
        )
    return workspace
