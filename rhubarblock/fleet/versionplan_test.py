from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import versionplan


def report(*models):
    return endpoints.LoadReport(
        "e", 0.0, 1, "s", endpoints.Role.BOTH, models, 0, 0, 0, 0, 1, 0
    )


def make_plan(wanted, stable=None, halted=None, loaded=()):
    record = poolrecord.PoolRecord(stable or {}, halted or {})
    return versionplan.make_plan(
        wanted, record, [report(*models) for models in loaded]
    )


def test_engine_stays_with_the_stable_version_until_it_may_change():
    plan = make_plan({"m": "2"}, {"m": "1"})
    assert plan.choose_models(["m@1"], []) == ("m@1",)
    assert plan.choose_models(["m@1"], ["m"]) == ("m@2",)


def test_changed_engine_keeps_the_new_version():
    plan = make_plan({"m": "2"}, {"m": "1"})
    assert plan.choose_models(["m@2"], []) == ("m@2",)


def test_restarted_engine_gets_the_stable_version():
    plan = make_plan({"m": "2"}, {"m": "1"})
    assert plan.choose_models([], []) == ("m@1",)


def test_halted_version_is_replaced_by_the_stable_one():
    plan = make_plan({"m": "2"}, {"m": "1"}, {"m": "2"})
    assert plan.choose_models(["m@2"], ["m"]) == ("m@1",)
    assert not plan.is_changing("m")


def test_halted_version_without_a_stable_one_is_not_loaded():
    plan = make_plan({"m": "2"}, {}, {"m": "2"})
    assert plan.targets == {}
    assert plan.choose_models([], ["m"]) == ()


def test_stable_version_defaults_to_the_most_common_one():
    loaded = [("m@1",), ("m@1",), ("m@2",)]
    assert make_plan({"m": "2"}, loaded=loaded).stable == {"m": "1"}


def test_model_without_any_engine_waits_for_the_first_rollout():
    plan = make_plan({"m": "1", "n": "1"}, {"m": "1"}, loaded=[("m@1",)])
    assert plan.choose_models(["m@1"], []) == ("m@1",)
    assert plan.choose_models(["m@1"], ["n"]) == ("m@1", "n@1")


def test_model_removed_from_the_catalogue_is_unloaded():
    plan = make_plan({"m": "1"}, {"m": "1"})
    assert plan.choose_models(["m@1", "n@1"], []) == ("m@1",)


def test_rolled_out_means_every_engine_runs_only_the_target():
    plan = make_plan({"m": "2"}, {"m": "1"})
    both = report("m@1", "m@2")
    assert versionplan.is_rolled_out(plan, "m", [report("m@2"), report("m@2")])
    assert not versionplan.is_rolled_out(plan, "m", [report("m@2"), both])
    assert not versionplan.is_rolled_out(plan, "m", [])
