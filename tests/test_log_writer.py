"""The thread that writes the log goes on, whatever it is to write."""

from __future__ import annotations

import io

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.observe.logs import LineWriter


class FailingFile(io.StringIO):
    """A file whose first write fails."""

    failed = False

    def write(self, text: str) -> int:
        """Fail once, then write."""
        if not self.failed:
            self.failed = True
            raise OSError("no space left")
        return super().write(text)


def written(encoding: str, *lines: str) -> str:
    """Return what a writer makes of lines."""
    data = io.BytesIO()
    writer = LineWriter(io.TextIOWrapper(data, encoding, errors="strict"))
    writer.start()
    for each in lines:
        writer.write(each)
    writer.close()
    assert not writer.is_alive()
    return data.getvalue().decode(encoding)


# Guards against the end of the log: half of a surrogate pair ended its thread.
@pytest.mark.parametrize("encoding", ["utf-8", "ascii", "latin-1"])
def test_log_goes_on_after_a_text_that_cannot_be_encoded(encoding: str) -> None:
    text = written(encoding, "id=a\ud800b\n", "id=\U0001f600\n", "event=next\n")
    assert "id=a\\ud800b\n" in text
    assert text.endswith("event=next\n")


@given(st.lists(st.text(st.characters(exclude_categories=()), max_size=8), max_size=4))
def test_any_texts_are_written(lines: list[str]) -> None:
    assert written("utf-8", *lines, "event=last\n").endswith("event=last\n")


def test_log_goes_on_after_a_write_that_failed() -> None:
    file = FailingFile()
    writer = LineWriter(file)
    writer.write("event=lost\n")
    writer.start()
    while not file.failed:
        writer.join(0.01)
    writer.write("event=next\n")
    writer.close()
    assert "event=next\n" in file.getvalue()
    assert "log_lines_dropped count=1\n" in file.getvalue()
