"""The catalogue of numbered log events.

docs/LOG-EVENTS.md is written from it, and a test checks that they agree.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line.

    Attributes:
        number: Unique; hundreds group by subsystem (1xx process, 2xx gateway,
            3xx scheduler, 4xx membership, 5xx platform, claims and leases,
            6xx jobs, 7xx settings, 8xx endpoints).
        name: Unique, snake case.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        fields: Names of the values that the line carries.
        meaning: One sentence for operators.
    """

    number: int
    name: str
    level: str
    fields: tuple[str, ...]
    meaning: str


CATALOGUE: dict[int, Event] = {}
"""All events by number."""


def _define(number: int, name: str, level: str, fields: str, meaning: str) -> Event:
    event = Event(number, name, level, tuple(fields.split()), meaning)
    if number in CATALOGUE:
        raise AssertionError(f"event {number} is defined twice")
    CATALOGUE[number] = event
    return event


# 1xx: the process
VM_STARTED = _define(
    101,
    "vm_started",
    "info",
    "vm data_centre incarnation address version",
    "The process listens and has begun to look for its settings.",
)
VM_READY = _define(
    102, "vm_ready", "info", "vm branches", "Settings are in force; callers are taken."
)
VM_DRAINING = _define(
    103,
    "vm_draining",
    "info",
    "vm open_requests",
    "A planned stop has begun; open requests are finished first.",
)
LINES_LOST = _define(
    106,
    "lines_lost",
    "warning",
    "lines",
    "Log lines over the bound, or that nobody read, were counted and not written.",
)
VM_STOPPED = _define(104, "vm_stopped", "info", "vm", "The process ends.")
TASK_FAILED = _define(
    105, "task_failed", "error", "task error", "A background task failed and restarts."
)

# 2xx: the gateway
REQUEST_ACCEPTED = _define(
    201,
    "request_accepted",
    "debug",
    "request organisation service work tier deadline_ms prefill_tokens",
    "A request passed the checks and waits for a slot.",
)
REQUEST_DISPATCHED = _define(
    202,
    "request_dispatched",
    "info",
    "request service endpoint attempt waited_ms expected_ttft_ms",
    "The request is sent to the endpoint; from here it counts as possibly run.",
)
REQUEST_FINISHED = _define(
    203,
    "request_finished",
    "info",
    "request endpoint status ttft_ms total_ms chunks",
    "The whole answer went to the caller.",
)
REQUEST_REFUSED = _define(
    204,
    "request_refused",
    "info",
    "request outcome reason retry_after_ms",
    "The caller got a typed final refusal.",
)
REQUEST_CUT = _define(
    205,
    "request_cut",
    "warning",
    "request endpoint outcome reason",
    "The answer ended early after dispatch.",
)
REQUEST_RETRIED = _define(
    206,
    "request_retried",
    "info",
    "request endpoint attempt reason",
    "An idempotent request is sent again before its first answer byte.",
)
REQUEST_ATTACHED = _define(
    207,
    "request_attached",
    "info",
    "request key endpoint",
    "A repeated key is answered from the first request's stream or kept answer.",
)
BAD_INPUT = _define(
    208, "bad_input", "info", "reason status", "A malformed request was turned away."
)
CALLER_EVICTED = _define(
    209,
    "caller_evicted",
    "warning",
    "bound connections held_bytes unlogged",
    "A caller's connection without a complete request was closed, as connections or "
    "memory for all callers together are used up.",
)

FORWARD_ACCEPTED = _define(
    211,
    "forward_accepted",
    "info",
    "request fingerprint parts grant route service organisation rank kind "
    "objective_ms limit_ms prompt_tokens hint_tokens charge_tokens version resumes "
    "resume_after",
    "A routed request passed the checks under this configuration version.",
)
FORWARD_SENT = _define(
    212,
    "forward_sent",
    "info",
    "request grant endpoint send waited_ms expected_ms left_ms list_age_ms list_version"
    " software",
    "The request leaves for the endpoint; from here it may have run.",
)
FORWARD_FINISHED = _define(
    213,
    "forward_finished",
    "info",
    "request endpoint status first_ms total_ms pieces gap_ms bytes framing"
    " unsent_bytes",
    "The endpoint's whole answer went to the caller.",
)
FORWARD_REFUSED = _define(
    214,
    "forward_refused",
    "info",
    "request route service outcome reason status held_ms retry_after_ms sends endpoint "
    "detail",
    "The caller got the gateway's own final answer, or a visible break (status 0).",
)
FORWARD_FAILED = _define(
    215,
    "forward_failed",
    "warning",
    "request endpoint send reason may_have_run answer_begun detail",
    "One send ended without a whole answer.",
)
FORWARD_RETRIED = _define(
    216,
    "forward_retried",
    "info",
    "request send reason budget",
    "The request is offered to another endpoint.",
)
FORWARD_ABANDONED = _define(
    217,
    "forward_abandoned",
    "info",
    "request endpoint sends answer_begun held_ms",
    "The caller left; its run is cancelled by closing the endpoint's connection.",
)
FORWARD_RELAYED = _define(
    219,
    "forward_relayed",
    "info",
    "request peer sends left_ms",
    "The request goes to another VM, as this one reaches no endpoint.",
)
FORWARD_RELAY_ENDED = _define(
    220,
    "forward_relay_ended",
    "info",
    "request peer status total_ms pieces bytes detail",
    "The other VM has answered, or could not serve the request (status 421 or 0).",
)

