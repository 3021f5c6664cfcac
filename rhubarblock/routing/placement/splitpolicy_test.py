"""Tests of where a prompt is placed under different load patterns."""

import dataclasses

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import splitpolicy

MODEL = fakes.MODEL


def make_engines(count):
    return [
        listed.ListedEndpoint(
            f"e{n:02d}", f"10.0.0.{n}:1", "osu", "pool", 8, False
        )
        for n in range(count)
    ]


def make_prompt(tokens, pause_s=0.2, objective_s=0.3, is_mid_stream=False):
    return prompts.Prompt(
        "new", tokens, 1_600, pause_s, objective_s, is_mid_stream
    )


DRAFT = make_prompt(5_000)
CASE_FILE = make_prompt(210_000, 0.8, 3.0)


def make_tracker(**counts):
    """Returns a tracker of engines that decode ``counts`` short prompts."""
    tracker = jobtracker.JobTracker()
    for name, count in counts.items():
        for number in range(count):
            part = jobtracker.Part(name, 0.0, 5_000)
            tracker.add(jobtracker.Job(f"{name}{number}", (part,), 0.2), 0.0)
    return tracker


def choose(tracker, prompt, engines, now_s=0.0):
    return splitpolicy.SplitPromptPolicy(tracker, "osu").choose(
        prompt, engines, MODEL, now_s
    )


def names(choice):
    return [engine.endpoint_id for engine in choice.engines]


def test_short_prompts_are_packed_onto_busy_engines():
    tracker = make_tracker(e03=2)
    assert names(choose(tracker, DRAFT, make_engines(8))) == ["e03"]


def make_remote(engines, *numbers):
    return [
        dataclasses.replace(engine, data_centre="tema")
        if n in numbers
        else engine
        for n, engine in enumerate(engines)
    ]


def test_short_prompt_stays_in_its_data_centre():
    engines = make_remote(make_engines(4), 0, 1)
    tracker = make_tracker(e00=3, e03=1)
    assert names(choose(tracker, DRAFT, engines)) == ["e03"]


def test_short_prompt_goes_to_a_remote_engine_when_local_ones_are_full():
    engines = make_remote(make_engines(3), 0)
    tracker = make_tracker(e00=3, e01=8, e02=8)
    assert names(choose(tracker, DRAFT, engines)) == ["e00"]


def test_next_engine_is_used_when_one_is_full():
    tracker = make_tracker(e03=8)
    assert names(choose(tracker, DRAFT, make_engines(5)[3:])) == ["e04"]


def test_last_slot_is_used_only_without_an_alternative():
    tracker = make_tracker(e03=7)
    assert names(choose(tracker, DRAFT, make_engines(5)[3:])) == ["e04"]
    tracker = make_tracker(e03=7, e04=8)
    assert names(choose(tracker, DRAFT, make_engines(5)[3:])) == ["e03"]


def test_concurrent_prompts_spread_over_engines_with_few_free_slots():
    tracker = make_tracker(e00=5, e01=6, e02=5, e03=4)
    prompts_ = [dataclasses.replace(DRAFT, job_id=f"j{n}") for n in range(40)]
    chosen = {names(choose(tracker, p, make_engines(5)))[0] for p in prompts_}
    assert chosen == {"e00", "e01", "e02"}


def test_short_prompt_does_not_wait_for_a_long_prefill():
    tracker = make_tracker(e03=2)
    long = jobtracker.Job("long", (jobtracker.Part("e03", 1.0),), 0.8)
    tracker.add(long, 0.0)
    choice = choose(tracker, DRAFT, make_engines(5)[3:])
    assert names(choice) == ["e04"]
    assert choice.expected_s < 0.15


def test_long_prompt_is_prefilled_by_engines_that_decode_nothing():
    tracker = make_tracker(e00=6, e01=6, e02=6)
    choice = choose(tracker, CASE_FILE, make_engines(14))
    assert not {"e00", "e01", "e02"} & set(names(choice))
    assert len(choice.engines) > 1
    assert choice.expected_s < 0.75 * 3.0


def test_long_prompt_takes_few_engines_when_all_decode():
    counts = {f"e{n:02d}": 3 for n in range(23)}
    choice = choose(make_tracker(**counts), CASE_FILE, make_engines(23))
    assert len(choice.engines) <= 3
    assert choice.expected_s < 0.75 * 3.0


