"""The one hierarchy of errors that the package raises.

Every failure has a type here, so that no caller ever compares strings.
"""

from __future__ import annotations


class PomelolaneError(Exception):
    """Base of every error raised by this package."""


class SettingError(PomelolaneError):
    """A flag or environment variable holds a value that is not allowed.

    Attributes:
        flag: The flag as written on the command line, e.g. ``--port``.
        value: The value that was given.
        allowed: What is allowed, in words.
    """

    def __init__(self, flag: str, value: object, allowed: str) -> None:
        super().__init__(f"{flag}: {value!r} is not allowed; {allowed}")
        self.flag = flag
        self.value = value
        self.allowed = allowed


class DeclarationError(PomelolaneError):
    """A declaration file of the settings tree is wrong.

    Attributes:
        file: File name relative to the tree's root.
        line: 1-based line, or 0 where no line applies.
        allowed: What is allowed there, in words.
    """

    def __init__(self, file: str, line: int, problem: str, allowed: str) -> None:
        super().__init__(f"{file}:{line}: {problem}; allowed: {allowed}")
        self.file = file
        self.line = line
        self.problem = problem
        self.allowed = allowed


class InvalidTreeError(PomelolaneError):
    """The settings tree is wrong in one or more places.

    Attributes:
        problems: Every problem found, in order of file and line.
    """

    def __init__(self, problems: tuple[DeclarationError, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class UnknownOperatorError(PomelolaneError):
    """The operator's key is missing or belongs to no team."""


class ForbiddenBranchError(PomelolaneError):
    """The operator's key is known but does not open this branch.

    Attributes:
        branch: The branch.
    """

    def __init__(self, branch: str) -> None:
        super().__init__(f"this operator's key does not open branch {branch}")
        self.branch = branch


class VmUnreachableError(PomelolaneError):
    """A VM did not answer a client command.

    Attributes:
        url: Where it was looked for.
    """

    def __init__(self, url: str, cause: str) -> None:
        super().__init__(f"no answer from {url}: {cause}")
        self.url = url


class VmRefusedError(PomelolaneError):
    """A VM answered a client command with a problem.

    Attributes:
        status: HTTP status.
        reason: Machine-readable cause, empty where the answer gave none.
        outcome: What is known about whether the request ran.
        details: What is wrong, one line each.
    """

    def __init__(
        self, status: int, reason: str, outcome: str, details: tuple[str, ...]
    ) -> None:
        super().__init__("\n".join(details) or f"HTTP status {status}")
        self.status = status
        self.reason = reason
        self.outcome = outcome
        self.details = details


class RegistryError(PomelolaneError):
    """A plug-in name is unknown or registered twice."""


class PlatformError(PomelolaneError):
    """Base of failures of the platform's table or object store."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the call; a write certainly had no effect."""


class CommitUnknownError(PlatformError):
    """The reply to a write was lost; whether it took effect is not known."""


class RateLimitedError(PlatformError):
    """The platform refused the call because of its rate limit.

    Attributes:
        retry_after_ms: When the platform asks to be called again.
    """

    def __init__(self, retry_after_ms: int) -> None:
        super().__init__(f"rate limited, retry after {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms


class VersionConflictError(PomelolaneError):
    """A compare-and-set found another version than the expected one.

    Attributes:
        key: The row.
        current_version: The version found, 0 where the row is absent.
    """

    def __init__(self, key: str, current_version: int) -> None:
        super().__init__(f"{key} stands at version {current_version}")
        self.key = key
        self.current_version = current_version


class LeaseLostError(PomelolaneError):
    """The lease lapsed or went to another holder."""


class EndpointError(PomelolaneError):
    """Base of failures in a call to an endpoint."""


class EndpointRefusedError(EndpointError):
    """The connection was refused or the call rejected before it was taken."""


class EndpointBrokenError(EndpointError):
    """The endpoint failed after bytes of the request had been sent."""


class StreamGoneError(EndpointError):
    """The endpoint does not know the stream that was to be resumed."""


class TransportError(PomelolaneError):
    """A message between VMs could not be decoded or was not authentic."""


class BadRequestError(PomelolaneError):
    """A caller's request is malformed.

    Attributes:
        status: HTTP status to answer with.
        reason: Machine-readable reason, a :class:`~pomelolane.outcomes.Reason`.
    """

    def __init__(self, status: int, reason: object, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class JobLostError(PomelolaneError):
    """This runner does not, or not certainly, hold the job any more."""
