"""What it costs a caller that an answer is late, in short prompts.

All decisions about where prompts are read weigh in this one unit: what a
prompt in time is worth to its caller beside a short one, and which share of
that a delay or a pause takes.
"""

# Tokens of a prompt that count as much as one short prompt.
TOKENS_OF_VALUE = 12_000.0
# Share of its objective up to which a prediction counts as safely on time.
SAFE_SHARE = 0.75
# Part of an answer's worth that is lost when it is late: callers of the
# deployments known today value a late answer at a quarter.
LATE_COST = 0.75
# What waiting costs although the answer is in time, for each objective.
WAIT_COST = 0.1
# What waiting costs beyond the objective, for each further one.
LATER_COST = 0.01
# Seconds, objectives and pauses after which a caller gives up, whichever is
# longest, as the platform's pages say; the part leaves some for errors of the
# prediction.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
PATIENCE_PART = 0.85
# Shares of an allowed pause between which a predicted one gets too long: the
# rest is for what other instances place at the same moment.
CALM_PAUSE = 0.7
FULL_PAUSE = 1.0


def weigh_prompt(prompt_tokens: int) -> float:
    """Returns what an answer in time is worth, in short prompts."""
    return 1.0 + prompt_tokens / TOKENS_OF_VALUE


def weigh_delay(first_s: float, objective_s: float, pause_s: float) -> float:
    """Returns the share of its worth that an answer loses by its delay.

    Args:
      first_s: seconds from its arrival to its first event, as predicted.
      objective_s: seconds that are in time.
      pause_s: longest pause that is in time; 0 where any is.
    """
    share = first_s / objective_s
    if share < SAFE_SHARE:
        return WAIT_COST * share
    cost = WAIT_COST * SAFE_SHARE + LATER_COST * share
    cost += LATE_COST * min(1.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE))
    patience_s = max(
        PATIENCE_S,
        PATIENCE_OBJECTIVES * objective_s,
        PATIENCE_PAUSES * pause_s,
    )
    if first_s > PATIENCE_PART * patience_s:
        cost += 1.0 - LATE_COST
    return cost


def weigh_pause(predicted_s: float, pause_s: float) -> float:
    """Returns the share of its worth that an answer loses by a pause.

    Args:
      predicted_s: longest pause that is expected.
      pause_s: longest pause that is in time; 0 where any is.
    """
    if not pause_s:
        return 0.0
    share = (predicted_s / pause_s - CALM_PAUSE) / (FULL_PAUSE - CALM_PAUSE)
    return LATE_COST * max(0.0, min(1.0, share))
