"""Names that leave the process stay when classes and fields are renamed.

The samples were encoded by an older build. A class or a field that takes another name
on the way to a router or to the store would lose what older builds sent or stored.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import get_args

import pytest

from hawthornstage.border.documents import (
    CLAIMS_CODEC,
    LEDGER_CODEC,
    TABLES_CODEC,
    DocumentCodec,
)
from hawthornstage.border.frames import FRAME_MESSAGES, decode_frame, encode_frame
from hawthornstage.border.stored_values import (
    decode_count,
    decode_crash_log,
    decode_epoch_counts,
    decode_record,
    encode_count,
    encode_crash_log,
    encode_epoch_counts,
    encode_record,
)
from hawthornstage.filters.forward_relay import OUTCOME_NAMES, AttemptOutcome
from hawthornstage.messages.store import StoreFailure
from hawthornstage.platform.store import FAILURE_NAMES

SAMPLES = json.loads(Path(__file__).with_name("encoded_samples.json").read_text())
FRAMES: dict[str, str] = SAMPLES["frames"]
CODECS: dict[str, DocumentCodec] = {
    "ledger": LEDGER_CODEC,
    "claims": CLAIMS_CODEC,
    "tables": TABLES_CODEC,
}


def test_every_frame_has_a_sample() -> None:
    assert set(FRAMES) == set(FRAME_MESSAGES)


@pytest.mark.parametrize("name", FRAMES)
def test_frames_are_read_and_encoded_as_before(name: str) -> None:
    data = bytes.fromhex(FRAMES[name])
    assert encode_frame(decode_frame(data)) == data


@pytest.mark.parametrize("name", CODECS)
def test_documents_are_read_and_encoded_as_before(name: str) -> None:
    codec = CODECS[name]
    for sample in SAMPLES["documents"][name]:
        data = bytes.fromhex(sample)
        assert codec.encode(codec.decode(data)) == data


def test_records_are_read_and_encoded_as_before() -> None:
    record = bytes.fromhex(SAMPLES["records"]["record"])
    assert encode_record(decode_record(record)) == record
    count = bytes.fromhex(SAMPLES["records"]["count"])
    assert encode_count(decode_count(count)) == count
    crash_log = bytes.fromhex(SAMPLES["records"]["crash_log"])
    assert encode_crash_log(decode_crash_log(crash_log)) == crash_log
    epoch_counts = bytes.fromhex(SAMPLES["records"]["epoch_counts"])
    assert encode_epoch_counts(decode_epoch_counts(epoch_counts)) == epoch_counts


def test_outcomes_keep_their_names_in_logs_and_metrics() -> None:
    assert set(OUTCOME_NAMES) == set(get_args(AttemptOutcome))
    assert set(OUTCOME_NAMES.values()) == {
        "Broken",
        "CallerLeft",
        "Delivered",
        "InternalError",
        "Misdirected",
        "NotSent",
        "OutOfTime",
        "Refused",
    }
    assert set(FAILURE_NAMES) == set(get_args(StoreFailure))
    assert set(FAILURE_NAMES.values()) == {"StoreRefused", "StoreSilent"}
