import asyncio

from rhubarblock.core import capacity as capacities
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

FIRST = ("10.0.0.1", 7)
SECOND = ("10.0.0.2", 7)


def run(step):
    return virtualloop.run(step())


def make_table(own="i2", data_centre="osu"):
    return peer_table.PeerTable(own, data_centre, timer_service.LoopTimers(0.0))


def test_instances_that_start_together_agree_on_the_listed_reader():
    async def step():
        table = make_table()
        table.add(*FIRST, "i1", "osu")
        table.add(*SECOND, "i0", "tema")
        return table.find_reader()

    assert run(step) == "10.0.0.1:7"


def test_first_by_name_is_the_reader():
    async def step():
        table = make_table("i0")
        table.add(*FIRST, "i1", "osu")
        return table.find_reader()

    assert run(step) is None


def test_silent_peer_is_no_reader_and_is_removed_later():
    async def step():
        table = make_table()
        table.add(*FIRST, "i1", "osu")
        seen = []
        for wait_s in (12.0, 2.0, 60.0):
            await asyncio.sleep(wait_s)
            recipients = list(table.list_recipients(lambda address, peer: True))
            seen.append((table.find_reader(), recipients))
        return seen, table.count_instances()

    assert run(step) == (
        [("10.0.0.1:7", [FIRST]), (None, [FIRST]), (None, [])],
        1,
    )


def test_peer_may_be_the_reader_again_after_the_backoff():
    async def step():
        table = make_table()
        table.add(*FIRST, "i1", "osu")
        table.back_off_from("10.0.0.1:7")
        before = table.find_reader()
        await asyncio.sleep(peer_table.BACKOFF_S)
        return before, table.find_reader()

    assert run(step) == (None, "10.0.0.1:7")


def test_near_peers_come_first_and_then_the_latest_seen():
    async def step():
        table = make_table()
        table.add("10.0.0.3", 7, "i3", "tema")
        await asyncio.sleep(1.0)
        table.add("10.0.0.4", 7, "i4", "tema")
        table.add(*FIRST, "i1", "osu")
        return table.list_peers()

    assert run(step) == ["10.0.0.1:7", "10.0.0.4:7", "10.0.0.3:7"]


def test_own_address_is_no_peer():
    async def step():
        table = make_table()
        table.set_own_address(FIRST)
        table.add(*FIRST, "i2", "osu")
        return table.count_instances()

    assert run(step) == 1


def test_instances_of_a_large_data_centre_have_several_readers():
    async def find_readers(count):
        readers = set()
        for own in range(count):
            table = make_table(f"i{own:03}")
            for peer in range(count):
                if peer != own:
                    table.add("10.0.0.1", peer, f"i{peer:03}", "osu")
            reader = table.find_reader()
            readers.add(f"10.0.0.1:{own}" if reader is None else reader)
        return readers

    assert virtualloop.run(find_readers(1)) == {"10.0.0.1:0"}
    assert virtualloop.run(find_readers(31)) == {"10.0.0.1:0"}
    assert 3 <= len(virtualloop.run(find_readers(220))) <= 4


def test_peer_with_the_largest_capacity_is_the_reader():
    async def step():
        table = make_table()
        table.add(*FIRST, "i1", "osu")
        table.add(*SECOND, "i9", "osu")
        table.find(SECOND).capacity = capacities.Capacity(200.0, 2.0)
        large = table.find_reader()
        table.back_off_from("10.0.0.2:7")
        return large, table.find_reader()

    assert run(step) == ("10.0.0.2:7", "10.0.0.1:7")


def test_more_cores_break_a_tie_of_links():
    async def step():
        table = peer_table.PeerTable(
            "i1",
            "osu",
            timer_service.LoopTimers(0.0),
            capacities.Capacity(20.0, 2.0),
        )
        table.add(*FIRST, "i0", "osu")
        table.find(FIRST).capacity = capacities.Capacity(20.0, 1.0)
        return table.find_reader()

    assert run(step) is None


def test_peer_seen_before_it_was_listed_may_be_the_reader():
    async def step():
        table = make_table()
        table.add_unknown(FIRST)
        table.add(*FIRST, "i1", "osu")
        return table.find_reader()

    assert run(step) == "10.0.0.1:7"


def test_peers_beyond_a_partition_are_polled_too():
    async def step():
        table = make_table()
        for number in range(1, 9):
            table.add(f"10.0.1.{number}", 7, f"far{number}", "tema")
            table.add(f"10.0.0.{number}", 7, f"near{number}", "osu")
            await asyncio.sleep(1.0)
        return table.list_peers()

    assert run(step) == [
        "10.0.0.8:7",
        "10.0.0.7:7",
        "10.0.1.8:7",
        "10.0.1.7:7",
        "10.0.1.2:7",
        "10.0.1.1:7",
    ]
