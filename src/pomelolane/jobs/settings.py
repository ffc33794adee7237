"""Times and bounds of the job runner.

The defaults hold in production; tests shorten them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Settings of one VM's job runner.

    Attributes:
        max_running: Jobs that this VM carries at one time.
        scan_interval_ms: Time between two scans of the open jobs, for up to
            ``scan_vms`` VMs; longer in proportion where there are more.
        scan_vms: See ``scan_interval_ms``.
        stagger_ms: Head start that each VM gives to the one before it in a
            job's order of VMs.
        beat_ms: Time between two heartbeats while jobs run here.
        lapse_ms: Silence after which a runner out of view counts as gone.
        placing_timeout_ms: Bound on recording where a job is sent; must stay
            well below ``lapse_ms``.
        refusals_before_requeue: Refusals after which other VMs may try.
        avoid_ms: How long this VM leaves a job to others that it gave up.
        refusal_pause_ms: Least and most time between two tries.
        resume_patience_ms: How long an unreachable stream is tried again.
        resume_pause_ms: First pause between two tries to resume.
        gone_answers: Times that an engine must deny a stream to be believed;
            the pauses between cover a dispatch still on its way.
        archive_after_ms: Age at which an ended job leaves the scanned rows;
            longer than any write can be delayed.
        retention_ms: How long an ended job and its answer are kept.
    """

    max_running: int = 64
    scan_interval_ms: float = 2_000.0
    scan_vms: int = 9
    stagger_ms: float = 1_000.0
    beat_ms: float = 3_000.0
    lapse_ms: float = 10_000.0
    placing_timeout_ms: float = 2_000.0
    refusals_before_requeue: int = 3
    avoid_ms: float = 5_000.0
    refusal_pause_ms: tuple[float, float] = (500.0, 30_000.0)
    resume_patience_ms: float = 300_000.0
    resume_pause_ms: float = 1_000.0
    gone_answers: int = 4
    archive_after_ms: float = 120_000.0
    retention_ms: float = 24 * 3600 * 1000.0
