import asyncio
import json

from aiohttp import test_utils
import pytest

from rhubarblock.admin import fakeparts_test as fakeparts
from rhubarblock.catalogue import samples_test as samples


class ApiClient:
    """Sends requests to the administration API."""

    def __init__(self, client):
        self._client = client

    async def get(self, path, secret="admin"):
        return await self._call("GET", path, secret, None)

    async def post(self, path, secret="admin", **body):
        return await self._call("POST", path, secret, json.dumps(body))

    async def post_raw(self, path, content, secret="admin"):
        return await self._call("POST", path, secret, content)

    async def create_catalogue(self):
        return await self.post(
            "catalogue",
            "boot",
            revision=0,
            text=samples.CATALOGUE_TEXT,
            why="first",
        )

    async def _call(self, method, path, secret, content):
        headers = {"Authorization": f"Bearer {secret}"} if secret else {}
        response = await self._client.request(
            method, f"/admin/v1/{path}", headers=headers, data=content
        )
        return response.status, await response.json()


def run_scenario(scenario):
    """Runs a coroutine function against the API on a real socket."""

    async def main():
        parts = fakeparts.FakeParts()
        server = test_utils.TestServer(parts.app)
        async with test_utils.TestClient(server) as client:
            return await scenario(ApiClient(client), parts)

    return asyncio.run(main())


def test_first_catalogue_is_applied_and_recorded():
    async def scenario(api, parts):
        made = await api.create_catalogue()
        return made, await api.get("audit"), await api.get("history")

    (status, made), (_, audit), (_, history) = run_scenario(scenario)
    assert status == 200
    assert made["revision"] == 1
    assert made["changes_text"].startswith("+ [institution adwoa]\n")
    (record,) = audit["audit"]
    assert record["changes"] == made["changes"]
    assert history == {
        "history": [
            {
                "revision": 1,
                "action": "apply",
                "who": "bootstrap",
                "when": "2026-02-02T02:40:00+00:00",
                "why": "first",
                "target": "",
                "entries": 12,
            }
        ]
    }


def test_bootstrap_secret_is_rejected_once_there_is_an_administrator():
    async def scenario(api, parts):
        await api.create_catalogue()
        return await api.create_catalogue()

    status, answer = run_scenario(scenario)
    assert status == 401
    assert answer == {
        "error": {
            "code": "unauthenticated",
            "message": "unknown secret",
            "verdict": "NOT_RUN",
            "retry_after_s": None,
            "details": [],
        }
    }


@pytest.mark.parametrize(
    ("secret", "status", "code"),
    [
        ("", 401, "unauthenticated"),
        ("wrong", 401, "unauthenticated"),
        ("claims", 403, "forbidden"),
    ],
)
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("get", "catalogue"),
        ("post", "catalogue"),
        ("get", "history"),
        ("post", "rollback"),
        ("get", "audit"),
        ("get", "status"),
        ("post", "drain"),
    ],
)
def test_every_path_requires_an_operator(method, path, secret, status, code):
    async def scenario(api, parts):
        await api.create_catalogue()
        return await getattr(api, method)(path, secret)

    found, answer = run_scenario(scenario)
    assert (found, answer["error"]["code"]) == (status, code)


def test_operator_reads_and_changes_entries_of_its_institution_only():
    async def scenario(api, parts):
        await api.create_catalogue()
        _, mine = await api.get("catalogue", "hofbauer-op")
        text = mine["text"].replace("class = batch", "class = standard")
        made = await api.post(
            "catalogue", "hofbauer-op", revision=1, text=text, why="w"
        )
        audit = await api.get("audit?kind=workspace", "adwoa-op")
        return mine, made, audit, parts.in_force

    mine, (status, made), (_, audit), in_force = run_scenario(scenario)
    assert "adwoa" not in mine["text"]
    assert (status, made["revision"]) == (200, 2)
    docks = in_force.workspaces["hofbauer/docks"]
    assert docks.request_class.value == "standard"
    assert "adwoa/claims" in in_force.workspaces
    # The operator of the other institution sees only its own part of the first
    # change.
    (record,) = audit["audit"]
    names = {change["name"] for change in record["changes"]}
    assert "adwoa/claims" in names
    assert not any("hofbauer" in name for name in names)


def test_operator_cannot_change_other_entries():
    async def scenario(api, parts):
        await api.create_catalogue()
        text = samples.CATALOGUE_TEXT.replace("version = v1", "version = v2")
        return await api.post(
            "catalogue", "adwoa-op", revision=1, text=text, why="w"
        )

    status, answer = run_scenario(scenario)
    assert status == 403
    assert {detail["name"] for detail in answer["error"]["details"]} >= {
        "reader"
    }


def test_catalogue_errors_name_their_lines():
    async def scenario(api, parts):
        text = "[place osu]\nregion = !\n"
        return await api.post(
            "catalogue", "boot", revision=0, text=text, why="w"
        )

    status, answer = run_scenario(scenario)
    assert status == 422
    assert answer["error"]["code"] == "invalid_catalogue"
    found = [(d["line"], d["field"]) for d in answer["error"]["details"]]
    assert found == [(1, "owner"), (2, "region")]


def test_conflict_answers_with_both_changes():
    async def scenario(api, parts):
        await api.create_catalogue()
        for version in ("v2", "v3"):
            text = samples.CATALOGUE_TEXT.replace(
                "version = v1", f"version = {version}"
            )
            answer = await api.post(
                "catalogue", revision=1, text=text, why=version
            )
        return answer

    status, answer = run_scenario(scenario)
    assert status == 409
    conflict = answer["error"]["conflict"]
    fields = [conflict[side][0]["fields"] for side in ("theirs", "yours")]
    assert conflict["record"]["why"] == "v2"
    assert fields == [
        [{"field": "version", "before": "v1", "after": "v2"}],
        [{"field": "version", "before": "v1", "after": "v3"}],
    ]


