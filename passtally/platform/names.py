"""The platform's header names, in lower case for comparison."""

REQUEST_ID = b"x-request-id"
#: Time until the caller gives up, in milliseconds: a duration, not a point in time.
TIME_LEFT_MS = b"x-deadline-ms"
KEY = b"x-key"
WORKSPACE = b"x-tenant-id"
EXPECTED_ENDPOINT = b"x-expect-instance"
#: The id of the last event that the caller received.
LAST_EVENT_ID = b"last-event-id"
#: The id of the caller's try that brought the first event of a stream that it takes up.
RESUMES = b"resumes"
#: The length of the prompt and the maximum output, in tokens, as ``PROMPT,MAX``.
#: Despite the header's name, it is not the usage of a finished run.
TOKEN_COUNTS = b"x-token-usage"
#: The parts of the prompt in order, as ``ID:TOKENS,...``. Despite the header's name,
#: it is not a hash of the prompt.
PROMPT_PARTS = b"x-prefix-hash"
#: Proof that the endpoint made the answer; forwarded unchanged.
PROOF = b"x-response-stamp"
#: Response header: the endpoint did not run the request.
NOT_RUN = b"x-not-executed"
#: Response header: the id of the endpoint that answered.
ANSWERED_BY = b"x-instance-id"
#: Response header: the endpoint's request limit in requests per second, over all hosts.
LIMIT = b"server-limit"
#: Response header: 1 if the endpoint is leaving, otherwise absent.
LEAVING = b"server-leaving"
#: Response header: the endpoint falls over if it has to reject more requests than this
#: in a second for want of room.
BRITTLE = b"server-brittle"
#: Response header: the requests that run, wait and have slots at the endpoint, and how
#: long work takes there in percent of the usual time, joined by commas.
LOAD = b"x-instance-load"
#: Response header with status 503: the back-off in seconds that the endpoint asks of
#: the host whose request it rejected.
RETRY_AFTER = b"retry-after"
#: Response header: the version of the model weights that made the answer. An answer is
#: not continued on another version; the version of an endpoint's software decides this,
#: since it is known before a request is sent.
WEIGHTS = b"x-weight-versions"
#: On every answer of the store: how many times it was restored from an older copy.
STORE_ERA = b"store-era"
CONTENT_ENCODING = b"content-encoding"
HOST = b"host"
#: 0 is the most urgent; 5 is the default without the header.
PRIORITY = b"x-request-priority"
#: The address of the endpoint that keeps a replica of the run, as IP:PORT.
REPLICA_AT = b"x-kv-backup"
#: The location of the replica to resume the run from, as IP:PORT/ID.
STATE_FROM = b"kv-from"
STATE_FETCH = b"kv-fetch"
#: A slot and memory that were reserved before; the request skips the endpoint's queue.
RESERVATION = b"x-hold"
#: Time in milliseconds that a prompt stays in the endpoint's memory after a complete
#: run.
KEEP_PROMPT_MS = b"x-pin-ms"
#: The required version of the model weights; an endpoint with another version rejects
#: the request.
EXPECTED_WEIGHTS = b"x-expect-version"

#: Platform headers that are known in answers of endpoints; any other is logged.
ENDPOINT_HEADERS = frozenset(
    (
        REQUEST_ID,
        PROOF,
        NOT_RUN,
        ANSWERED_BY,
        LIMIT,
        LEAVING,
        BRITTLE,
        LOAD,
        RETRY_AFTER,
        WEIGHTS,
    )
)
#: Prefixes of the names of the platform's headers.
PLATFORM_PREFIXES = (b"x-", b"server-", b"kv-")
#: Headers that only this system sets on requests to endpoints. A caller's values are
#: not forwarded: they would take memory or slots from others, or make a healthy
#: endpoint reject the request.
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
