"""Decides for whom the remainder of a low retry budget is kept."""

import enum

# A budget is low once only this part of it is left.
LOW_FRACTION = 0.25
# Part of a budget below which it is kept for exchanges that can still meet
# their objective.
OBJECTIVE_FRACTION = 0.125


class Outlook(enum.Enum):
    """What an exchange can still meet if it is retried now."""

    OBJECTIVE = "objective"
    DEADLINE = "deadline"
    NOTHING = "nothing"


def compute_reserve(
    allowed: float, outlook: Outlook, is_flooding: bool
) -> float:
    """Returns the retries that must be left after a retry.

    Args:
      allowed: retries that the budget allows in a window.
      outlook: what the exchange can still meet.
      is_flooding: whether its workspace repeats its own requests more than its
        fair share.
    """
    if is_flooding or outlook is Outlook.NOTHING:
        return LOW_FRACTION * allowed
    if outlook is Outlook.DEADLINE:
        return OBJECTIVE_FRACTION * allowed
    return 0.0
