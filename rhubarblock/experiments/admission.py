"""The scenario ``admission``: accuracy of admission control by deadline.

The same requests run twice through the same fleet, once with admission control
and once with every request admitted. A refused request that meets its deadline
in the second run counts as refused wrongly. This is an estimate, because the
requests that then run concurrently with it differ.
"""

import dataclasses
import random

from rhubarblock.experiments import mixed
from rhubarblock.experiments import simulation
from rhubarblock.experiments import workload
from rhubarblock.kernel import virtualloop

DURATION_S = 40.0


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionResult:
    """Accuracy of the decisions.

    Attributes:
      admitted: requests admitted.
      admitted_met: share of them that met their deadline.
      refused: requests refused.
      refused_would_meet: share of them that met their deadline when admitted;
        None if none was refused.
      open_met: share of all requests that met their deadline without admission
        control.
      goodput_tokens_per_s: prompt tokens a second of requests that met their
        deadline.
      open_goodput_tokens_per_s: the same without admission control.
    """

    scenario: str
    policy: str
    seed: int
    load: float
    admitted: int
    admitted_met: float
    refused: int
    refused_would_meet: float | None
    open_met: float
    goodput_tokens_per_s: int
    open_goodput_tokens_per_s: int


def measure(policy: str, seed: int, load: float) -> AdmissionResult:
    """Runs the scenario on the fake clock at the size of adwoa.

    Args:
      policy: name of the placement policy.
      seed: decides arrivals, lengths and jitter.
      load: share of the fleet's prefill capacity.
    """
    checked = _run(policy, seed, load, admits_all=False)
    opened = _run(policy, seed, load, admits_all=True)
    refused = [x for x in checked.records if mixed.is_refused(x)]
    admitted = [x for x in checked.records if not mixed.is_refused(x)]
    refused_digests = {x.arrival.request.digest for x in refused}
    rerun = [
        x for x in opened.records if x.arrival.request.digest in refused_digests
    ]
    return AdmissionResult(
        scenario="admission",
        policy=policy,
        seed=seed,
        load=load,
        admitted=len(admitted),
        admitted_met=_share_met(admitted) or 0.0,
        refused=len(refused),
        refused_would_meet=_share_met(rerun),
        open_met=_share_met(opened.records) or 0.0,
        goodput_tokens_per_s=_measure_goodput(checked),
        open_goodput_tokens_per_s=_measure_goodput(opened),
    )


def _run(
    policy: str, seed: int, load: float, admits_all: bool
) -> simulation.Simulation:
    rate = mixed.choose_rate(mixed.ADWOA, load)
    plan = mixed.shape_fleet(mixed.ADWOA, policy, rate)
    tenants = mixed.make_tenants(plan.name)
    catalogue = mixed.make_catalogue(plan, tenants)
    arrivals = list(
        workload.draw_requests(
            random.Random(seed), tenants, rate, DURATION_S, simulation.MODEL
        )
    )

    async def run() -> simulation.Simulation:
        fleet = simulation.Simulation(plan, policy, seed, catalogue)
        await fleet.start_instances()
        if admits_all:
            for node in fleet.instances.values():
                node.instance.parts.admission.admit_all()
        await fleet.run(arrivals)
        await fleet.stop()
        return fleet

    return virtualloop.run(run())


def _meets(record: simulation.Record) -> bool:
    in_time = record.ended_s <= record.arrival.request.deadline_s
    return mixed.is_complete(record) and in_time


def _share_met(records: list[simulation.Record]) -> float | None:
    if not records:
        return None
    return round(sum(map(_meets, records)) / len(records), 4)


def _measure_goodput(fleet: simulation.Simulation) -> int:
    """Returns the prompt tokens a second of requests that met deadlines."""
    tokens = sum(
        x.arrival.request.prompt_tokens for x in fleet.records if _meets(x)
    )
    return round(tokens / DURATION_S)
