"""Keeps requests that crash endpoints away from them.

A request that crashes each endpoint which begins it would crash all of them: its
callers repeat it at any VM, and a broken stream goes on elsewhere. VMs report to each
other, and to a record, which endpoints crashed under which requests, judge by all
reports alike, and refuse what is to blame, a request or each that has a certain part
in its prompt: three engines of five crashed in runs of
9 s where 24 did before, one request coming every 0.3 s.
"""

from pomelolane.quarantine.book import CrashBook, CrashReport
from pomelolane.quarantine.crashes import CrashWatch, Run
from pomelolane.quarantine.fingerprint import (
    fingerprint_from_part,
    fingerprint_from_request,
    fingerprints_from_parts,
)
from pomelolane.quarantine.gate import Gate
from pomelolane.quarantine.judgement import Judgement, judge
from pomelolane.quarantine.news import CrashNews
from pomelolane.quarantine.quarantine import Quarantine
from pomelolane.quarantine.record import (
    CrashRecord,
    RecordedCrash,
    RecordKeeper,
    RecordNews,
)
from pomelolane.quarantine.subjects import Subjects

__all__ = [
    "CrashBook",
    "CrashNews",
    "CrashRecord",
    "CrashReport",
    "CrashWatch",
    "Gate",
    "Judgement",
    "Quarantine",
    "RecordKeeper",
    "RecordNews",
    "RecordedCrash",
    "Run",
    "Subjects",
    "fingerprint_from_part",
    "fingerprint_from_request",
    "fingerprints_from_parts",
    "judge",
]
