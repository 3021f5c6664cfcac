from rhubarblock.core import attemptid


def test_attempt_id_contains_its_owner():
    owner = attemptid.Owner("osu~hall-1", 17)
    request_id = attemptid.format_request_id(owner, 3)
    assert request_id == "cmpl-osu~hall-1~17~3"
    assert attemptid.parse_owner(f"{request_id}/2d") == owner
    assert attemptid.parse_request_id(f"{request_id}/2d") == request_id


def test_ids_of_other_formats_have_no_owner():
    for name in ("", "x", "cmpl-", "cmpl-a~b~c/1", "cmpl-a/1"):
        assert attemptid.parse_owner(name) is None
