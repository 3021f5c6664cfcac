import dataclasses
import json

import pytest

from rhubarblock.catalogue import audit
from rhubarblock.catalogue import codec
from rhubarblock.catalogue import diff
from rhubarblock.catalogue import samples_test as samples
from rhubarblock.core import catalogue as catalogues
from rhubarblock.store import store as stores


def make_record():
    changes = diff.compare(catalogues.Catalogue(), samples.parse())
    return audit.AuditRecord(
        "c1", audit.Action.APPLY, "admin", 12.5, "first", 7, tuple(changes)
    )


def test_catalogue_and_record_round_trip_in_one_object():
    catalogue = dataclasses.replace(samples.parse(), revision=7)
    content = codec.encode(catalogue, make_record())
    assert codec.decode(content) == catalogue
    assert codec.decode_attached_record(content) == make_record()
    assert codec.decode_revision(content) == 7
    assert codec.decode_attached_record(codec.encode(catalogue)) is None


def test_audit_record_round_trips():
    content = codec.encode_record(make_record())
    assert codec.decode_record(content) == make_record()


def test_unknown_fields_of_newer_versions_are_ignored():
    document = json.loads(codec.encode(samples.parse()))
    document["places"]["osu"]["altitude"] = 61
    document["planets"] = {}
    content = json.dumps(document).encode()
    assert codec.decode(content) == samples.parse()


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (b"\xff", "no JSON"),
        (b"[]", r"\[\] is no dict"),
        (b'{"revision":"x"}', "'x' is no int"),
        (b'{"revision":true}', "True is no int"),
        (b'{"revision":1,"places":{"osu":[]}}', r"\[\] is no dict"),
        (
            b'{"revision":1,"places":{"osu":{"owner":"x"}}}',
            r"\[place osu\] region: is missing",
        ),
        (
            b'{"revision":1,"places":{"osu":{"owner":"x","region":"!"}}}',
            r"\[place osu\] region: '!' is not a name",
        ),
    ],
)
def test_invalid_content_is_rejected(content, message):
    with pytest.raises(codec.CodecError, match=message):
        codec.decode(content)


def test_catalogue_of_the_expected_size_fits_into_one_object():
    # 230 workspaces are expected in two years.
    catalogue = samples.parse()
    workspace = catalogue.workspaces["adwoa/claims"]
    names = [f"adwoa/workspace-{number}" for number in range(230)]
    grown = dataclasses.replace(
        catalogue,
        workspaces={n: dataclasses.replace(workspace, name=n) for n in names},
    )
    changes = diff.compare(catalogues.Catalogue(), grown)
    record = dataclasses.replace(make_record(), changes=tuple(changes))
    assert len(codec.encode(grown, record)) < stores.VALUE_LIMIT / 2
