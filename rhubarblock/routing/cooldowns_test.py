from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing import cooldowns


def make(length_s=3.0):
    made = cooldowns.Cooldowns(metric_store.Metrics())
    made.note("e1", length_s, 10.0)
    return made


def test_endpoint_rests_for_the_time_that_it_named():
    resting = make()
    assert resting.is_cooling_down("e1", 10.0)
    assert resting.is_cooling_down("e1", 12.99)
    assert not resting.is_cooling_down("e1", 13.0)
    assert not resting.is_cooling_down("e2", 10.0)
    assert resting.find_remaining("e1", 11.0) == 2.0


def test_rest_of_no_length_is_none():
    assert not make(0.0).is_cooling_down("e1", 10.0)


def test_shorter_rest_does_not_end_a_longer_one():
    resting = make()
    resting.note("e1", 1.0, 10.5)
    assert resting.find_remaining("e1", 10.5) == 2.5
    resting.note("e1", 9.0, 11.0)
    assert resting.find_remaining("e1", 11.0) == 9.0


def test_one_request_tries_an_endpoint_after_its_rest():
    resting = make()
    assert not resting.is_probed("e1", 13.0)
    resting.note_chosen("e1", 13.0)
    assert resting.is_probed("e1", 13.5)
    # Its answer never came.
    assert not resting.is_probed("e1", 13.0 + cooldowns.TRIAL_S)


def test_others_follow_once_it_took_one():
    resting = make()
    resting.note_chosen("e1", 13.0)
    resting.note_accepted("e1")
    assert not resting.is_probed("e1", 13.1)
    assert not resting


def test_answer_to_an_older_request_does_not_end_a_rest():
    resting = make()
    resting.note_accepted("e1")
    assert resting.is_cooling_down("e1", 11.0)


def test_trial_that_is_turned_away_begins_another_rest():
    resting = make()
    resting.note_chosen("e1", 13.0)
    resting.note("e1", 3.0, 13.1)
    resting.note_accepted("e1")
    assert resting.is_cooling_down("e1", 16.0)
    assert not resting.is_probed("e1", 13.2)


def test_new_start_does_not_rest():
    resting = make()
    resting.forget("e1")
    assert not resting.is_cooling_down("e1", 10.0)


def test_rest_lasts_however_long_and_is_kept_a_while_after_its_end():
    resting = make(1e9)
    resting.expire(1e6)
    assert resting.is_cooling_down("e1", 1e6)
    resting = make()
    resting.expire(13.0 + cooldowns.KEPT_S)
    assert resting
    resting.expire(13.1 + cooldowns.KEPT_S)
    assert not resting
