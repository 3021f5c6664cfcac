import subprocess
import sys

CODE = """\
import sys
from rhubarblock.scripts import edgestart
sys.argv = ["edge", "--check", "--settings", "/nonexistent/settings.toml"]
try:
    edgestart.main()
except SystemExit as end:
    import aiohttp
    print(end.code, sys.modules["ssl"], aiohttp.ClientSession.__name__)
"""


def test_daemon_starts_without_tls():
    ended = subprocess.run(
        [sys.executable, "-c", CODE], capture_output=True, text=True
    )
    assert ended.stdout == "2 None ClientSession\n"
    assert "settings" in ended.stderr
