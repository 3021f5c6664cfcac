"""Predicts request latency on an idle fleet from the engine's cost model.

Every stretch and slowdown is relative to these times. A test compares them
with the real code on an idle stand-in fleet.
"""

import math

from rhubarblock.standins.engine import settings as enginesettings

SETTINGS = enginesettings.EngineSettings()


def predict_first_token(prompt_tokens: int) -> float:
    """Returns the seconds to the first token, without a cached prefix."""
    iterations = math.ceil(prompt_tokens / SETTINGS.prefill_chunk_tokens)
    compute_s = prompt_tokens / SETTINGS.prefill_tokens_per_s
    return iterations * SETTINGS.iteration_s + compute_s


def predict_total(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the seconds to the last token."""
    gap_s = SETTINGS.iteration_s + SETTINGS.decode_s
    return predict_first_token(prompt_tokens) + (output_tokens - 1) * gap_s


def predict_capacity() -> float:
    """Returns the prefill capacity of one engine in prompt tokens a second.

    This is the rate at which an engine with both roles computes prompts while
    it also decodes: 512 tokens in an iteration of 8 ms plus 512/40,000 s.
    Scenarios give load as a share of it, whatever roles a policy assigns.
    """
    chunk = SETTINGS.mixed_chunk_tokens
    iteration_s = SETTINGS.iteration_s + chunk / SETTINGS.prefill_tokens_per_s
    return chunk / iteration_s
