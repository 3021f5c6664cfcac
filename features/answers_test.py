"""Steps for the completeness of answers."""

from pytest_bdd import scenarios
from pytest_bdd import then

scenarios("answers.feature")


@then("the engines have prefilled each of its tokens")
def check_prompt_tokens(world):
    completion = world.callers["Tamale"].outcome.unwrap()
    assert completion.prompt_tokens == 500_000
    computed = sum(x.counters.prefill_tokens for x in world.fleet.engines)
    assert computed >= 500_000
