"""Tests the operators' commands against an administration API on a socket."""

import asyncio
import json
import pathlib
import threading

from aiohttp import web
from click import testing
import pytest

from rhubarblock.admin import fakeparts_test as fakeparts
from rhubarblock.catalogue import samples_test as samples
from rhubarblock.scripts import audit
from rhubarblock.scripts import catalogue
from rhubarblock.scripts import check
from rhubarblock.scripts import client
from rhubarblock.scripts import drain
from rhubarblock.scripts import status

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


class Server:
    """Serves the API from a thread with its own event loop."""

    def __init__(self):
        self.parts = None
        self.url = ""
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(
            target=self._loop.run_until_complete, args=(self._serve(),)
        )
        self._thread.start()
        self._ready.wait(10)

    async def _serve(self):
        self.parts = fakeparts.FakeParts()
        self._stop = asyncio.Event()
        runner = web.AppRunner(self.parts.app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.url = "http://{}:{}".format(*runner.addresses[0])
        self._ready.set()
        await self._stop.wait()
        await runner.cleanup()

    def close(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(10)
        self._loop.close()


@pytest.fixture
def server():
    served = Server()
    yield served
    served.close()


@pytest.fixture
def invoke(server):
    def invoke_command(command, *arguments, token="admin", answer=None):
        environment = {
            client.URL_VARIABLE: server.url,
            client.TOKEN_VARIABLE: token,
            "COLUMNS": "200",
        }
        return testing.CliRunner().invoke(
            command, arguments, env=environment, input=answer
        )

    return invoke_command


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "catalogue.ini"
    file.write_text(samples.CATALOGUE_TEXT)
    return file


@pytest.fixture
def applied(invoke, path):
    result = invoke(
        catalogue.catalogue_group,
        "apply",
        "--why",
        "first",
        "--yes",
        str(path),
        token="boot",
    )
    assert result.exit_code == 0, result.output


def edit(path, *pair):
    path.write_text(path.read_text().replace(*pair))


def test_apply_aborts_without_confirmation(invoke, path):
    result = invoke(
        catalogue.catalogue_group,
        "apply",
        "--why",
        "first",
        str(path),
        token="boot",
        answer="n\n",
    )
    assert result.exit_code == 1
    assert "Change revision 0? [y/N]: n" in result.output


def test_show_edit_apply_diff_and_history(invoke, path, applied):
    group = catalogue.catalogue_group
    shown = invoke(group, "show").output
    assert shown.startswith("# Revision 1\n\n[institution adwoa]\n")
    path.write_text(shown)
    assert invoke(group, "diff", str(path)).output == "no difference\n"
    edit(path, "version = v1", "version = v2")
    change = "~ [model reader]\n    version: v1 -> v2\n"
    assert invoke(group, "diff", str(path)).output == change
    dry = invoke(group, "apply", "--why", "w", "--dry-run", str(path))
    assert dry.output == change
    result = invoke(
        group,
        "apply",
        "--why",
        "new version",
        "--change-id",
        "c2",
        str(path),
        answer="y\n",
    )
    assert result.output.endswith("revision 2 (c2)\n")
    history = json.loads(invoke(group, "history", "--json").output)
    assert [e["revision"] for e in history["history"]] == [2, 1]
    assert "new version" in invoke(group, "history").output


def test_applying_an_outdated_file_is_a_conflict_with_both_sides(
    invoke, path, applied
):
    group = catalogue.catalogue_group
    path.write_text(invoke(group, "show").output)
    for version in ("v2", "v3"):
        edit(path, "version = v1", f"version = {version}")
        result = invoke(group, "apply", "--why", version, "--yes", str(path))
        edit(path, f"version = {version}", "version = v1")
    assert result.exit_code == client.EXIT_CONFLICT
    assert (
        result.stderr
        == """\
Revision 2 was made by admin at 2026-02-02T02:40:00+00:00: v2
Their changes:
~ [model reader]
    version: v1 -> v2
Yours:
~ [model reader]
    version: v1 -> v3
Error: the change is against revision 1, but 2 is in force
"""
    )


def test_rollback_creates_a_new_revision(invoke, path, applied):
    group = catalogue.catalogue_group
    edit(path, "version = v1", "version = v2")
    invoke(group, "apply", "--why", "w", "--yes", str(path))
    result = invoke(group, "rollback", "1", "--why", "back", answer="y\n")
    assert result.output.startswith("~ [model reader]\n    version: v2 -> v1\n")
    assert "revision 3 (" in result.output
    edit(path, "version = v2", "version = v1")
    assert invoke(group, "diff", str(path)).output == "no difference\n"


def test_refused_change_prints_every_error(invoke, path, applied):
    edit(path, "tokens_per_s = 500", "tokens_per_s = 5000")
    edit(path, "models = reader", "models = writer")
    result = invoke(
        catalogue.catalogue_group, "apply", "--why", "w", "--yes", str(path)
    )
    assert result.exit_code == client.EXIT_REFUSED
    assert (
        result.stderr
        == """\
[workspace adwoa/claims] tokens_per_s: 5000 is above the 1000 of its \
institution
[workspace adwoa/claims] models: unknown model 'writer' (allowed: reader)
Error: the catalogue has 2 errors
"""
    )


def test_audit_prints_filtered_records(invoke, path, applied):
    edit(path, "version = v1", "version = v2")
    invoke(catalogue.catalogue_group, "apply", "--why", "w", "--yes", str(path))
    result = invoke(audit.audit_command, "--kind", "model", "--limit", "1")
    assert (
        result.output
        == """\
2026-02-02T02:40:00+00:00 revision 2 apply by admin: w
  ~ [model reader]
      version: v1 -> v2
"""
    )
    assert invoke(audit.audit_command, "--since", "2026-02-03").output == ""
    answer = json.loads(
        invoke(audit.audit_command, "--json", "--who", "bootstrap").output
    )
    assert [record["revision"] for record in answer["audit"]] == [1]


def test_status_prints_tables(invoke, applied):
    lines = invoke(status.status_command).output.splitlines()
    assert lines[0] == "Seen by osu-1, catalogue revision 3"
    cells = [
        [cell.strip() for cell in line.split("│")[1:-1]]
        for line in lines
        if "│" in line
    ]
    assert cells == [
        ["osu-1", "osu-hall", "ready", "3", "12", "0"],
        ["tema-1", "tema-hall", "ready", "2", "-", "0.2"],
        [
            "pool-1",
            "pool",
            "osu-hall",
            "ready",
            "both",
            "reader@v1",
            "2",
            "0",
            "0",
            "0",
        ],
        ["adwoa", "tokens_per_s", "1000", "250.5", "0"],
        ["hofbauer/docks", "tokens_per_s", "10", "1", "0"],
        ["d1", "hofbauer", "2", "60"],
    ]
    answer = json.loads(invoke(status.status_command, "--json").output)
    assert answer["instance_id"] == "osu-1"


def test_drain_prints_state_and_missing_audit_record(invoke, server, applied):
    arguments = ("data-centre", "osu-hall", "--why", "power")
    result = invoke(drain.drain_command, *arguments)
    assert result.output == "data-centre osu-hall: draining\n"
    refused = invoke(drain.drain_command, "endpoint", "nowhere", "--why", "w")
    assert refused.output == "Error: unknown endpoint nowhere\n"
    assert refused.exit_code == client.EXIT_REFUSED
    server.parts.store.is_down = True
    result = invoke(drain.drain_command, *arguments, "--unrecorded")
    assert result.output == (
        "data-centre osu-hall: draining (not in the audit trail)\n"
    )


def test_unreachable_api_is_reported_in_one_line():
    connection = ["--url", "http://127.0.0.1:1", "--token", "x"]
    result = testing.CliRunner().invoke(status.status_command, connection)
    assert result.exit_code == client.EXIT_REFUSED
    assert result.output.startswith("Error: http://127.0.0.1:1: Cannot connect")


def test_check_accepts_the_examples():
    paths = sorted(EXAMPLES.rglob("*.ini"))
    arguments = [part for path in paths for part in ("-c", str(path))]
    result = testing.CliRunner().invoke(check.check_command, arguments)
    assert result.exit_code == 0
    assert result.output == "".join(f"{path}: no errors\n" for path in paths)


def test_check_prints_every_error(tmp_path):
    entry = tmp_path / "entry.ini"
    entry.write_text("[instance]\nid = !\n[routing]\npolicy = magic\n")
    arguments = ["-c", str(entry), "-c", str(tmp_path / "none.ini")]
    result = testing.CliRunner().invoke(check.check_command, arguments)
    assert result.exit_code == 1
    lines = result.stderr.splitlines()
    assert len(lines) == 9
    assert lines[-2].endswith("(allowed: one of length_aware, naive)")
    assert lines[-1].endswith("none.ini: No such file or directory")
