import pytest
from returns import result

from rhubarblock.platform import settings

TEXT = """
nodeName = "edge-osu-hall-1"
ip = "10.1.0.40"
zone = "osu-hall"
internalPortRange = [7340,7355]
unheardOf = true
[listen]
front = "10.1.0.40:8227"
readyAddr = "10.1.0.40:8220"
[limits]
maxFds = 4100
[bounds]
drainMs = 2000
graceS = 8
revokeMs = 5000
retryBudgetRatio = 0.2
retryBudgetSlack = 102
budgetWindowS = 10
maxHoldMs = 20000
idleMaxMs = 9000
[platformSettings]
address = "10.200.1.7:8223"
"""


def load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return settings.load_settings(path)


def test_settings_are_decoded(tmp_path):
    loaded = load(tmp_path, TEXT).unwrap()
    assert loaded.instance_id == "edge-osu-hall-1"
    assert str(loaded.callers) == "10.1.0.40:8227"
    assert str(loaded.peers) == "10.1.0.40:7340"
    assert str(loaded.store) == "10.200.1.7:8223"
    assert loaded.bounds.revoke_s == 5.0
    assert loaded.bounds.lease_max_s == 20.0


def test_all_errors_are_reported_at_once(tmp_path):
    text = (
        TEXT.replace("graceS = 8", "graceS = 0")
        .replace('zone = "osu-hall"', "zone = 4")
        .replace('front = "10.1.0.40:8227"', 'front = "nowhere"')
        .replace('[platformSettings]\naddress = "10.200.1.7:8223"\n', "")
        .replace("[7340,7355]", "[7340]")
    )
    failed = load(tmp_path, text)
    assert isinstance(failed, result.Failure)
    assert [str(error) for error in failed.failure()] == [
        "internalPortRange: the first and the last port are expected, "
        "not [7340]",
        "zone: a text is expected, not 4",
        "listen.front: an IP number and a port are expected, not 'nowhere'",
        "platformSettings.address: is missing",
        "bounds.graceS: a number over 0 is expected, not 0",
    ]


def test_zones_give_the_region_of_each_data_centre(tmp_path):
    assert load(tmp_path, TEXT).unwrap().regions == {}
    zones = '[zones]\nosu-hall = "accra"\ntema-hall = "accra"\n'
    loaded = load(tmp_path, TEXT + zones).unwrap()
    assert loaded.regions == {"osu-hall": "accra", "tema-hall": "accra"}


@pytest.mark.parametrize("zones", ['"accra"', "{a = 4}", '{a = ""}', "[]"])
def test_invalid_zones_are_an_error(tmp_path, zones):
    # Passing them over would let a request leave its home regions, or find no
    # endpoint without a visible reason.
    failed = load(tmp_path, f"zones = {zones}\n" + TEXT)
    assert isinstance(failed, result.Failure)
    (error,) = failed.failure()
    assert error.field == "zones"
    assert "a table of data centres and regions" in error.message


def test_memory_is_unknown_unless_the_settings_give_it(tmp_path):
    assert load(tmp_path, TEXT).unwrap().capacity.memory_mb == 0.0
    text = TEXT.replace("maxFds = 4100", "memoryMb = 200")
    assert load(tmp_path, text).unwrap().capacity.memory_mb == 200.0
    failed = load(tmp_path, text.replace("200\n[bounds]", "-1\n[bounds]"))
    assert failed.failure()[0].field == "limits.memoryMb"


def test_missing_bounds_have_defaults(tmp_path):
    text = TEXT.replace("revokeMs = 5000\n", "").replace("maxHoldMs", "other")
    bounds = load(tmp_path, text).unwrap().bounds
    assert bounds.revoke_s == 5.0
    assert bounds.lease_max_s == 20.0


def test_file_that_is_missing_or_broken_is_an_error(tmp_path):
    missing = settings.load_settings(tmp_path / "none.toml")
    assert isinstance(missing, result.Failure)
    assert isinstance(load(tmp_path, "a = "), result.Failure)


def test_evacuations_need_their_bound(tmp_path):
    assert load(tmp_path, TEXT).unwrap().bounds.evacuate_s is None
    text = TEXT.replace("drainMs", "evacuateMs = 5000\ndrainMs")
    assert load(tmp_path, text).unwrap().bounds.evacuate_s == 5.0
    failed = load(tmp_path, text.replace("5000\ndrain", "0\ndrain"))
    assert [str(error) for error in failed.failure()] == [
        "bounds.evacuateMs: a number over 0 is expected, not 0"
    ]


def test_cold_bounds_are_off_unless_they_are_set(tmp_path):
    bounds = load(tmp_path, TEXT).unwrap().bounds
    assert (bounds.cold_excess, bounds.cold_slack) == (None, None)
    changed = TEXT.replace(
        "[bounds]", "[bounds]\ncoldExcess = 1.5\ncoldSlack = 0"
    )
    bounds = load(tmp_path, changed).unwrap().bounds
    assert (bounds.cold_excess, bounds.cold_slack) == (1.5, 0.0)


def test_invalid_cold_bounds_are_errors(tmp_path):
    changed = TEXT.replace(
        "[bounds]", "[bounds]\ncoldExcess = 0\ncoldSlack = -1"
    )
    errors = load(tmp_path, changed).failure()
    assert [str(error) for error in errors] == [
        "bounds.coldExcess: a number over 0 is expected, not 0",
        "bounds.coldSlack: a number over 0 is expected, not -1",
    ]