def test_parts_that_fit_into_a_pause_use_many_engines():
    middle = make_prompt(110_000, 0.5, 1.5)
    counts = {f"e{n:02d}": 3 for n in range(23)}
    choice = choose(make_tracker(**counts), middle, make_engines(23))
    longest_pass_s = choice.job.parts[0].prefill_s + 0.06
    assert len(choice.engines) >= 8
    assert longest_pass_s < 0.2


def test_prompt_larger_than_an_engine_is_held_by_several():
    huge = make_prompt(800_000, 0.8, 3.0)
    choice = choose(make_tracker(), huge, make_engines(14))
    held = [part.tokens for part in choice.job.parts]
    assert sum(held) == 801_600
    assert max(held) <= partplan.LEASE_PART * MODEL.kv_capacity_tokens
    assert held[0] > 0


def test_prompt_with_a_short_prefill_is_split_if_no_engine_can_hold_it():
    fast = dataclasses.replace(
        MODEL, prefill_tokens_per_ms=10_000.0, pair_ms=0.0
    )
    huge = make_prompt(700_000, 0.8, 3.0)
    choice = splitpolicy.SplitPromptPolicy(make_tracker(), "osu").choose(
        huge, make_engines(6), fast, 0.0
    )
    held = [part.tokens for part in choice.job.parts]
    assert sum(held) == 701_600
    assert sum(1 for tokens in held if tokens) == 4


def test_prompt_larger_than_all_engines_is_not_placed():
    huge = make_prompt(1_000_000, 0.8, 3.0)
    assert choose(make_tracker(), huge, make_engines(3)) is None


def test_memory_in_use_is_not_allocated_again():
    tracker = jobtracker.JobTracker()
    part = jobtracker.Part("e00", 0.0, 300_000)
    tracker.add(jobtracker.Job("held", (part,), 0.8), 0.0)
    choice = choose(tracker, CASE_FILE, make_engines(2))
    assert choice.job.endpoint_id == "e01"


def test_engine_without_a_free_slot_is_not_chosen():
    tracker = make_tracker(e00=8)
    assert names(choose(tracker, DRAFT, make_engines(2))) == ["e01"]
    assert choose(tracker, DRAFT, make_engines(1)) is None


def test_resumed_stream_goes_to_the_engine_that_continues_soonest():
    tracker = make_tracker(e00=5)
    parts = (jobtracker.Part("e02", 0.04), jobtracker.Part("e00", 0.04))
    tracker.add(jobtracker.Job("r", parts, 0.2), 0.0)
    assert names(choose(tracker, DRAFT, make_engines(3))) == ["e00"]
    resumed = make_prompt(5_000, is_mid_stream=True)
    assert names(choose(tracker, resumed, make_engines(3))) == ["e01"]


def test_streams_that_resume_together_are_spread_over_engines():
    chosen = set()
    for number in range(12):
        resumed = dataclasses.replace(
            make_prompt(5_000, is_mid_stream=True), job_id=f"i.{number}"
        )
        chosen.update(names(choose(make_tracker(), resumed, make_engines(6))))
    assert len(chosen) >= 4


def test_prompt_that_is_late_anyway_avoids_decoding_engines():
    # It is late in any case, so engines that decode are left out.
    huge = make_prompt(1_000_000, 0.8, 3.0)
    counts = {f"e{n:02d}": 6 for n in range(8)}
    choice = choose(make_tracker(**counts), huge, make_engines(16))
    assert not {f"e{n:02d}" for n in range(8)} & set(names(choice))


def find_start_delay(tracker, prompt, engines, now_s=0.0):
    policy = splitpolicy.SplitPromptPolicy(tracker, "osu")
    return policy.find_start_delay(prompt, engines, MODEL, now_s)


def make_prefilling_tracker(
    engines, prefill_s, tokens=210_000, objective_s=1.0
):
    """Returns a tracker in which every engine prefills a prompt of its own."""
    tracker = jobtracker.JobTracker()
    for number, engine in enumerate(engines):
        part = jobtracker.Part(engine.endpoint_id, prefill_s)
        job = jobtracker.Job(f"r{number}", (part,), 0.8, tokens, objective_s)
        tracker.add(job, 0.0)
    return tracker


GIANT = make_prompt(640_000, 0.8, 3.0)


def test_giant_prompt_is_deferred_until_current_prefills_are_done():
    engines = make_engines(12)
    tracker = make_prefilling_tracker(engines, 0.45)
    assert 0.2 <= find_start_delay(tracker, GIANT, engines) <= 1.0
    assert find_start_delay(tracker, GIANT, engines, now_s=0.5) == 0.0


