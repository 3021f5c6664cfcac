from rhubarblock.daemon import edge
from rhubarblock.platform import settings_test


def test_bad_settings_are_waited_out(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text("nodeName = ")
    waits = []

    def mend(delay_s):
        waits.append(delay_s)
        if len(waits) == 2:
            path.write_text(settings_test.TEXT)

    monkeypatch.setattr(edge.time, "sleep", mend)
    assert edge.wait_for_settings(path).data_centre == "osu-hall"
    assert waits == [1.0, 1.0]
