"""Duration and prefill budget of one iteration of the stand-in engine."""

from rhubarblock.core import endpoint as endpoints
from rhubarblock.standins.engine import settings as enginesettings


def compute_iteration_s(
    settings: enginesettings.EngineSettings, decodes: int, prefill_tokens: int
) -> float:
    """Returns the duration of one iteration in seconds.

    Args:
      settings: the engine's rates.
      decodes: requests that generate a token in the iteration, including
        those of other engines that read a segment held here.
      prefill_tokens: prompt tokens computed in the iteration.
    """
    return (
        settings.iteration_s
        + settings.decode_s * decodes
        + prefill_tokens / settings.prefill_tokens_per_s
    )


def choose_chunk_tokens(
    settings: enginesettings.EngineSettings,
    role: endpoints.Role,
    decodes: int,
) -> int:
    """Returns the maximum number of prompt tokens of one iteration.

    Args:
      settings: the engine's limits.
      role: current role of the engine.
      decodes: requests that generate a token in the iteration.
    """
    if role is endpoints.Role.PREFILL or decodes == 0:
        return settings.prefill_chunk_tokens
    return settings.mixed_chunk_tokens
