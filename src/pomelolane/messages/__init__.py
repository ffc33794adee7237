"""Messages between VMs, encoded as MessagePack by msgspec.

Each is a tagged struct. Ages and time budgets are sent as durations, because the clocks
of different VMs are never compared.
"""

from pomelolane.messages.base import (
    Message,
)
from pomelolane.messages.claims import (
    ClaimBatch,
    ClaimResults,
    KeyAnswer,
    KeyQuery,
    RelayedResult,
    RelayedWrite,
)
from pomelolane.messages.declarations import (
    BranchContent,
    BranchWanted,
    EndpointLeaving,
    RecordChange,
    WatchedChanges,
)
from pomelolane.messages.membership import (
    Digest,
    DigestPulse,
    DigestWanted,
    Heartbeat,
    HeartbeatWanted,
    MemberState,
    Pulse,
)
from pomelolane.messages.quarantine import CrashesReported, ReportedCrash
from pomelolane.messages.resumption import (
    OriginTold,
    OriginWanted,
    ServiceVersions,
    StreamBegun,
    VersionsListed,
)
from pomelolane.messages.scheduling import (
    EstimatesShared,
    Granted,
    Handle,
    HeldReservation,
    LimitsHeard,
    NamedLimit,
    NotScheduler,
    Progress,
    Refused,
    ReservationsHeld,
    RunningHandle,
    SharedEstimate,
    StreamEvent,
    Submit,
    SubmitAck,
    Sync,
    SyncAck,
    ToldUse,
    Unfollow,
    UsesTold,
    Withdraw,
)
from pomelolane.messages.wire import (
    SENT_ALONE,
    AnyMessage,
    decode_message,
    encode_message,
)

__all__ = [
    "SENT_ALONE",
    "AnyMessage",
    "BranchContent",
    "BranchWanted",
    "ClaimBatch",
    "ClaimResults",
    "CrashesReported",
    "Digest",
    "DigestPulse",
    "DigestWanted",
    "EndpointLeaving",
    "EstimatesShared",
    "Granted",
    "Handle",
    "Heartbeat",
    "HeartbeatWanted",
    "HeldReservation",
    "KeyAnswer",
    "KeyQuery",
    "LimitsHeard",
    "MemberState",
    "Message",
    "NamedLimit",
    "NotScheduler",
    "OriginTold",
    "OriginWanted",
    "Progress",
    "Pulse",
    "RecordChange",
    "Refused",
    "RelayedResult",
    "RelayedWrite",
    "ReportedCrash",
    "ReservationsHeld",
    "RunningHandle",
    "ServiceVersions",
    "SharedEstimate",
    "StreamBegun",
    "StreamEvent",
    "Submit",
    "SubmitAck",
    "Sync",
    "SyncAck",
    "ToldUse",
    "Unfollow",
    "UsesTold",
    "VersionsListed",
    "WatchedChanges",
    "Withdraw",
    "decode_message",
    "encode_message",
]