def test_prompt_that_delays_no_other_starts_at_once():
    engines = make_engines(12)
    assert find_start_delay(make_tracker(), GIANT, engines) == 0.0
    tracker = make_prefilling_tracker(engines[:2], 0.45)
    assert find_start_delay(tracker, CASE_FILE, engines) == 0.0


def test_short_prompt_is_never_deferred():
    engines = make_engines(2)
    tracker = make_prefilling_tracker(engines, 2.0)
    assert find_start_delay(tracker, DRAFT, engines) == 0.0


def test_prompt_that_waited_long_is_not_deferred_again():
    engines = make_engines(12)
    tracker = make_prefilling_tracker(engines, 0.45)
    waited = dataclasses.replace(GIANT, waited_s=1.9)
    assert find_start_delay(tracker, waited, engines) == 0.0


def test_looking_ahead_leaves_the_original_unchanged():
    engines = make_engines(3)
    tracker = make_prefilling_tracker(engines, 2.0)
    later = tracker.look_ahead(0.5)
    assert later.find("e00").predict_wait(0.5) == 1.5
    assert tracker.find("e00").predict_wait(0.25) == 1.75
    assert len(later.find("e00").jobs) == 1


def add_helped_jobs(tracker, name, count):
    """Adds ``count`` jobs of other engines that an engine prefills parts of."""
    for number in range(count):
        parts = (
            jobtracker.Part(f"w{number}", 1.0, 5_000),
            jobtracker.Part(name, 1.0),
        )
        tracker.add(jobtracker.Job(f"{name}h{number}", parts, 0.8), 0.0)


def test_engine_that_helps_many_jobs_gets_no_further_part():
    # It decodes nothing, so long prompts would prefer it.
    engines = make_engines(5)
    tracker = make_tracker(e01=3, e02=3, e03=3, e04=3)
    add_helped_jobs(tracker, "e00", MODEL.slots - 1)
    assert "e00" not in names(choose(tracker, CASE_FILE, engines))[1:]
    # Parts whose prefill is done no longer count.
    assert "e00" in names(choose(tracker, CASE_FILE, engines, now_s=20.0))


def test_long_prompt_has_fewer_parts_when_most_engines_help_many_jobs():
    engines = make_engines(6)
    tracker = make_tracker()
    for number in range(1, 5):
        add_helped_jobs(tracker, f"e{number:02d}", MODEL.slots)
    assert len(names(choose(tracker, CASE_FILE, engines))) <= 2


def test_engine_that_holds_memory_for_a_job_helps_until_the_job_ends():
    tracker = make_tracker()
    parts = (jobtracker.Part("e00", 0.1, 5_000), jobtracker.Part("e01", 0.1, 9))
    tracker.add(jobtracker.Job("holder", parts, 0.8), 0.0)
    tracker.find("e01").settle(5.0)
    during = tracker.find("e01").count_helped()
    tracker.remove("holder")
    assert (during, tracker.find("e01").count_helped()) == (1, 0)


@pytest.mark.parametrize("scale", [0.25, 0.5, 1.0, 2.0, 4.0])
def test_two_prompts_larger_than_an_engine_fit_for_any_engine_memory(scale):
    # Four engines have memory for both; each takes a part of the first.
    tokens = int(1.5 * scale * MODEL.kv_capacity_tokens)
    model = dataclasses.replace(
        MODEL, kv_capacity_tokens=int(scale * MODEL.kv_capacity_tokens)
    )
    engines = make_engines(4)
    tracker = make_tracker()
    policy = splitpolicy.SplitPromptPolicy(tracker, "osu")
    giant = make_prompt(tokens, 0.8, 30.0)
    first = policy.choose(giant, engines, model, 0.0)
    tracker.add(first.job, 0.0)
    second = policy.choose(
        dataclasses.replace(giant, job_id="second"), engines, model, 0.0
    )
    held = [part.tokens for part in first.job.parts]
    assert max(held) < model.kv_capacity_tokens / 2
    assert second is not None


def test_each_refusal_halves_the_number_of_engines():
    counts = []
    for refusals in range(4):
        prompt = dataclasses.replace(CASE_FILE, refusals=refusals)
        counts.append(
            len(names(choose(make_tracker(), prompt, make_engines(20))))
        )
    assert counts[0] > 8
    assert [b <= a / 2 for a, b in zip(counts, counts[1:], strict=False)] == [
        True
    ] * 3


def test_refused_prompt_that_no_engine_can_hold_is_still_split():
    huge = dataclasses.replace(make_prompt(800_000, 0.8, 3.0), refusals=3)
    choice = choose(make_tracker(), huge, make_engines(14))
    assert sum(part.tokens for part in choice.job.parts) == 801_600
