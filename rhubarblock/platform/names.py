"""Names of the platform's headers, objects and fields."""

# The id of one attempt of a caller, echoed by endpoints.
ATTEMPT_ID = "X-Rhubarblock-Attempt-Id"
# Milliseconds that the caller still waits.
REMAINING = "X-Rhubarblock-Deadline-Remaining"
# The caller's key; it never reaches an endpoint.
CREDENTIAL = "X-Rhubarblock-Credential"
# The name of the key's owner, for the endpoint.
TENANT = "X-Rhubarblock-Tenant"
# Tokens of the prompt and most tokens of the answer.
TOKEN_COUNT = "X-Rhubarblock-Token-Count"
# Id of the endpoint that a request is meant for.
TARGET = "X-Rhubarblock-Target-Instance"
# The endpoint's signature under its answer.
SEAL = "X-Rhubarblock-Server-Seal"
# An endpoint's word that it did not run the request.
NOT_EXECUTED = "X-Rhubarblock-Not-Executed"
# Rank of a request at an engine, 0 is first.
URGENCY = "X-Rhubarblock-Request-Urgency"
# Engines that read parts of the prompt, with their memory leases.
HELPERS = "X-Rhubarblock-Helpers"
# Address of the endpoint at fault in a refusal.
AT_SERVER = "At-Server"
# Requests a second that an endpoint in need takes from all instances together.
LIMIT = "Server-Limit"
# An endpoint's word that it is about to end.
LEAVING = "Server-Leaving"
# Seconds for which an endpoint that turned a request away wants no other.
RETRY_AFTER = "Retry-After"
# Fields of endpoints' answers that are passed on and decide nothing.
PASSED_ON = (
    "X-Rhubarblock-Cold-Remaining",
    "X-Rhubarblock-Instance-Id",
    "X-Rhubarblock-Weight-Versions",
)
# What the names of an endpoint's own fields begin with.
ENDPOINT_PREFIXES = ("x-rhubarblock-", "server-")
# Number of the last event that the caller of a stream has.
LAST_EVENT = "Last-Event-Id"

# The object with the newest configuration, and the kind of endpoints' entries.
CONFIGURATION = "config/main"
ENDPOINT_KIND = "servers/"

# How often the store has come back from an older copy of itself.
STORE_ERA = "Store-Era"

# Variable with the path of the settings file.
SETTINGS_VARIABLE = "RHUBARBLOCK_BOOT"
# Port of the counters, as in deploy/system.toml.
METRICS_PORT = 9464
