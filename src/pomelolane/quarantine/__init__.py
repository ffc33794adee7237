"""Keeps requests that end endpoints away from them.

A request that ends each endpoint which begins it would end all of them: its callers
repeat it at any VM, and a broken stream goes on elsewhere. VMs report to each other,
and to a record, which endpoints ended under which requests, judge by all reports
alike, and refuse what is to blame.
"""

from pomelolane.quarantine.book import EndBook, EndReport
from pomelolane.quarantine.ends import EndWatch, Run, endpoint_start
from pomelolane.quarantine.fingerprint import fingerprint_from_request
from pomelolane.quarantine.gate import Gate
from pomelolane.quarantine.judgement import Judgement, judge
from pomelolane.quarantine.news import EndNews
from pomelolane.quarantine.quarantine import Quarantine
from pomelolane.quarantine.record import (
    EndRecord,
    RecordedEnd,
    RecordKeeper,
    RecordNews,
)

__all__ = [
    "EndBook",
    "EndNews",
    "EndRecord",
    "EndReport",
    "EndWatch",
    "Gate",
    "Judgement",
    "Quarantine",
    "RecordKeeper",
    "RecordNews",
    "RecordedEnd",
    "Run",
    "endpoint_start",
    "fingerprint_from_request",
    "judge",
]
