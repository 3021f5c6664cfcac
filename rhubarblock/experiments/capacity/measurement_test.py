import pytest

from rhubarblock.experiments import machine as machines
from rhubarblock.experiments import slopes
from rhubarblock.experiments.capacity import fleet as capacityfleet
from rhubarblock.experiments.capacity import lists as capacitylists
from rhubarblock.experiments.capacity import measurement as capacity
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import platform as capacityplatform
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.capacity import routing as capacityrouting
from rhubarblock.experiments.capacity import sockets as capacitysockets

MACHINE = machines.Machine(4, 1.5, 100.0)


class LineProbe(capacityprobe.Probe):
    """Returns values on a straight line."""

    name = "line"
    role = "entry instance"
    note = "Nothing."
    lines = (capacityprobe.Line(capacityprobe.CPU, ("1", "instances")),)
    plan = tuple({"instances": float(x)} for x in (1, 2, 3, 4))

    def run(self, sizes):
        return {capacityprobe.CPU: 1.0 + 2.0 * sizes["instances"]}


class MemoryProbe(LineProbe):
    """Allocates a list for each instance."""

    lines = (capacityprobe.Line(capacityprobe.MEMORY, ("1", "instances")),)

    def run(self, sizes):
        held = [bytes(100_000) for _ in range(int(sizes["instances"]))]
        return {"held": float(len(held))}


def test_series_has_its_points_and_their_fit():
    series = LineProbe().measure()
    assert series.points[3] == capacityprobe.Point(
        {"instances": 4.0}, {capacityprobe.CPU: 9.0}
    )
    fit = series.fits[capacityprobe.CPU]
    assert fit.slopes == pytest.approx((1.0, 2.0))


def test_memory_is_the_peak_allocation_of_a_run():
    fit = MemoryProbe().measure().fits[capacityprobe.MEMORY]
    assert fit.find_slope("instances") == pytest.approx(100_000, rel=0.01)


def test_result_survives_a_round_trip_through_json():
    result = capacity.CapacityResult(
        "capacity", MACHINE, (LineProbe().measure(),)
    )
    assert capacity.decode_result(capacity.encode_result(result)) == result


@pytest.mark.parametrize("text", ["{}", "nonsense", '{"scenario": "x"}'])
def test_text_without_a_result_is_refused(text):
    with pytest.raises(ValueError):
        capacity.decode_result(text)


def test_every_probe_has_enough_points_for_its_fits():
    for probe in capacity.PROBES:
        for line in probe.lines:
            for term in line.terms:
                values = {slopes.compute_term(term, x) for x in probe.plan}
                assert term == "1" or len(values) >= 4, (probe.name, line)
            assert len(probe.plan) > len(line.terms)


def test_state_excludes_objects_of_other_parts():
    shared = [bytes(1_000)]
    held = [bytes(2_000), shared]
    both = capacitymeter.measure_state([held])
    assert both > 3_000
    assert 2_000 < capacitymeter.measure_state([held], (shared,)) < both - 1_000


# The tests below check only that each probe runs the real parts and counts
# something; the figures themselves are for the measurement to find.


def test_membership_probe_counts_heartbeats():
    sizes = {"instances_near": 3.0, "data_centres": 2.0}
    values = capacityfleet.MembershipProbe().run(sizes)
    assert values[capacityprobe.MESSAGES] > 0
    assert values["bytes_per_s_max"] >= values[capacityprobe.BYTES] > 0


def test_churn_probe_counts_the_cost_of_restarts(monkeypatch):
    monkeypatch.setattr(capacityfleet.ChurnProbe, "instances", 4)
    probe = capacityfleet.ChurnProbe()
    baseline = probe.run({"restarts_per_s": 0.0})
    with_restarts = probe.run({"restarts_per_s": 0.2})
    assert with_restarts[capacityprobe.BYTES] > baseline[capacityprobe.BYTES]


def test_catalogue_probe_counts_the_distribution_of_revisions():
    sizes = {"revisions_per_s": 0.2, "workspaces": 10.0, "models": 1.0}
    baseline = capacityfleet.CatalogueProbe().run(
        sizes | {"revisions_per_s": 0.0}
    )
    with_revisions = capacityfleet.CatalogueProbe().run(sizes)
    assert (
        with_revisions[capacityprobe.MESSAGES]
        > baseline[capacityprobe.MESSAGES]
    )
    assert with_revisions["watches"] == 2


def test_limits_probe_counts_reports_at_the_coordinator():
    sizes = {"instances": 3.0, "entries": 11.0, "workspaces": 10.0}
    values = capacityrouting.LimitsProbe().run(sizes)
    # Two other instances report about once a second and get answers.
    assert values["coordinator_messages_per_s"] == pytest.approx(4.4, abs=1.5)
    assert values["coordinator_state_bytes"] > 0


def test_placement_probe_counts_calls_at_the_coordinator():
    sizes = {"placed_per_s": 5.0, "endpoints": 4.0}
    values = capacityrouting.PlacementProbe().run(sizes)
    # A call and its answer for each placement, besides progress reports.
    assert values[capacityprobe.MESSAGES] > 10.0


def test_orders_probe_counts_lease_renewals_on_the_platform():
    values = capacityplatform.OrdersProbe().run(
        {"pools": 1.0, "endpoints": 2.0}
    )
    assert 0.3 < values[capacityprobe.WRITES] < 1.5


def test_claims_probe_counts_writes_to_the_platform():
    values = capacityplatform.ClaimsProbe().run(
        {"claims_per_s": 2.0, "instances": 3.0, "claims_per_s_instance": 2 / 3}
    )
    assert values[capacityprobe.WRITES] >= 2.0


def test_load_probe_counts_reports_over_sockets(monkeypatch):
    monkeypatch.setattr(capacitysockets, "RUN_S", 0.6)
    values = capacitysockets.LoadProbe().run({"endpoints": 2.0})
    assert values[capacityprobe.MESSAGES] > 0
    assert values[capacityprobe.BYTES] > 0


def test_list_probe_counts_reads_over_sockets(monkeypatch):
    monkeypatch.setattr(capacitysockets, "RUN_S", 1.2)
    values = capacitysockets.ListProbe().run({"lines": 3.0})
    assert values[capacityprobe.READS] > 0
    assert values[capacityprobe.STATE] > 0


def test_two_instances_read_the_list_for_all_others():
    values = capacitylists.ListRelayProbe().run(
        {"lines": 10.0, "list_changes_per_s": 0.1}
    )
    assert values[capacityprobe.READS] == pytest.approx(2.0, abs=0.5)
    assert values[capacityprobe.MESSAGES] > 0
