import socket

import statsd

from rhubarblock.kernel import metrics as metrics_lib
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop


def make_filled():
    metrics = metrics_lib.Metrics()
    metrics.count("requests")
    metrics.count("requests", 2)
    metrics.gauge("queue", 7)
    metrics.record_time("ttft", 0.1)
    metrics.record_time("ttft", 0.3)
    return metrics


def test_snapshot_holds_every_value():
    assert make_filled().snapshot() == {
        "requests": 3,
        "queue": 7,
        "ttft.count": 2,
        "ttft.mean_s": 0.2,
        "ttft.max_s": 0.3,
    }


def test_flush_sends_each_increase_once_over_udp():
    metrics = make_filled()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        client = statsd.StatsClient(*server.getsockname(), prefix="r")
        metrics.flush(client)
        first = server.recv(2048).decode().split("\n")
        metrics.count("requests")
        metrics.flush(client)
        second = server.recv(2048).decode().split("\n")
        client.close()
    assert first == [
        "r.requests:3|c",
        "r.queue:7|g",
        "r.ttft.count:2|c",
        "r.ttft:200.000000|ms",
        "r.ttft.max_ms:300.0|g",
    ]
    assert second == ["r.requests:1|c", "r.queue:7|g"]


class RecordingClient:
    def __init__(self):
        self.sent = []
        self.closed = False

    def pipeline(self):
        return self

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def incr(self, name, count):
        self.sent.append((name, count))

    def close(self):
        self.closed = True


def test_closing_flushes_the_remaining_counts():
    async def main():
        clock = timers.LoopTimers(wall_offset_s=0.0)
        client = RecordingClient()
        metrics = metrics_lib.Metrics()
        with metrics_lib.flush_regularly(metrics, clock, client, 10.0):
            metrics.count("early", 1)
            await clock.sleep(15.0)
            metrics.count("late", 2)
        return client

    client = virtualloop.run(main())
    assert client.sent == [("early", 1), ("late", 2)]
    assert client.closed