STREAM_ORIGIN_FOUND = _define(
    221,
    "stream_origin_found",
    "info",
    "request resumes service software source waited_ms",
    "A caller resumes a stream, and where it began is known: it goes on only there.",
)

FORWARD_ERROR = _define(
    222,
    "forward_error",
    "error",
    "request error",
    "An unhandled error ended the request.",
)

ANSWER_NOT_OWN = _define(
    223,
    "answer_not_own",
    "warning",
    "request endpoint attribution named",
    "An answer that came for the request names another one, or none.",
)

FORWARD_REJECTED = _define(
    224,
    "forward_rejected",
    "info",
    "request host path status reason version in_force_ms confirmed_ms lag_ms unlogged",
    "A request has no route or no known key in the configuration that it was checked "
    "by; for how long that is in force, since when it is known to be the newest, the "
    "largest lag of the event loop in the last seconds, and such requests not logged.",
)
REQUEST_QUARANTINED = _define(
    218,
    "request_quarantined",
    "warning",
    "fingerprint crashes",
    "Endpoints crash under requests that ask for this, or have this part in their "
    "prompts; they are refused from now on.",
)

# 3xx: the scheduler
PLACED = _define(
    301,
    "placed",
    "info",
    "request service endpoint tier waited_ms queue_ms prefill_ms cached_tokens score "
    "reserved",
    "The scheduler granted a slot; the figures are those that decided.",
)
REFUSED = _define(
    302,
    "refused",
    "info",
    "request service tier reason queued retry_after_ms reserved_ms beyond_share",
    "The scheduler gave up on a waiting request.",
)
SCHEDULER_CHOSEN = _define(
    303,
    "scheduler_chosen",
    "info",
    "service scheduler view epoch",
    "This gateway follows another scheduler for the service.",
)
SCHEDULER_ROLE = _define(
    304, "scheduler_role", "info", "service held", "This VM took or left the role."
)
ENDPOINT_STRAGGLING = _define(
    305,
    "endpoint_straggling",
    "warning",
    "endpoint slowdown",
    "An endpoint is much slower than before and gets probes only.",
)
ENDPOINT_RECOVERED = _define(
    306,
    "endpoint_recovered",
    "info",
    "endpoint slowdown",
    "A straggler's probe was fast enough; it takes grants again.",
)
LOCAL_FALLBACK = _define(
    307,
    "local_fallback",
    "warning",
    "service share",
    "No scheduler answers; this VM grants from its fixed share of slots.",
)
SHARES_CONTENDED = _define(
    330,
    "shares_contended",
    "info",
    "service contended ended beyond",
    "Ranks in which organisations ask for more slots than there are, and those that"
    " ceased to be; organisations beyond their share, as rank:name.",
)
LIMIT_PACED = _define(
    331,
    "limit_paced",
    "info",
    "service organisation waits requests tokens level_tokens tokens_per_s",
    "Requests of an organisation begin or cease to wait for the rate of its limit.",
)
RESERVATIONS_LAPSED = _define(
    332,
    "reservations_lapsed",
    "info",
    "service count",
    "Slots were lost, and reserved retries that no longer fit were withdrawn.",
)
ESTIMATES_ADOPTED = _define(
    333,
    "estimates_adopted",
    "info",
    "service number source",
    "A scheduler adopted estimates of endpoints from a VM or the store.",
)

