import json

from click import testing

from rhubarblock.scripts import compare


def run(tmp_path, old, new, *options):
    """Runs the command on two files with one figure per seed."""
    for name, values in (("old.json", old), ("new.json", new)):
        lines = [
            json.dumps({"scenario": "limits", "seed": seed, "lent_s": value})
            for seed, value in values.items()
        ]
        (tmp_path / name).write_text("\n".join(lines))
    paths = [str(tmp_path / "old.json"), str(tmp_path / "new.json")]
    return testing.CliRunner().invoke(
        compare.compare_command, [*paths, *options]
    )


def test_change_beyond_the_noise_is_printed(tmp_path):
    result = run(tmp_path, {1: 2.0, 2: 2.2}, {1: 3.0, 2: 3.2})
    assert result.output == (
        "limits: lent_s 2.1 -> 3.1, +47.6% (noise 0): higher\n"
        "0 of 1 figures the same within the noise\n"
    )


def test_unchanged_figures_are_printed_only_with_all(tmp_path):
    values = {1: 2.0, 2: 2.2}
    last = "1 of 1 figures the same within the noise\n"
    assert run(tmp_path, values, values).output == last
    assert run(tmp_path, values, values, "--all").output == (
        f"limits: lent_s 2.1 -> 2.1, +0.0% (noise 0): same\n{last}"
    )


def test_file_without_results_is_an_error(tmp_path):
    path = tmp_path / "bad"
    path.write_text("[]")
    result = testing.CliRunner().invoke(
        compare.compare_command, [str(path), str(path)]
    )
    assert result.exit_code == compare.BAD_RESULT_STATUS
    assert result.output == (
        "compare: a result is a JSON object with a scenario\n"
    )
