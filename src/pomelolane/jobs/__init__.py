"""Durable jobs: accepted work that outlives the VM that took it.

A caller hands work in and asks for its answer later, at any VM.
"""

from pomelolane.jobs.api import JobApi, JobRequest
from pomelolane.jobs.assembly import Jobs, make_jobs
from pomelolane.jobs.dispatcher import JobDispatcher
from pomelolane.jobs.liveness import HeartbeatWriter, RunnerWatch
from pomelolane.jobs.record import FINAL_STATES, JobRecord, JobState, StoredJob
from pomelolane.jobs.runner import JobRunner
from pomelolane.jobs.settings import JobSettings
from pomelolane.jobs.store import JobStore

__all__ = [
    "FINAL_STATES",
    "HeartbeatWriter",
    "JobApi",
    "JobDispatcher",
    "JobRecord",
    "JobRequest",
    "JobRunner",
    "JobSettings",
    "JobState",
    "JobStore",
    "Jobs",
    "RunnerWatch",
    "StoredJob",
    "make_jobs",
]