# 4xx: membership
PEERS_UP = _define(
    401,
    "peers_up",
    "info",
    "data_centre count peers",
    "VMs of a data centre joined the view, or were started again.",
)
PEERS_DOWN = _define(
    402,
    "peers_down",
    "info",
    "data_centre count silent_ms peers",
    "VMs of a data centre left the view; the longest silence, 0 where others said so.",
)
DELEGATE_ROLE = _define(
    403,
    "delegate_role",
    "info",
    "data_centre held",
    "This VM began or ceased to exchange digests for its data centre.",
)
DATA_CENTRE_LOST = _define(
    404, "data_centre_lost", "warning", "data_centre", "No digest comes from it."
)
MESSAGE_REJECTED = _define(
    405,
    "message_rejected",
    "warning",
    "peer error",
    "An inter-VM message was malformed, replayed or not authentic.",
)

VM_WOKE = _define(
    406,
    "vm_woke",
    "warning",
    "paused_ms",
    "This process did not run for a while; its view counts as stale until it is heard "
    "again.",
)

# 5xx: platform, claims, leases
PLATFORM_DOWN = _define(501, "platform_down", "warning", "error", "A call failed.")
PLATFORM_UP = _define(502, "platform_up", "info", "down_ms", "Calls succeed again.")
CLAIM_COMMITTED = _define(
    503, "claim_committed", "debug", "claims elapsed_ms", "One group of claims is in."
)
CLAIM_READ_BACK = _define(
    504,
    "claim_read_back",
    "info",
    "claims held",
    "A lost reply was settled by reading the claims back.",
)
LEASE_TAKEN = _define(
    505, "lease_taken", "info", "lease fencing", "This VM holds the lease."
)
LEASE_LOST = _define(506, "lease_lost", "warning", "lease fencing", "It holds no more.")
CLAIM_RELEASED = _define(
    507,
    "claim_released",
    "info",
    "key",
    "A claim that was given up before dispatch is free again.",
)
ROWS_SWEPT = _define(
    508, "rows_swept", "debug", "prefix rows", "Rows past their retention were deleted."
)
GATHERER_SILENT = _define(
    509,
    "gatherer_silent",
    "info",
    "gatherer writes",
    "A peer that gathers commits did not answer; this VM reads back and commits.",
)

STORE_LOST = _define(
    510,
    "store_lost",
    "warning",
    "what error age_ms",
    "A watch of the metadata store fails; what it brought last stays in force.",
)
STORE_REGAINED = _define(
    511,
    "store_regained",
    "info",
    "what down_ms version",
    "A watch of the metadata store succeeds again.",
)

LEDGER_LOADED = _define(
    512,
    "ledger_loaded",
    "info",
    "service tokens",
    "A new scheduler counts what organisations used under the one before.",
)
LEDGER_FAILED = _define(
    513,
    "ledger_failed",
    "warning",
    "service error",
    "The record of organisations' use was not written or read; a guess stands in.",
)

LIMITS_GUESSED = _define(
    517,
    "limits_guessed",
    "warning",
    "service part organisations",
    "The record of organisations' use cannot be read; so much of each limit counts as "
    "used for one span, or until it can be read.",
)

CRASH_RECORD_FAILED = _define(
    514,
    "crash_record_failed",
    "warning",
    "action error",
    "The record of endpoints that crashed under requests is not reached; told once.",
)
ESTIMATE_RECORD_FAILED = _define(
    518,
    "estimate_record_failed",
    "warning",
    "service action error",
    "The record of estimates was not written or read; schedulers still send them to "
    "their successors.",
)

# 6xx: jobs
JOB_ACCEPTED = _define(
    601, "job_accepted", "info", "job organisation service", "202 was answered."
)
JOB_CLAIMED = _define(
    602, "job_claimed", "info", "job attempt", "This VM runs the job."
)
JOB_RESUMED = _define(
    603,
    "job_resumed",
    "info",
    "job endpoint chunk",
    "A dead runner's stream is resumed where it stood.",
)
JOB_FINISHED = _define(604, "job_finished", "info", "job state", "The job has crashed.")
JOB_QUEUED_AGAIN = _define(
    605,
    "job_queued_again",
    "info",
    "job reason",
    "The job was not run here and waits for any VM.",
)
JOB_LOST = _define(
    606, "job_lost", "warning", "job", "Another VM runs the job now; this one stops."
)
JOB_TAKEN_OVER = _define(
    607,
    "job_taken_over",
    "warning",
    "job runner placed",
    "The job's runner is gone; this VM goes on with it.",
)
JOB_UNSAVED = _define(
    608,
    "job_unsaved",
    "warning",
    "job error",
    "The platform does not take the job's end; it is kept in memory and repeated.",
)