def test_rollback_restores_an_older_revision():
    async def scenario(api, parts):
        await api.create_catalogue()
        text = samples.CATALOGUE_TEXT.replace("version = v1", "version = v2")
        await api.post("catalogue", revision=1, text=text, why="w")
        _, older = await api.get("catalogue?revision=1")
        made = await api.post("rollback", revision=2, to=1, why="back")
        _, now = await api.get("catalogue")
        missing = await api.get("catalogue?revision=9")
        return made, older, now, missing

    (status, made), older, now, (missing, _) = run_scenario(scenario)
    assert (status, made["revision"], missing) == (200, 3, 400)
    assert older["text"] == now["text"]
    assert (older["revision"], now["revision"]) == (1, 3)


def test_status_hides_limits_of_other_institutions_from_an_operator():
    async def scenario(api, parts):
        await api.create_catalogue()
        return await api.get("status"), await api.get("status", "adwoa-op")

    (_, whole), (_, own) = run_scenario(scenario)
    assert [limit["owner"] for limit in whole["limits"]] == [
        "adwoa",
        "hofbauer/docks",
    ]
    assert [limit["owner"] for limit in own["limits"]] == ["adwoa"]
    assert own["quarantines"] == []
    assert own["instances"] == whole["instances"]


def test_drain_is_recorded_and_started():
    async def scenario(api, parts):
        await api.create_catalogue()
        drained = await api.post(
            "drain", kind="data_centre", name="osu-hall", why="power"
        )
        _, audit = await api.get("audit?action=drain&name=osu-hall")
        return drained, audit["audit"], parts.drains.targets

    drained, (record,), targets = run_scenario(scenario)
    assert drained == (
        200,
        {
            "drain": {
                "kind": "data_centre",
                "name": "osu-hall",
                "state": "draining",
                "in_flight": 4,
            },
            "recorded": True,
        },
    )
    assert record["why"] == "power"
    assert targets == ["data_centre osu-hall"]


def test_drain_without_the_platform_must_allow_a_missing_record():
    async def scenario(api, parts):
        await api.create_catalogue()
        parts.store.is_down = True
        body = {"kind": "endpoint", "name": "pool-1", "why": "hot"}
        refused = await api.post("drain", **body)
        forced = await api.post("drain", **body, unrecorded=True)
        audit = await api.get("audit")
        return refused, forced, audit, parts.drains.targets

    refused, forced, audit, targets = run_scenario(scenario)
    assert (refused[0], audit[0]) == (503, 503)
    assert refused[1]["error"]["retry_after_s"] == 5.0
    assert (forced[0], forced[1]["recorded"]) == (200, False)
    assert targets == ["endpoint pool-1"]


def test_operator_cannot_drain():
    async def scenario(api, parts):
        await api.create_catalogue()
        return await api.post(
            "drain", "adwoa-op", kind="endpoint", name="pool-1", why="w"
        )

    assert run_scenario(scenario)[0] == 403


@pytest.mark.parametrize(
    ("path", "content", "message"),
    [
        ("catalogue", "{", "the body is no JSON"),
        ("catalogue", "[" * 100_000, "the body is no JSON"),
        ("catalogue", "[]", "the body is no JSON object"),
        (
            "catalogue",
            '{"revision": true, "text": 1, "wy": ""}',
            "wy: unknown field; allowed: revision, text, why, dry_run, "
            "change_id; revision: must be a whole number; text: must be a "
            "text; why: is missing",
        ),
        (
            "catalogue",
            '{"revision": -1, "text": "", "why": " ", "change_id": "a\\n"}',
            "revision: must not be negative; why: must have 1 to 1000 "
            "printable characters; change_id: must have 1 to 64 printable "
            "characters",
        ),
        (
            "drain",
            '{"kind": "planet", "name": "x", "why": "w"}',
            "kind must be one of endpoint, instance, data_centre",
        ),
    ],
)
def test_invalid_bodies_are_rejected(path, content, message):
    async def scenario(api, parts):
        await api.create_catalogue()
        return await api.post_raw(path, content)

    status, answer = run_scenario(scenario)
    assert status == 400
    assert answer["error"]["message"].startswith(message)
    assert answer["error"]["verdict"] == "NOT_RUN"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("get", "nothing", 404),
        ("get", "rollback", 405),
        ("get", "audit?limit=many", 400),
    ],
)
def test_other_client_errors_have_the_error_format(method, path, status):
    async def scenario(api, parts):
        await api.create_catalogue()
        return await getattr(api, method)(path)

    found, answer = run_scenario(scenario)
    assert found == status
    assert answer["error"]["code"] == "bad_request"


def test_body_over_the_limit_is_rejected():
    async def scenario(api, parts):
        return await api.post_raw("catalogue", b"x" * 5_000_000, "boot")

    status, answer = run_scenario(scenario)
    assert (status, answer["error"]["code"]) == (413, "body_too_large")


def test_unexpected_exception_may_have_run(monkeypatch):
    async def scenario(api, parts):
        await api.create_catalogue()
        parts.drains.start_drain = None
        return await api.post("drain", kind="endpoint", name="pool-1", why="w")

    status, answer = run_scenario(scenario)
    assert (status, answer["error"]["verdict"]) == (500, "MAY_HAVE_RUN")
