"""The limit falls while the loop is behind and goes once it is not needed."""

from rhubarblock.routing.admission import progresslimit

STEP_S = 0.1


def play(capacity, arriving, length_s=20.0):
    """Plays a loop whose lag grows with the requests beyond its capacity.

    Returns the limit and the requests in progress after each step.
    """
    limit = progresslimit.ProgressLimit()
    in_progress = 0.0
    seen = []
    for step in range(int(length_s / STEP_S)):
        now_s = step * STEP_S
        # Requests take a second, more if there are more than the capacity.
        served = min(in_progress, capacity) * STEP_S
        lag_s = max(0.0, 0.3 * (in_progress / capacity - 0.9))
        limit.note_lag(lag_s, round(in_progress), now_s)
        in_progress -= served
        for _ in range(round(arriving(now_s) * STEP_S)):
            if limit.has_room(round(in_progress)):
                in_progress += 1.0
        seen.append((limit.limit, in_progress))
    return seen


def test_no_limit_while_the_loop_keeps_up():
    assert all(limit is None for limit, _ in play(100.0, lambda now_s: 60.0))


def test_limit_settles_near_what_the_processor_can_do():
    settled = play(100.0, lambda now_s: 200.0)[30:]
    assert all(40.0 <= used <= 150.0 for _, used in settled)
    mean = sum(used for _, used in settled) / len(settled)
    assert mean >= 75.0


def test_limit_ends_after_the_overload():
    seen = play(100.0, lambda now_s: 200.0 if now_s < 8.0 else 20.0)
    assert seen[79][0] is not None
    assert seen[-1][0] is None


def test_some_requests_always_begin():
    limit = progresslimit.ProgressLimit()
    for step in range(100):
        limit.note_lag(5.0, 0, step * STEP_S)
    assert limit.has_room(0)
