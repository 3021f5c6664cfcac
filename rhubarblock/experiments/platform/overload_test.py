"""Goodput past saturation, replayed on modelled engines."""

import json

from click import testing

from rhubarblock.experiments.platform import deployments
from rhubarblock.experiments.platform import overload
from rhubarblock.scripts import measure


def find_goodput(policy, load):
    surge = overload.Surge(load, 1.0, 4.0)
    result = overload.measure(deployments.ADWOA, policy, surge, 1, 5.0)
    return result.goodput


def test_goodput_holds_from_4_to_10_times_the_load():
    # Without admission, all prompts become late together.
    at_10 = find_goodput(overload.ADMISSION, 10.0)
    assert at_10 >= 0.9 * find_goodput(overload.ADMISSION, 4.0)
    assert at_10 >= 2.0 * find_goodput(overload.NONE, 10.0)


def test_command_prints_the_figures_of_a_run():
    arguments = ["platform-overload", "--policy", "none", "--load", "0.1"]
    output = (
        testing.CliRunner()
        .invoke(measure.measure_group, [*arguments, "--json"])
        .output
    )
    figures = json.loads(output)
    assert (figures["policy"], figures["load"]) == ("none", 0.1)
    assert figures["goodput"] > 0.0
