"""The metrics of a host."""

from rattanhollow.observe._meter import MetricKind

REQUESTS = MetricKind(
    "rattanhollow_requests",
    "Statements answered, by what the route promises, statement and outcome.",
    ("consistency", "statement", "outcome"),
)
REQUEST_MS = MetricKind(
    "rattanhollow_request_ms",
    "Time from a statement's arrival to its answer.",
    ("consistency",),
)
SESSIONS_REFUSED = MetricKind(
    "rattanhollow_sessions_refused", "Sessions refused, by reason.", ("reason",)
)
ATTEMPTS = MetricKind(
    "rattanhollow_attempts",
    "Attempts at backend servers, by fate and by reason or obstacle.",
    ("fate", "reason"),
)
READS = MetricKind(
    "rattanhollow_reads",
    "Reads done, by the role of the backend server.",
    ("role",),
)
READS_SENT = MetricKind(
    "rattanhollow_reads_sent",
    "Attempts at reads by where the server is; only where crossings have a cost.",
    ("service", "place"),
)
QUEUE_WAIT_MS = MetricKind(
    "rattanhollow_queue_wait_ms",
    "Time that work waited for a slot of a served backend server.",
    ("server",),
)
QUEUE_ESTIMATE_MS = MetricKind(
    "rattanhollow_queue_estimate_ms",
    "The wait that was estimated for the same work.",
    ("server",),
)
QUEUE_REFUSALS = MetricKind(
    "rattanhollow_queue_refusals",
    "Work that was refused at the queue for slots, where slots are scarce.",
    ("server", "cause"),
)
SERVER_MS = MetricKind(
    "rattanhollow_server_ms",
    "Time that a served backend server worked on a statement.",
    ("server",),
)
CONNECTIONS_OPENED = MetricKind(
    "rattanhollow_connections_opened",
    "Connections opened to served backend servers, by outcome.",
    ("server", "outcome"),
)
ADMISSIONS = MetricKind(
    "rattanhollow_admissions",
    "Operations within and over the rate, by organisation.",
    ("organisation", "outcome"),
)
STORE_CALLS = MetricKind(
    "rattanhollow_store_calls",
    "Calls to the platform's store, by call and outcome.",
    ("call", "outcome"),
)
STORE_ERA_CHANGES = MetricKind(
    "rattanhollow_store_era_changes",
    "How often the store came back from an older copy of itself.",
)
CONFIGURATION_VERSION = MetricKind(
    "rattanhollow_configuration_version", "The configuration in force."
)
STORE_SILENT_S = MetricKind(
    "rattanhollow_store_silent_s", "Time since the store was last heard."
)
SESSIONS = MetricKind("rattanhollow_sessions", "Sessions open now.")
HOSTS = MetricKind("rattanhollow_hosts", "Hosts that the store lists.")
STATEMENTS_NOT_HELD = MetricKind(
    "rattanhollow_statements_not_held",
    "Statements refused because the memory for callers was short.",
)
CALLERS_CLOSED = MetricKind(
    "rattanhollow_callers_closed",
    "Callers' connections closed, by the limit that was reached.",
    ("limit",),
)
CALLERS_PAUSED = MetricKind(
    "rattanhollow_callers_paused", "Pauses of connections that held most."
)
HELD_BYTES = MetricKind("rattanhollow_held_bytes", "Memory held for callers.")
CONNECTIONS = MetricKind("rattanhollow_connections", "Callers' connections open now.")
LINES_OMITTED = MetricKind("rattanhollow_log_lines_omitted", "Log lines not written.")
