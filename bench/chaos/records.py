"""What a run leaves behind for the checks: calls, jobs, runs, faults, versions.

All times are Unix times in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.caller import CallRecord
    from bench.chaos.plan import PlannedCall
    from bench.chaos.schedule import Fault

FINAL_JOB_STATES = frozenset({"done", "failed", "unknown", "cancelled"})


@dataclass(slots=True)
class JobEnd:
    """How an accepted job ended for its caller.

    Attributes:
        location: Where its state can be read.
        state: Last state read, empty if none could be.
        outcome: Outcome in that state.
        reason: Reason in that state.
        answer: The answer's text, if done.
        last_status: HTTP status of the last reading.
    """

    location: str
    state: str = ""
    outcome: str = ""
    reason: str = ""
    answer: str = ""
    last_status: int = 0


@dataclass(slots=True)
class CallResult:
    """A call, where it went and what came of it.

    Attributes:
        planned: The call.
        vm_id: VM that took it.
        data_centre: Where that VM stands.
        record: What its caller got.
        job: How its job ended, if one was accepted.
    """

    planned: PlannedCall
    vm_id: str
    data_centre: str
    record: CallRecord
    job: JobEnd | None = None

    @property
    def ended_at_ms(self) -> float:
        """When the caller had its end."""
        return self.record.sent_at_ms + self.record.total_ms


@dataclass(frozen=True, slots=True)
class EndpointRun:
    """A request that an endpoint received whole.

    Attributes:
        endpoint_id: The endpoint.
        data_centre: Where it stands.
        request_id: Id that came with it.
        mark: Tag of its prompt, or its path.
        arrived_at_ms: When.
        state: What came of it, empty for plain services.
    """

    endpoint_id: str
    data_centre: str
    request_id: str
    mark: str
    arrived_at_ms: float
    state: str = ""

    def __str__(self) -> str:
        """Return it as evidence."""
        state = f" {self.state}" if self.state else ""
        return f"{self.request_id}@{self.endpoint_id}{state} {self.arrived_at_ms:.0f}"


@dataclass(slots=True)
class FaultRecord:
    """A fault as it was carried out.

    Attributes:
        fault: What was planned.
        target: What it hit, for a scheduler the VM.
        began_at_ms: When it began.
        ended_at_ms: When it ended, 0 if it never did.
        note: What went differently than planned.
    """

    fault: Fault
    target: str
    began_at_ms: float
    ended_at_ms: float = 0.0
    note: str = ""


@dataclass(frozen=True, slots=True)
class SettingsPut:
    """One operator's change of a branch.

    Attributes:
        branch: The branch.
        expected_version: Version that it replaces.
        weight: Team weight that it writes.
        status: HTTP status of the answer, 0 if none came.
        version: Version that it got, -1 if none.
    """

    branch: str
    expected_version: int
    weight: float
    status: int
    version: int = -1


@dataclass(frozen=True, slots=True)
class VersionSample:
    """Settings in force on a VM at one moment."""

    vm_id: str
    at_ms: float
    versions: dict[str, int]


@dataclass(slots=True)
class Evidence:
    """Everything that the checks read.

    Attributes:
        results: All calls.
        runs: All runs of all endpoints.
        faults: All faults.
        puts: All changes of settings.
        samples: Settings in force over time.
        final_versions: Versions in the platform's table after the run.
        final_history: Team weight by branch and version in the table's history.
        last_versions: Settings in force by VM when the time for them was over.
        not_ready: VMs that did not get ready after healing.
        drained: Exit code of each planned stop, None if it did not end.
        began_at_ms: When the load began.
        healed_at_ms: When all faults were over.
        table_writes: Commits to the table during the load.
        list_lag_ms: Age of the platform's list.
        plain_endpoints: Endpoints that are asked for nothing but their work.
    """

    results: list[CallResult] = field(default_factory=list)
    runs: list[EndpointRun] = field(default_factory=list)
    faults: list[FaultRecord] = field(default_factory=list)
    puts: list[SettingsPut] = field(default_factory=list)
    samples: list[VersionSample] = field(default_factory=list)
    final_versions: dict[str, int] = field(default_factory=dict)
    final_history: dict[str, dict[int, float]] = field(default_factory=dict)
    last_versions: dict[str, dict[str, int]] = field(default_factory=dict)
    not_ready: list[str] = field(default_factory=list)
    drained: dict[str, int | None] = field(default_factory=dict)
    began_at_ms: float = 0.0
    healed_at_ms: float = 0.0
    table_writes: int = 0
    list_lag_ms: float = 0.0
    plain_endpoints: set[str] = field(default_factory=set)

    def runs_by_mark(self) -> dict[str, list[EndpointRun]]:
        """Return all runs by what they are recognised by."""
        found: dict[str, list[EndpointRun]] = {}
        for run in self.runs:
            found.setdefault(run.mark, []).append(run)
        return found
