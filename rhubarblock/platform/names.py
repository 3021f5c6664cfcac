"""Names of the platform's headers, objects and fields."""

# Id of one attempt of a caller, repeated in the endpoint's response.
ATTEMPT_ID = "X-Rhubarblock-Attempt-Id"
# Time until the caller's deadline, in milliseconds.
REMAINING = "X-Rhubarblock-Deadline-Remaining"
# The caller's API key, which is never forwarded to an endpoint.
CREDENTIAL = "X-Rhubarblock-Credential"
# Name of the key's owner, sent to the endpoint.
TENANT = "X-Rhubarblock-Tenant"
# Tokens of the prompt and maximum tokens of the answer.
TOKEN_COUNT = "X-Rhubarblock-Token-Count"
# Parts of the prompt as ID:TOKENS entries; the last one is the request's own.
PROMPT_PREFIX = "X-Rhubarblock-Prompt-Prefix"
# Id of the endpoint that a request is addressed to.
TARGET = "X-Rhubarblock-Target-Instance"
# The endpoint's signature of its response.
SEAL = "X-Rhubarblock-Server-Seal"
# States that the endpoint did not run the request.
NOT_EXECUTED = "X-Rhubarblock-Not-Executed"
# Rank of a request in an engine's queue, 0 is first.
URGENCY = "X-Rhubarblock-Request-Urgency"
# Engines that prefill parts of the prompt, with their memory leases.
HELPERS = "X-Rhubarblock-Helpers"
# Address of the endpoint that caused a refusal.
AT_SERVER = "At-Server"
# Requests per second that an overloaded endpoint accepts from all instances.
LIMIT = "Server-Limit"
# States that the endpoint is about to stop.
LEAVING = "Server-Leaving"
# Cool-down of an endpoint that rejected a request, in seconds.
RETRY_AFTER = "Retry-After"
# Milliseconds for which an endpoint stays cold.
COLD_REMAINING = "X-Rhubarblock-Cold-Remaining"
# Endpoint fields that are forwarded to the caller and not interpreted.
FORWARDED = (
    "X-Rhubarblock-Instance-Id",
    "X-Rhubarblock-Weight-Versions",
)
# Prefixes of the fields that an endpoint sets about itself.
ENDPOINT_PREFIXES = ("x-rhubarblock-", "server-")
# Number of the last event that the caller of a stream received.
LAST_EVENT = "Last-Event-Id"

# Object with the current configuration, and prefixes of the endpoints' entries
# and of the objects that ask for the evacuation of a data centre.
CONFIGURATION = "config/main"
ENDPOINT_KIND = "servers/"
EVACUATION_KIND = "evacuations/"

# Number of times that the store was restored from an older copy.
STORE_ERA = "Store-Era"

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "RHUBARBLOCK_BOOT"
# Port on which metrics are scraped, as in deploy/system.toml.
METRICS_PORT = 9464
