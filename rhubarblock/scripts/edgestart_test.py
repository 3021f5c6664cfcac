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
    print(end.code, "ssl" in sys.modules, aiohttp.ClientSession.__name__)
    from rhubarblock.kernel import exposition, metrics
    print(exposition.render(metrics.Metrics()))
"""


def test_edge_starts_without_importing_ssl_and_renders_its_metrics():
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True
    )
    assert completed.stdout == "2 False ClientSession\nb''\n"
    assert "settings" in completed.stderr
