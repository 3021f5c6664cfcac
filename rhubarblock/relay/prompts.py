"""Parses and validates completions calls.

Prompts are texts or lists of token ids. The length of a text is estimated at
four bytes a token, which is what the stand-in engine counts. An engine with a
tokenizer of its own would have to be asked for the length.
"""

import dataclasses
import hashlib
import json
from typing import Any

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.relay import apierrors
from rhubarblock.relay import callers

BYTES_PER_TOKEN = 4
# Tokens of a block, the unit in which prompts share a prefix.
BLOCK_TOKENS = 512
# Most blocks of a prompt that are digested. Only the beginning of a prompt can
# be shared with other prompts.
MAX_PREFIX_BLOCKS = 32
DEFAULT_MAX_TOKENS = 16
MAX_TIMEOUT_S = 3_600.0

# Fields of the published API that are evaluated here.
SUPPORTED_FIELDS = frozenset(
    {"model", "prompt", "max_tokens", "stream", "stream_options"}
)
# Fields of the published API that are accepted and have no effect here. Only
# those in _SINGLE_CHOICE_FIELDS are checked: they must ask for one choice.
IGNORED_FIELDS = frozenset(
    {
        "best_of",
        "echo",
        "frequency_penalty",
        "logit_bias",
        "logprobs",
        "n",
        "presence_penalty",
        "seed",
        "stop",
        "suffix",
        "temperature",
        "top_p",
        "user",
    }
)
_SINGLE_CHOICE_FIELDS = ("n", "best_of")


@dataclasses.dataclass(slots=True, frozen=True)
class PromptCall:
    """A completions call as parsed from its body.

    Attributes:
      model: model name.
      prompt: the prompt as text.
      prompt_tokens: length of the prompt in tokens.
      max_tokens: most tokens to generate.
      stream: whether the answer is streamed.
      include_usage: whether the stream ends with a usage event.
    """

    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    include_usage: bool


def parse_call(body: bytes) -> PromptCall:
    """Parses the body of a completions call.

    Raises:
      failures.FailureError: BAD_REQUEST, with a message that names the field.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _reject(f"the body is not JSON: {error}") from None
    if not isinstance(fields, dict):
        raise _reject("the body is not a JSON object")
    unknown = sorted(set(fields) - SUPPORTED_FIELDS - IGNORED_FIELDS)
    if unknown:
        raise _reject(f"unknown field {unknown[0]!r}")
    for name in _SINGLE_CHOICE_FIELDS:
        if fields.get(name) not in (None, 1):
            raise _reject(f"{name!r} must be 1")
    prompt, tokens = _read_prompt(fields.get("prompt"))
    return PromptCall(
        model=_read_text(fields, "model"),
        prompt=prompt,
        prompt_tokens=tokens,
        max_tokens=_read_max_tokens(fields),
        stream=_read_flag(fields, "stream"),
        include_usage=_read_include_usage(fields),
    )


def make_request(
    call: PromptCall,
    request_id: str,
    credential: catalogues.Credential,
    catalogue: catalogues.Catalogue,
    arrived_s: float,
    timeout_s: float,
) -> requests.PromptRequest:
    """Validates a call against the catalogue and returns the request.

    Args:
      call: the parsed call.
      request_id: id of the request.
      credential: credential of the caller.
      catalogue: catalogue in force.
      arrived_s: current monotonic time.
      timeout_s: seconds until the deadline.

    Raises:
      failures.FailureError: UNKNOWN_WORKSPACE, UNKNOWN_MODEL or
        PROMPT_TOO_LONG; NOT_RUN.
    """
    workspace = callers.find_workspace(credential, catalogue)
    model = catalogue.models.get(call.model)
    if model is None or (
        workspace.models and call.model not in workspace.models
    ):
        raise apierrors.make_rejection(
            failures.FailureCode.UNKNOWN_MODEL,
            f"model {call.model!r} is not known to this workspace",
        )
    if call.prompt_tokens + call.max_tokens > model.context_tokens:
        raise apierrors.make_rejection(
            failures.FailureCode.PROMPT_TOO_LONG,
            f"prompt and output are over {model.context_tokens} tokens",
        )
    return requests.PromptRequest(
        request_id=request_id,
        institution=workspace.institution,
        workspace=workspace.name,
        model=call.model,
        request_class=workspace.request_class,
        prompt_tokens=call.prompt_tokens,
        max_tokens=call.max_tokens,
        deadline_s=arrived_s + timeout_s,
        digest=digest_prompt(call),
        prefix_blocks=digest_blocks(call.prompt),
        prompt=call.prompt,
        stream=call.stream,
        arrived_s=arrived_s,
    )


def read_timeout(header: str | None, default_s: float) -> float:
    """Returns the timeout of a request in seconds.

    Args:
      header: value of the timeout header, or None if there is none.
      default_s: timeout without a header, in seconds.

    Raises:
      failures.FailureError: BAD_REQUEST if it is not a number in the allowed
        range.
    """
    if header is None:
        return default_s
    try:
        seconds = float(header)
    except ValueError:
        raise _reject(f"X-Timeout-S is not a number: {header!r}") from None
    if not 0 < seconds <= MAX_TIMEOUT_S:
        raise _reject(f"X-Timeout-S must be over 0, at most 3600: {header!r}")
    return seconds


def digest_prompt(call: PromptCall) -> str:
    """Returns the digest of everything that an answer depends on."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.model}\n{call.max_tokens}\n".encode())
    digest.update(call.prompt.encode())
    return digest.hexdigest()


def digest_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the chained digests of a prompt's first complete blocks.

    Each digest covers all blocks up to its own, so that equal digests mean
    equal prefixes.
    """
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    data = prompt[: MAX_PREFIX_BLOCKS * size].encode()[
        : MAX_PREFIX_BLOCKS * size
    ]
    digest = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(data) - size + 1, size):
        digest.update(data[start : start + size])
        blocks.append(digest.hexdigest())
    return tuple(blocks)


def _read_prompt(value: Any) -> tuple[str, int]:
    """Returns the prompt as text and its length in tokens."""
    if _is_single_item_list(value):
        value = value[0]
    if isinstance(value, str) and value:
        return value, -(-_count_bytes(value) // BYTES_PER_TOKEN)
    if isinstance(value, list) and value and all(map(_is_token, value)):
        return " ".join(map(str, value)), len(value)
    raise _reject("'prompt' must be one text or one list of token ids")


def _is_single_item_list(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 1
        and isinstance(value[0], str | list)
    )


def _is_token(value: Any) -> bool:
    # bool is a subclass of int in Python, but JSON has distinct booleans.
    return isinstance(value, int) and not isinstance(value, bool)


def _count_bytes(text: str) -> int:
    try:
        return len(text.encode())
    except UnicodeEncodeError:
        raise _reject("'prompt' holds half of a surrogate pair") from None


def _read_text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _reject(f"{name!r} must be a text")
    return value


def _read_flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise _reject(f"{name!r} must be true or false")
    return bool(value)


def _read_max_tokens(fields: dict[str, Any]) -> int:
    value = fields.get("max_tokens")
    if value is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise _reject("'max_tokens' must be a whole number from 1")
    return value


def _read_include_usage(fields: dict[str, Any]) -> bool:
    options = fields.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        raise _reject("'stream_options' must be an object")
    return _read_flag(options, "include_usage")


def _reject(message: str) -> failures.FailureError:
    return apierrors.make_rejection(failures.FailureCode.BAD_REQUEST, message)
