"""A router that starts again is another process, though its name stays."""

from __future__ import annotations

import pytest

from hawthornstage.decisions.router_processes import (
    ENTRY_DELAY_S,
    RouterDirectory,
    RouterEntry,
    changed_processes,
    is_same_endpoint,
    process_address,
)
from hawthornstage.decisions.watch_sharing import sharing_routers

FIRST, SECOND, THIRD = (process_address("h", 81, each) for each in "abc")
# The entries of a router's processes, in the order in which they registered.
ENTRIES = {
    FIRST: RouterEntry(FIRST, 10),
    SECOND: RouterEntry(SECOND, 20),
    THIRD: RouterEntry(THIRD, 30),
}


def directory_after(*events: str | tuple[str, str]) -> RouterDirectory:
    """Return a directory after reads of one router's entry, and connections to it.

    Args:
        events: What was read, "" for no entry; or `met` and the process that was met.
    """
    directory = RouterDirectory()
    for event in events:
        match event:
            case ("met", url):
                directory.meet("b", url, 0.0)
            case str(url):
                directory.read({"b": ENTRIES[url]} if url else {})
    return directory


def test_address_tells_processes_apart_and_is_readable_for_earlier_builds() -> None:
    assert FIRST == "ws://h:81/a/shared-watches"
    assert is_same_endpoint(FIRST, SECOND)
    assert not is_same_endpoint(FIRST, process_address("h", 82, "a"))
    assert sharing_routers({"b": FIRST}) == {"b"}
    assert changed_processes({"b": FIRST, "c": FIRST}, {"b": SECOND, "d": FIRST}) == {
        "b",
        "d",
    }


@pytest.mark.parametrize(
    ("events", "known"),
    [
        ((FIRST, SECOND), SECOND),
        ((SECOND, FIRST), SECOND),
        ((FIRST, ("met", SECOND)), SECOND),
        ((FIRST, ("met", SECOND), FIRST), SECOND),
        ((FIRST, ("met", SECOND), ""), SECOND),
        ((FIRST, ("met", SECOND), SECOND, FIRST), SECOND),
        ((FIRST, ("met", SECOND), THIRD), THIRD),
        ((FIRST, ("met", SECOND), ("met", THIRD), SECOND, THIRD), THIRD),
        ((("met", FIRST),), FIRST),
        ((FIRST, ("met", FIRST), ""), None),
        ((FIRST, ""), None),
    ],
    ids=[
        "registered again under its name",
        "an older read comes later",
        "met before its entry was read",
        "its entry was read before it registered",
        "its entry has ended and it has yet to register",
        "an older read comes after its entry",
        "started again before it was met",
        "met twice before its entry was read",
        "met before any read",
        "left after it was met",
        "left",
    ],
)
def test_latest_process_is_known(
    events: tuple[str | tuple[str, str], ...], known: str | None
) -> None:
    urls = directory_after(*events).urls(ENTRY_DELAY_S / 2)
    assert urls.get("b") == known


def test_process_that_was_met_and_does_not_register_is_forgotten() -> None:
    directory = directory_after(FIRST, ("met", SECOND), "")
    assert directory.urls(ENTRY_DELAY_S - 0.1) == {"b": SECOND}
    assert directory.urls(ENTRY_DELAY_S) == {}


def test_entries_of_a_restored_store_count_whatever_their_revisions() -> None:
    directory = directory_after(FIRST, SECOND)
    directory.forget_revisions()
    directory.read({}, complete=False)
    assert directory.urls(0.0) == {"b": SECOND}
    directory.read({"b": RouterEntry(THIRD, 5)}, complete=False)
    assert directory.urls(0.0) == {"b": THIRD}
