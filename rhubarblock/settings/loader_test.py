import pathlib

import pytest

from rhubarblock.settings import entry
from rhubarblock.settings import kinds
from rhubarblock.settings import loader
from rhubarblock.settings import reference

ROOT = pathlib.Path(__file__).parents[2]

MINIMAL = """\
[instance]
id = osu-1
data_centre = osu-hall
region = accra
listen = 127.0.0.1:8080
admin_listen = 127.0.0.1:8081
peer_listen = 127.0.0.1:8082

[platform]
url = http://127.0.0.1:7000
"""


def load(tmp_path, text, policies=None):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    return loader.load_entry_settings(path, policies)


def list_errors(tmp_path, text, policies=None):
    errors = load(tmp_path, text, policies).failure()
    return [str(e).replace(str(tmp_path) + "/", "") for e in errors]


def test_a_minimal_file_gets_the_defaults(tmp_path):
    settings = load(tmp_path, MINIMAL).unwrap()
    assert settings.instance.listen == kinds.Address("127.0.0.1", 8080)
    assert settings.instance.advertise is None
    assert settings.routing == entry.RoutingSettings()
    assert settings.limits.body_bytes == 16777216


def test_every_error_is_reported_at_once(tmp_path):
    text = """\
[instance]
id = osu 1
region = accra
colour = red
listen = 127.0.0.1:80
admin_listen = 127.0.0.1:80
peer_listen = here
[paltform]
url = http://127.0.0.1:7000
[limits]
body_bytes = 100000000
[routing]
weight_ttft = 2
"""
    assert list_errors(tmp_path, text) == [
        "entry.ini: [platform] url: is missing (allowed: http://host:port or "
        "https://host:port)",
        "entry.ini:1: [instance] data_centre: is missing (allowed: name of "
        "letters, digits, '.', '-' and '_')",
        "entry.ini:2: [instance] id: 'osu 1' is not a name (allowed: name of "
        "letters, digits, '.', '-' and '_')",
        "entry.ini:4: [instance] colour: unknown key (allowed: id, "
        "data_centre, region, listen, admin_listen, peer_listen, advertise)",
        "entry.ini:7: [instance] peer_listen: 'here' is not IP:port (allowed: "
        "IP:port, port 0 to 65535)",
        "entry.ini:8: [paltform] unknown section (allowed: instance, "
        "platform, peers, routing, limits, metrics, logs, drain, "
        "administration)",
        "entry.ini:10: [limits] queue_bytes: the largest body does not fit "
        "into the queue (allowed: at least body_bytes, 100000000)",
        "entry.ini:13: [routing] weight_ttft: 2 is out of range (allowed: "
        "number from 0 to 1)",
    ]


def test_keys_are_checked_against_each_other(tmp_path):
    text = MINIMAL.replace("8081", "8080").replace(
        "peer_listen = 127.0.0.1", "peer_listen = 0.0.0.0"
    )
    text += "[peers]\ncertificate = c.pem\nkey = k.pem\n"
    text += "[routing]\npolicy = magic\n"
    (tmp_path / "c.pem").touch()
    assert list_errors(tmp_path, text, ("naive",)) == [
        "entry.ini:1: [instance] advertise: must be given when peer_listen "
        "takes every address",
        "entry.ini:6: [instance] admin_listen: is the same as listen",
        "entry.ini:11: [peers] authority: is missing (allowed: certificate, "
        "key and authority together, or none)",
        "entry.ini:13: [peers] key: no such file: k.pem",
        "entry.ini:15: [routing] policy: 'magic' is not registered (allowed: "
        "one of naive)",
    ]


def test_certificate_paths_are_relative_to_the_file(tmp_path):
    names = ("certificate", "key", "authority")
    for name in names:
        (tmp_path / name).touch()
    lines = "".join(f"{name} = {name}\n" for name in names)
    settings = load(tmp_path, MINIMAL + "[peers]\n" + lines).unwrap()
    assert settings.peers.key == str(tmp_path / "key")
    assert settings.peers.secure


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (None, "No such file or directory"),
        (b"\xff", "is not UTF-8"),
        (b"#" * (loader.MAX_FILE_BYTES + 1), "is larger than"),
    ],
)
def test_a_file_that_cannot_be_read_is_one_error(tmp_path, content, message):
    path = tmp_path / "entry.ini"
    if content is not None:
        path.write_bytes(content)
    (error,) = loader.load_entry_settings(path).failure()
    assert message in error.message


def test_the_page_documents_every_key():
    page = (ROOT / "docs" / "operators" / "settings.md").read_text()
    assert reference.format_settings() in page


@pytest.mark.parametrize(("name", "count"), [("adwoa", 7), ("hofbauer", 6)])
def test_the_examples_load_without_errors(name, count):
    root = ROOT / "examples" / name
    paths = [root / "entry.ini", *root.glob("instances/*.ini")]
    loaded = [
        loader.load_entry_settings(path, ("length_aware",)).unwrap()
        for path in paths
    ]
    assert len({settings.instance.id for settings in loaded}) == count
    assert len({settings.instance.listen for settings in loaded}) == count
