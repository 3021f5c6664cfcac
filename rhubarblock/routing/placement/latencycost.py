"""What late answers cost their callers, in units of one short prompt.

All placement decisions use this unit: the value of an answer that is on time,
relative to a short prompt, and the share of that value which a delay or a pause
destroys.
"""

# Prompt tokens that add the value of one short prompt.
TOKENS_OF_VALUE = 12_000.0
# Share of its objective up to which a prediction counts as safely on time.
SAFE_SHARE = 0.75
# Share of an answer's value that is lost when it is late: callers of known
# deployments value a late answer at a quarter.
LATE_COST = 0.75
# Cost of waiting for an answer that is on time, for each objective of delay.
WAIT_COST = 0.1
# Cost of the delay of a late answer, for each objective of delay.
OVERDUE_COST = 0.01
# A caller gives up after the longest of these: seconds, objectives and pauses,
# as documented by the platform. PATIENCE_PART leaves a margin for prediction
# errors.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
PATIENCE_PART = 0.85
# Shares of the allowed pause between which the cost of a predicted pause rises;
# the margin is for what other instances place at the same moment.
MIN_PAUSE_SHARE = 0.7
MAX_PAUSE_SHARE = 1.0


def compute_value(prompt_tokens: int) -> float:
    """Returns the value of an answer that is on time, in short prompts."""
    return 1.0 + prompt_tokens / TOKENS_OF_VALUE


def find_patience(objective_s: float, pause_s: float) -> float:
    """Returns for how long a caller waits for the first event, in seconds.

    Args:
      objective_s: seconds that count as on time.
      pause_s: longest pause that counts as on time; 0 for no limit.
    """
    patience_s = max(
        PATIENCE_S,
        PATIENCE_OBJECTIVES * objective_s,
        PATIENCE_PAUSES * pause_s,
    )
    return PATIENCE_PART * patience_s


def compute_delay_loss(
    first_s: float, objective_s: float, pause_s: float
) -> float:
    """Returns the share of its value that an answer loses by its delay.

    Args:
      first_s: predicted seconds from its arrival to its first event.
      objective_s: seconds that count as on time.
      pause_s: longest pause that counts as on time; 0 for no limit.
    """
    share = first_s / objective_s
    if share < SAFE_SHARE:
        return WAIT_COST * share
    cost = WAIT_COST * SAFE_SHARE + OVERDUE_COST * share
    cost += LATE_COST * min(1.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE))
    if first_s > find_patience(objective_s, pause_s):
        cost += 1.0 - LATE_COST
    return cost


def compute_pause_loss(predicted_s: float, pause_s: float) -> float:
    """Returns the share of its value that an answer loses by a pause.

    Args:
      predicted_s: longest pause that is predicted.
      pause_s: longest pause that counts as on time; 0 for no limit.
    """
    if not pause_s:
        return 0.0
    share = (predicted_s / pause_s - MIN_PAUSE_SHARE) / (
        MAX_PAUSE_SHARE - MIN_PAUSE_SHARE
    )
    return LATE_COST * max(0.0, min(1.0, share))
