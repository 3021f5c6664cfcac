from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing import cooldowns


def make(length_s=3.0):
    made = cooldowns.Cooldowns(metric_store.Metrics())
    made.note("e1", length_s, 10.0)
    return made


def test_cooldown_lasts_for_the_time_that_the_endpoint_named():
    cooldowns_ = make()
    assert cooldowns_.is_cooling_down("e1", 10.0)
    assert cooldowns_.is_cooling_down("e1", 12.99)
    assert not cooldowns_.is_cooling_down("e1", 13.0)
    assert not cooldowns_.is_cooling_down("e2", 10.0)
    assert cooldowns_.find_remaining("e1", 11.0) == 2.0


def test_cooldown_of_length_zero_has_no_effect():
    assert not make(0.0).is_cooling_down("e1", 10.0)


def test_shorter_cooldown_does_not_end_a_longer_one():
    cooldowns_ = make()
    cooldowns_.note("e1", 1.0, 10.5)
    assert cooldowns_.find_remaining("e1", 10.5) == 2.5
    cooldowns_.note("e1", 9.0, 11.0)
    assert cooldowns_.find_remaining("e1", 11.0) == 9.0


def test_one_request_probes_an_endpoint_after_its_cooldown():
    cooldowns_ = make()
    assert not cooldowns_.is_probed("e1", 13.0)
    cooldowns_.note_chosen("e1", 13.0)
    assert cooldowns_.is_probed("e1", 13.5)
    # The probe was never answered.
    assert not cooldowns_.is_probed("e1", 13.0 + cooldowns.PROBE_S)


def test_other_requests_follow_once_the_probe_is_accepted():
    cooldowns_ = make()
    cooldowns_.note_chosen("e1", 13.0)
    cooldowns_.note_accepted("e1")
    assert not cooldowns_.is_probed("e1", 13.1)
    assert not cooldowns_


def test_answer_to_an_older_request_does_not_end_a_cooldown():
    cooldowns_ = make()
    cooldowns_.note_accepted("e1")
    assert cooldowns_.is_cooling_down("e1", 11.0)


def test_refused_probe_starts_another_cooldown():
    cooldowns_ = make()
    cooldowns_.note_chosen("e1", 13.0)
    cooldowns_.note("e1", 3.0, 13.1)
    cooldowns_.note_accepted("e1")
    assert cooldowns_.is_cooling_down("e1", 16.0)
    assert not cooldowns_.is_probed("e1", 13.2)


def test_restarted_endpoint_has_no_cooldown():
    cooldowns_ = make()
    cooldowns_.forget("e1")
    assert not cooldowns_.is_cooling_down("e1", 10.0)


def test_cooldown_of_any_length_lasts_and_is_remembered_after_its_end():
    cooldowns_ = make(1e9)
    cooldowns_.expire(1e6)
    assert cooldowns_.is_cooling_down("e1", 1e6)
    cooldowns_ = make()
    cooldowns_.expire(13.0 + cooldowns.RETENTION_S)
    assert cooldowns_
    cooldowns_.expire(13.1 + cooldowns.RETENTION_S)
    assert not cooldowns_
