import subprocess
import sys

PROGRAM = """\
import sys
from rhubarblock.scripts import edgestart
sys.argv = ["edge", "--check", "--settings", "/nonexistent/settings.toml"]
try:
    edgestart.main()
except SystemExit as end:
    import aiohttp
    print(end.code, sys.modules["ssl"], aiohttp.ClientSession.__name__)
"""


def test_edge_starts_without_importing_ssl():
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True
    )
    assert completed.stdout == "2 None ClientSession\n"
    assert "settings" in completed.stderr
