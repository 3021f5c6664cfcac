from rhubarblock.kernel import exposition
from rhubarblock.kernel import metrics as metric_store


def test_metrics_are_rendered_in_the_prometheus_format():
    metrics = metric_store.Metrics()
    metrics.count("exchange.served", 3)
    metrics.gauge("exchange.in_flight", 2)
    metrics.observe("exchange.first", "streaming.short", 0.07)
    metrics.observe("exchange.first", "streaming.short", 20.0)
    lines = exposition.render(metrics).decode().splitlines()
    assert [line for line in lines if not line.startswith("#")] == [
        "rhubarblock_exchange_served_total 3.0",
        "rhubarblock_exchange_in_flight 2.0",
        *(
            f'rhubarblock_exchange_first_seconds_bucket{{kind="streaming.short"'
            f',le="{bound}"}} {count}'
            for bound, count in [
                ("0.05", "0.0"),
                ("0.1", "1.0"),
                ("0.2", "1.0"),
                ("0.3", "1.0"),
                ("0.5", "1.0"),
                ("1.0", "1.0"),
                ("1.5", "1.0"),
                ("3.0", "1.0"),
                ("5.0", "1.0"),
                ("10.0", "1.0"),
                ("15.0", "1.0"),
                ("+Inf", "2.0"),
            ]
        ),
        'rhubarblock_exchange_first_seconds_count{kind="streaming.short"} 2.0',
        'rhubarblock_exchange_first_seconds_sum{kind="streaming.short"} 20.07',
    ]


def test_empty_metrics_render_as_empty_text():
    assert exposition.render(metric_store.Metrics()) == b""
