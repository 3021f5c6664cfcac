from rhubarblock.daemon import edge
from rhubarblock.platform import settings_test


def test_start_waits_until_the_settings_are_valid(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text("nodeName = ")
    waits = []

    def fix_settings(delay_s):
        waits.append(delay_s)
        if len(waits) == 2:
            path.write_text(settings_test.TEXT)

    monkeypatch.setattr(edge.time, "sleep", fix_settings)
    assert edge.wait_for_settings(path).data_centre == "osu-hall"
    assert waits == [1.0, 1.0]
