from click.testing import CliRunner

from rhubarblock.platform import settings_test
from rhubarblock.scripts import edge


def test_check_prints_every_error(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text('nodeName = 4\nip = "10.0.0.1"\n')
    result = CliRunner().invoke(
        edge.edge_command, ["--check", "--settings", str(path)]
    )
    assert result.exit_code == 2
    lines = result.output.splitlines()
    assert lines.pop().endswith(".address: is missing")
    assert lines == [
        "internalPortRange: is missing",
        "nodeName: a text is expected, not 4",
        "zone: is missing",
        "listen.front: is missing",
        "listen.readyAddr: is missing",
    ]


def test_check_accepts_valid_settings(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(settings_test.TEXT)
    result = CliRunner().invoke(
        edge.edge_command, ["--check", "--settings", str(path)]
    )
    assert (result.exit_code, result.output) == (0, "")
