"""Draws a day of trouble for the users' bench, beyond those that it mixes.

Its own hunts mix the troubles that a site file lists. This tool draws from all
kinds that may come, with all their variants, a few at a time and overlapping,
and prints a day file. The same seed gives the same day.
"""

import argparse
import dataclasses
import random


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of trouble.

    Attributes:
      name: its name in a day file.
      variants: values of its field ``how``; an empty one leaves it out.
      shares: least and most of the things that it meets; none leaves it out.
      strengths: least and most of its field ``x``; none leaves it out.
      seconds: least and most seconds that it lasts; none leaves it out.
      gap_s: seconds between its steps; 0 leaves it out.
      count: most things that it meets, instead of a share; 0 leaves it out.
      planned: whether it is planned work.
      extra: further fields, as they stand in a day file.
      on_health: whether only deployments with health checks have it.
    """

    name: str
    variants: tuple[str, ...] = ("",)
    shares: tuple[float, float] | None = None
    strengths: tuple[float, float] | None = None
    seconds: tuple[float, float] | None = None
    gap_s: float = 0.0
    count: int = 0
    planned: bool = False
    extra: str = ""
    on_health: bool = False


_SHORT = (2.0, 7.0)

KINDS = (
    Kind("burst", strengths=(0.4, 2.2), seconds=_SHORT),
    Kind("hot_key", shares=(0.2, 0.7), seconds=_SHORT),
    Kind("retry_abuse", shares=(0.2, 0.6), strengths=(2, 5), seconds=_SHORT),
    Kind("give_up", ("", "once"), shares=(0.1, 0.5), seconds=_SHORT),
    Kind(
        "srv_crash",
        ("", "dark", "gone", "domain", "joined", "rack", "dark across"),
        shares=(0.08, 0.25),
        seconds=_SHORT,
    ),
    Kind("srv_slow", shares=(0.1, 0.3), strengths=(3, 8), seconds=_SHORT),
    Kind(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        shares=(0.1, 0.3),
        strengths=(0.2, 0.9),
        seconds=_SHORT,
    ),
    Kind(
        "srv_flap",
        shares=(0.1, 0.2),
        seconds=_SHORT,
        gap_s=1.2,
        on_health=True,
    ),
    Kind("srv_lying_health", shares=(0.1, 0.3), seconds=_SHORT, on_health=True),
    Kind(
        "release", shares=(0.2, 0.6), strengths=(1, 3), gap_s=0.8, planned=True
    ),
    Kind(
        "scale_in",
        ("", "spot", "reclaim"),
        shares=(0.08, 0.2),
        seconds=(5, 9),
        planned=True,
    ),
    Kind("scale_out", shares=(0.1, 0.4), gap_s=2.0, planned=True),
    Kind(
        "answer_lost",
        ("", "reset"),
        shares=(0.3, 0.8),
        strengths=(0.02, 0.3),
        seconds=_SHORT,
    ),
    Kind(
        "garble",
        ("", "extra", "unframed", "early", "extra late"),
        shares=(0.2, 0.7),
        strengths=(0.01, 0.1),
        seconds=_SHORT,
    ),
    Kind("node_kill", ("", "power"), shares=(0.1, 0.4), seconds=_SHORT),
    Kind(
        "node_kill",
        ("leader", "meet drain", "leader race drain", "reader", "hard"),
        seconds=_SHORT,
        count=2,
        extra='on = "core"',
    ),
    Kind("node_freeze", shares=(0.1, 0.5), seconds=_SHORT),
    Kind(
        "node_freeze",
        ("leader", "reader", "meet"),
        seconds=_SHORT,
        count=2,
        extra='on = "core"',
    ),
    Kind("node_slow", shares=(0.1, 0.4), strengths=(3, 8), seconds=_SHORT),
    Kind(
        "roll_term",
        ("", "busy", "leader", "remove"),
        shares=(0.3, 1.0),
        strengths=(1, 1),
        gap_s=1.4,
        planned=True,
    ),
    Kind("herd_kill", ("", "power"), shares=(0.4, 1.0), seconds=(1, 3)),
    Kind("add_nodes", planned=True),
    Kind("replace_core", ("", "planned", "seed"), strengths=(1, 3)),
    Kind("after_ack_kill", ("kill", "timed"), count=2),
    Kind("hup", shares=(0.3, 1.0), gap_s=1.0, planned=True),
    Kind("zone_cut", ("", "refuse", "reset"), seconds=_SHORT),
    Kind(
        "core_cut",
        ("", "reset", "one_way", "leader race", "reader", "near", "all"),
        seconds=_SHORT,
        count=3,
    ),
    Kind("node_cut", ("", "all", "servers"), shares=(0.1, 0.4), seconds=_SHORT),
    Kind("lossy", strengths=(0.02, 0.12), seconds=_SHORT),
    Kind("platform_down", ("silent", "busy", "reset"), seconds=(2, 8)),
    Kind(
        "platform_down",
        (
            "nodes busy",
            "nodes many revoke meet",
            "nodes reset",
            "nodes silent revoke meet drain",
            "nodes leader busy",
        ),
        shares=(0.2, 0.7),
        seconds=(3, 9),
    ),
    Kind("platform_slow", strengths=(20, 200), seconds=_SHORT),
    Kind("platform_lost", ("", "late"), strengths=(0.2, 0.7), seconds=_SHORT),
    Kind("platform_compact", ("", "drain"), strengths=(2, 6), seconds=(5, 12)),
    Kind(
        "config_change",
        ("route", "weights", "timeout", "tenant", "topup", "idle"),
        planned=True,
    ),
    Kind("config_storm", seconds=(2, 5), gap_s=0.33, planned=True),
    Kind("big_config", count=400, planned=True),
    Kind("revoke", ("", "last"), gap_s=0.8, count=3, planned=True),
    Kind(
        "applied_late",
        ("", "orders", "grants", "all"),
        strengths=(0.2, 0.7),
        seconds=_SHORT,
    ),
    Kind(
        "srv_cut",
        ("", "fronts", "some", "some lossy", "one_way", "reset", "reborn"),
        shares=(0.1, 0.4),
        strengths=(0.2, 0.6),
        seconds=_SHORT,
    ),
    Kind(
        "replace_with_reuse",
        ("", "drain", "dark"),
        shares=(0.1, 0.25),
    ),
    Kind(
        "clock_step",
        ("", "back", "ahead"),
        shares=(0.2, 0.7),
        strengths=(1000, 9000),
        seconds=_SHORT,
    ),
    Kind("reset_conns", shares=(0.1, 0.6), strengths=(0.3, 0.9)),
)
CLOSINGS = ("power_off_all", "kill_all", "")


def describe(kind: Kind, at_s: float, rng: random.Random) -> str:
    """Returns an entry of a day file for one trouble.

    Args:
      kind: the kind of trouble.
      at_s: when it begins, in seconds.
      rng: source of the rest.
    """
    fields = [f"at = {at_s:.2f}", f'kind = "{kind.name}"']
    how = rng.choice(kind.variants)
    if how:
        fields.append(f'how = "{how}"')
    for name, bounds in (
        ("share", kind.shares),
        ("x", kind.strengths),
        ("for_s", kind.seconds),
    ):
        if bounds is not None:
            fields.append(f"{name} = {rng.uniform(*bounds):.3f}")
    if kind.gap_s:
        fields.append(f"gap_s = {kind.gap_s}")
    if kind.count:
        fields.append(f"count = {rng.randint(1, kind.count)}")
    if kind.extra:
        fields.append(kind.extra)
    return f"  {{ {', '.join(fields)} }},"


def draw(
    seed: int, length_s: float, troubles: int, with_health: bool = False
) -> str:
    """Returns a day file.

    Args:
      seed: names the day.
      length_s: its length in seconds.
      troubles: how many troubles it has.
      with_health: whether the deployment has health checks that can lie.
    """
    rng = random.Random(seed)
    plan = []
    faults = []
    kinds = [kind for kind in KINDS if with_health or not kind.on_health]
    for kind in rng.choices(kinds, k=troubles):
        entry = describe(kind, rng.uniform(1.0, length_s - 6.0), rng)
        (plan if kind.planned else faults).append(entry)
    closing = rng.choice(CLOSINGS)
    lines = ["[[day]]", f'name = "drawn-{seed}"', 'slot = "trouble"']
    lines += [f"seed = {seed}", f"length_s = {length_s}"]
    lines += ["one = 0.9", "zero = 0.1"]
    if closing:
        lines.append(f'closing = {{ kind = "{closing}", down_s = 0.7 }}')
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Prints the day of a seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("--length-s", type=float, default=40.0)
    parser.add_argument("--troubles", type=int, default=7)
    parser.add_argument("--health", action="store_true")
    args = parser.parse_args()
    day = draw(args.seed, args.length_s, args.troubles, args.health)
    print(day, end="")


if __name__ == "__main__":
    main()