# 7xx: settings
SETTINGS_APPLIED = _define(
    701, "settings_applied", "info", "branch version source", "A version is in force."
)
SETTINGS_REJECTED = _define(
    702,
    "settings_rejected",
    "warning",
    "branch version error",
    "A branch did not pass the checks and was left as it was.",
)

SETTINGS_ACCEPTED = _define(
    703,
    "settings_accepted",
    "info",
    "branch version",
    "An operator's change is committed.",
)
SETTINGS_REFUSED = _define(
    704,
    "settings_refused",
    "info",
    "branch reason",
    "An operator's change was refused; nothing of it is stored, unless the "
    "platform's answer stayed unknown.",
)

CONFIGURATION_APPLIED = _define(
    705,
    "configuration_applied",
    "info",
    "version routes services organisations source",
    "A configuration of routed services is in force; where it came from: the store or "
    "another VM.",
)
CONFIGURATION_REJECTED = _define(
    706,
    "configuration_rejected",
    "error",
    "error version",
    "A configuration could not be read; the one before stays in force.",
)
CONFIGURATION_OUTDATED = _define(
    709,
    "configuration_outdated",
    "warning",
    "version in_force",
    "The store holds a configuration whose version is not higher than that of the one "
    "in force, which stays.",
)
ORGANISATION_LIMIT = _define(
    708,
    "organisation_limit",
    "info",
    "organisation tokens_per_s burst_tokens requests_per_s version",
    "A configuration sets or changes an organisation's limit.",
)
SETTINGS_FILE_READ = _define(
    707,
    "settings_file_read",
    "info",
    "vm data_centre role front peers",
    "The settings file of the platform was read, at start or after a signal.",
)

# 8xx: endpoints
ENDPOINT_LEAVING = _define(
    801, "endpoint_leaving", "info", "endpoint source", "It gets no further grant."
)
LOAD_ORDERED = _define(
    802,
    "load_ordered",
    "info",
    "endpoint model fencing answer",
    "An engine was ordered to load a model.",
)
ENDPOINT_KNOWN = _define(
    803,
    "endpoint_known",
    "info",
    "endpoint service data_centre leaving version software",
    "The registry lists an endpoint, or lists it otherwise than before.",
)
ENDPOINT_GONE = _define(
    804, "endpoint_gone", "info", "endpoint version", "The registry lists it no more."
)
ENDPOINT_REJECTED = _define(
    805,
    "endpoint_rejected",
    "warning",
    "endpoint error version",
    "Its entry in the registry cannot be read or be right; it gets no requests.",
)
ENDPOINT_LIMIT = _define(
    808,
    "endpoint_limit",
    "info",
    "endpoint service limit_per_s",
    "An answer names the rate that an endpoint takes, names another, or none any more.",
)
ENDPOINT_HEADER_REJECTED = _define(
    809,
    "endpoint_header_rejected",
    "warning",
    "endpoint header value",
    "What an endpoint says of itself in its answers cannot be read; it is passed over.",
)
ENDPOINT_RESTS = _define(
    810,
    "endpoint_rests",
    "info",
    "endpoint service rest_ms",
    "It has turned a request away and wants nothing from this VM for so long.",
)
ROLLOUT_ORDERED = _define(
    811,
    "rollout_ordered",
    "info",
    "service to_version duration_ms",
    "An operator orders that a service be moved to a version.",
)
ROLLOUT_PHASE = _define(
    812,
    "rollout_phase",
    "info",
    "service to_version phase arrived exposed answers bad_answers reason",
    "The order's phase for this VM, with what its trial has seen and why it ended.",
)
ROLLOUT_RECORD_FAILED = _define(
    813,
    "rollout_record_failed",
    "warning",
    "service error",
    "The state of an order was not read or written; it is tried again.",
)
ROLLOUT_REJECTED = _define(
    814,
    "rollout_rejected",
    "error",
    "row error",
    "An order cannot be read; the one before stays.",
)
ENDPOINTS_OUT_OF_REACH = _define(
    815,
    "endpoints_out_of_reach",
    "warning",
    "silent_ms",
    "No probed endpoint can be reached; requests are relayed to other VMs.",
)
ENDPOINTS_IN_REACH = _define(
    816,
    "endpoints_in_reach",
    "info",
    "after_ms",
    "An endpoint can be reached again; requests are sent to endpoints.",
)
ROW_REJECTED = _define(
    806,
    "row_rejected",
    "warning",
    "table row error",
    "A row of the metadata store cannot be read; the others are used.",
)
ENDPOINT_CRASHED = _define(
    807,
    "endpoint_crashed",
    "warning",
    "endpoint fingerprint crashes",
    "It ended while this request may have run there; so many crashed under it by now.",
)
