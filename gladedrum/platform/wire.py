"""Names that the platform's protocols define: headers, paths and keys of the store."""

__all__: list[str] = []

# Headers of requests and answers, in lower case as h11 returns them.
REQUEST_ID = b"x-gladedrum-request-id"
DEADLINE_MS = b"x-gladedrum-deadline-ms"
TOKEN_USAGE = b"x-gladedrum-token-usage"
PROMPT_PARTS = b"x-gladedrum-prompt-prefix"  # Its parts in order, each as ID:TOKENS.
LENGTH_HINT = b"length-hint"
LAST_EVENT_ID = b"last-event-id"
ORGANISATION = b"x-gladedrum-tenant"
EXPECTED_TARGET = b"x-gladedrum-target-instance"
NOT_RUN = b"x-gladedrum-not-executed"
AT_FAULT = b"at-server"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
COLD_MS = b"x-gladedrum-cold-ms"
RETRY_AFTER = b"retry-after"
SIGNATURE = b"x-gladedrum-response-seal"  # Set by targets; boxes forward it unchanged.
PRIORITY = b"priority"
HELPERS = b"helpers"
EXPECTED_VERSION = b"expect-version"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "

# Paths.
READY_PATH = "/api/ready"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
STORE_KEY_PATH = "/api/kv-key"
STORE_RANGE_PATH = "/api/kv-range"
STORE_WATCH_PATH = "/api/kv-watch"
STORE_TRANSACTION_PATH = "/api/kv-txn"
STORE_GRANT_LEASE_PATH = "/api/kv-lease"
STORE_KEEP_LEASE_PATH = "/api/kv-keep/"
STORE_END_LEASE_PATH = "/api/kv-lease-end/"

# Headers of the store's answers.
STORE_ERA = b"store-era"

# Keys in the store that the operator and the targets write.
CONFIGURATION_KEY = "op/config"
CONFIGURATION_PREFIX = "op/"
EVACUATION_PREFIX = "op/evacuate/"  # Then the name of an evacuated data hall.
TARGETS_PREFIX = "servers/"
