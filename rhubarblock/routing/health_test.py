from rhubarblock.routing import health as healths


def is_suspect(health, name, now_s, data_centre="osu"):
    return health.is_suspect(name, data_centre, now_s)


def test_backoff_doubles_with_each_failure():
    health = healths.Health("osu")
    assert health.note_unreachable("a", "osu", 0.0)
    assert is_suspect(health, "a", 0.69)
    assert not is_suspect(health, "a", 0.7)
    assert health.note_unreachable("a", "osu", 1.0)
    assert is_suspect(health, "a", 2.39)
    assert not is_suspect(health, "a", 2.4)


def test_failures_of_concurrent_requests_count_once():
    health = healths.Health("osu")
    health.note_unreachable("a", "osu", 0.0)
    assert not health.note_unreachable("a", "osu", 0.5)
    assert not is_suspect(health, "a", 0.7)


def test_one_request_probes_an_endpoint_before_others_follow():
    health = healths.Health("osu")
    health.note_unreachable("a", "osu", 0.0)
    assert health.is_tripped("a")
    health.note_chosen("a", 0.8)
    assert is_suspect(health, "a", 0.9)
    health.note_success("a", "osu")
    assert not health.is_tripped("a")
    assert not is_suspect(health, "a", 1.9)


def test_endpoint_that_fails_most_requests_is_avoided():
    health = healths.Health("osu")
    for _ in range(3):
        health.note_error("a")
    assert not is_suspect(health, "a", 0.0)
    health.note_error("a")
    assert is_suspect(health, "a", 0.0)
    for _ in range(2):
        health.note_success("a", "osu")
    assert not is_suspect(health, "a", 0.0)


def test_data_centre_with_two_unreachable_endpoints_is_avoided():
    health = healths.Health("osu")
    health.note_unreachable("a", "tema", 0.0)
    assert not is_suspect(health, "c", 0.1, "tema")
    health.note_unreachable("b", "tema", 1.0)
    assert is_suspect(health, "c", 1.1, "tema")
    assert not is_suspect(health, "c", 1.1, "achimota")
    health.note_success("c", "tema")
    assert not is_suspect(health, "c", 1.2, "tema")


def test_failures_outside_the_window_do_not_count_as_a_partition():
    health = healths.Health("osu")
    health.note_unreachable("a", "tema", 0.0)
    health.note_unreachable("b", "tema", 2.5)
    assert not is_suspect(health, "c", 2.6, "tema")


def test_own_data_centre_is_never_avoided_as_a_whole():
    health = healths.Health("osu")
    health.note_unreachable("a", "osu", 0.0)
    health.note_unreachable("b", "osu", 0.1)
    assert not is_suspect(health, "c", 0.2, "osu")
