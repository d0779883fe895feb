"""The platform's header names, in lower case as they are compared."""

REQUEST_ID = b"x-request-id"
#: How long the caller will still wait, in milliseconds; a duration, not an instant.
TIME_LEFT_MS = b"x-deadline-ms"
KEY = b"x-key"
WORKSPACE = b"x-tenant-id"
EXPECTED_ENDPOINT = b"x-expect-instance"
#: The id of the last event that the caller has.
LAST_EVENT_ID = b"last-event-id"
#: The prompt's length and the most tokens out, as ``PROMPT,MOST``; not a usage.
TOKEN_COUNTS = b"x-token-usage"
#: The prompt's parts in order, as ``ID:TOKENS,...``; not a hash of the prompt.
PROMPT_PARTS = b"x-prefix-hash"
#: Proves that an answer is the endpoint's; passed on unchanged.
PROOF = b"x-response-stamp"
#: On an answer: the endpoint did not run the request.
NOT_RUN = b"x-not-executed"
#: On an answer: the endpoint that gave it.
ANSWERED_BY = b"x-instance-id"
#: On an answer: the requests a second that the endpoint takes from all hosts together.
LIMIT = b"server-limit"
#: On an answer: 1 where the endpoint leaves; absent where it does not.
LEAVING = b"server-leaving"
#: On an answer of status 503: for how many seconds the endpoint wants no request of the
#: host that it turned away.
REST = b"retry-after"
#: On an answer: the version of the model's weights that made it. Answers are not joined
#: over versions: the version of an endpoint's software tells that before it is asked.
WEIGHTS = b"x-weight-versions"
#: On every answer of the store: how often it came back from an older copy.
STORE_ERA = b"store-era"
CONTENT_ENCODING = b"content-encoding"
HOST = b"host"
#: 0 is the most urgent; 5 where the header is absent.
PRIORITY = b"x-request-priority"
#: The endpoint that is to keep a replica of the run, as IP:PORT.
REPLICA_AT = b"x-kv-backup"
#: Where the state of the same run is kept, as IP:PORT/ID.
STATE_FROM = b"kv-from"
STATE_FETCH = b"kv-fetch"
#: A place and memory set aside before; lets a request go ahead of all that wait.
RESERVATION = b"x-hold"
#: For how long a prompt stays in the endpoint's memory after a whole run.
KEEP_PROMPT_MS = b"x-pin-ms"
#: The version of the model's weights; an endpoint with another one refuses.
EXPECTED_WEIGHTS = b"x-expect-version"

#: What an endpoint may say in its answers; of others a line is logged.
SAID_BY_ENDPOINTS = frozenset(
    (REQUEST_ID, PROOF, NOT_RUN, ANSWERED_BY, LIMIT, LEAVING, REST, WEIGHTS)
)
#: What the names of headers begin with that are the platform's own.
OWN_PREFIXES = (b"x-", b"server-", b"kv-")
#: Headers that only this system sets towards endpoints. A caller's own are not handed
#: on: they would take memory or places from others, or make a sound endpoint refuse.
SYSTEM_HEADERS = (
    TIME_LEFT_MS,
    KEY,
    WORKSPACE,
    EXPECTED_ENDPOINT,
    LAST_EVENT_ID,
    PRIORITY,
    REPLICA_AT,
    STATE_FROM,
    STATE_FETCH,
    RESERVATION,
    KEEP_PROMPT_MS,
    EXPECTED_WEIGHTS,
)
