"""The ``serve`` command with invalid settings, and its stop under load."""

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket

from click import testing
import pytest

from rhubarblock.daemon import loopbackfleet_test as loopback
from rhubarblock.daemon import server
from rhubarblock.kernel import logs
from rhubarblock.scripts import serve

_SETTINGS = """\
[instance]
id = entry-0
data_centre = osu-hall
region = accra
listen = 127.0.0.1:{listen}
admin_listen = 127.0.0.1:{admin_listen}
peer_listen = 127.0.0.1:{peer_listen}

[platform]
url = http://127.0.0.1:1
"""
_FREE_PORTS = {"listen": 0, "admin_listen": 0, "peer_listen": 0}


@pytest.fixture(autouse=True)
def restore_logging():
    """Restores the process-wide logging configuration that ``serve`` sets."""
    logger = logging.getLogger(logs.ROOT_LOGGER)
    saved = logger.handlers, logger.level, logger.propagate
    yield
    logger.handlers, logger.level, logger.propagate = saved


def run_serve(path) -> testing.Result:
    return testing.CliRunner().invoke(serve.serve_command, ["-c", str(path)])


def test_missing_settings_file_is_reported(tmp_path):
    outcome = run_serve(tmp_path / "entry.ini")
    assert outcome.exit_code == serve.CONFIG_STATUS
    assert (
        outcome.output == f"{tmp_path}/entry.ini: No such file or directory\n"
    )


def test_each_invalid_setting_is_reported(tmp_path):
    path = tmp_path / "entry.ini"
    text = _SETTINGS.format(**_FREE_PORTS | {"listen": "many"})
    path.write_text(text + "pace = 3\n")
    outcome = run_serve(path)
    assert outcome.exit_code == serve.CONFIG_STATUS
    assert outcome.output == (
        f"{path}:5: [instance] listen: '127.0.0.1:many' is not IP:port "
        "(allowed: IP:port, port 0 to 65535)\n"
        f"{path}:11: [platform] pace: unknown key (allowed: url, timeout_s)\n"
    )


@pytest.mark.parametrize("key", _FREE_PORTS)
def test_port_in_use_is_reported(tmp_path, key):
    path = tmp_path / "entry.ini"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        path.write_text(_SETTINGS.format(**_FREE_PORTS | {key: port}))
        outcome = run_serve(path)
    assert outcome.exit_code == serve.ADDRESS_STATUS
    last = outcome.output.splitlines()[-1]
    assert last.startswith(f"{path}: ")
    assert f"127.0.0.1:{port}" in last.replace("', ", ":")


def test_instance_without_a_catalogue_is_not_ready():
    """The platform is down and there are no peers."""

    async def main():
        settings = loopback.make_settings(0, "http://127.0.0.1:1")
        async with server.run_server(settings) as running:
            address = running.caller_address
            return [
                await loopback.exchange(address, data)
                for data in (
                    loopback.make_request(b"", "/readyz", "GET"),
                    loopback.make_request(b"{}"),
                )
            ]

    ready, refused = asyncio.run(main())
    assert (ready.status, ready.fields) == (503, {"state": "starting"})
    assert refused.status == 503
    assert refused.fields["error"]["message"] == (
        "this instance has no catalogue yet"
    )
    assert refused.fields["error"]["verdict"] == "NOT_RUN"


class ListeningLogHandler(logging.Handler):
    """Waits for the log record with the address of an instance."""

    def __init__(self):
        super().__init__()
        self.address = asyncio.get_running_loop().create_future()

    def emit(self, record):
        if record.msg == "listening" and not self.address.done():
            self.address.set_result(record.callers)


@contextlib.asynccontextmanager
async def serve_until_sigterm(settings):
    """Runs the daemon's main function; yields its task and its address."""
    handler = ListeningLogHandler()
    logger = logging.getLogger(serve.__name__)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    daemon = asyncio.ensure_future(serve.serve(settings))
    try:
        yield daemon, await handler.address
    finally:
        logger.removeHandler(handler)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)


async def send(addresses, data):
    """Sends a request like a load balancer that retries if it did not run."""
    answer = None
    for address in addresses:
        try:
            answer = await loopback.exchange(address, data)
        except ConnectionRefusedError:
            continue
        if answer.headers.get("x-verdict") != "not_run":
            return answer
    return answer


async def upload(address, data):
    """Sends a request whose body is complete only after the stop began."""
    reader, writer = await loopback.connect(address)
    writer.write(data[:-10])
    await asyncio.sleep(0.3)
    writer.write(data[-10:])
    answer = await loopback.read_answer(reader)
    writer.close()
    return answer


def test_sigterm_to_one_of_two_instances_aborts_no_request():
    """Streams, unary responses, service calls and an upload are in flight.

    More requests arrive during the stop.
    """
    body = {"model": "reader", "prompt": "Pick list.", "max_tokens": 60}
    streamed = loopback.make_request(
        json.dumps(body | {"stream": True}).encode()
    )
    unary = loopback.make_request(json.dumps(body).encode())

    async def main():
        async with (
            loopback.run_fleet() as fleet,
            serve_until_sigterm(loopback.make_settings(1, fleet.url)) as (
                daemon,
                stopping,
            ),
        ):
            both = [stopping, fleet.address]
            fleet.desk.faults.slow_s = 0.3
            running = [
                asyncio.ensure_future(loopback.exchange(stopping, data))
                for data in [streamed, unary] * 6
            ]
            for number in range(4):
                data = loopback.make_request(
                    b"{}",
                    "/v1/services/desk/bookings",
                    Idempotency_Key=f"booking-{number}",
                )
                running.append(
                    asyncio.ensure_future(loopback.exchange(stopping, data))
                )
            late = asyncio.ensure_future(upload(stopping, unary))
            await loopback.wait_until(lambda: len(fleet.engine.kv_held()) == 12)
            os.kill(os.getpid(), signal.SIGTERM)
            for _ in range(20):
                running.append(asyncio.ensure_future(send(both, streamed)))
                await asyncio.sleep(0.01)
            answers = await asyncio.gather(*running)
            uploaded = await late
            await daemon
            await fleet.assert_idle()
            double_runs = fleet.desk.log.find_double_runs()
            return answers, uploaded, double_runs, len(fleet.desk.log.runs)

    answers, uploaded, double_runs, runs = asyncio.run(main())
    assert [answer.status for answer in answers] == [200] * 36
    assert len({a.fields["choices"][0]["text"] for a in answers[1:12:2]}) == 1
    for answer in answers[0:12:2] + answers[16:]:
        assert answer.body.endswith(b"data: [DONE]\n\n")
    assert (double_runs, runs) == ([], 4)
    # The upload was incomplete when the stop began, so it was rejected.
    assert uploaded.status == 503
    assert uploaded.fields["error"]["code"] == "draining"
    assert uploaded.fields["error"]["verdict"] == "NOT_RUN"
