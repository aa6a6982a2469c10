"""The command that checks a desired state before it is sent to the store."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from hawthornstage.command_output import EXIT_REFUSED, fail, show
from hawthornstage.decisions.desired_state_check import CheckOptions, find_faults
from hawthornstage.decisions.desired_state_differences import (
    find_differences,
    find_regressions,
)
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.desired_state_check import Difference, Finding
from hawthornstage.platform.desired_state import (
    DesiredStateError,
    decode_desired_state,
)
from hawthornstage.platform.desired_state_paths import (
    GROUP_NAMES,
    find_in_writing,
    format_field,
    format_place,
)
from hawthornstage.platform.settings import load_host_settings
from hawthornstage.settings_errors import EXIT_USAGE, SettingsError


def check_desired_state(
    file: str, in_force: str, settings: str, call_tokens: int, json: bool
) -> None:
    """Print what is wrong in a desired state, and what differs from another one.

    Args:
        file: The desired state, in JSON.
        in_force: The version in force, in JSON; empty for none.
        settings: A router's settings file, which names the regions; empty for none.
        call_tokens: Tokens of the smallest call that workspaces make.
        json: Print JSON.

    Raises:
        SystemExit: 1 if something was found, 2 if a file can't be read.
    """
    document, state = load(file, json)
    options = CheckOptions(load_regions(settings), call_tokens)
    findings = [*find_in_writing(document), *find_faults(state, options)]
    differences: tuple[Difference, ...] = ()
    if in_force:
        _, current = load(in_force, json)
        findings += find_regressions(state, current)
        differences = find_differences(state, current)
    findings.sort(key=lambda each: (each.severity.value, format_place(each.place)))
    report = {
        "version": state.version,
        "findings": [finding_document(each) for each in findings],
        "differences": [difference_document(each) for each in differences],
    }
    show(report, json, format_report(state, findings, differences))
    if findings:
        raise SystemExit(EXIT_REFUSED)


def load(file: str, json: bool) -> tuple[bytes, DesiredState]:
    """Read and decode a file; print its errors and exit if that fails."""
    try:
        document = Path(file).read_bytes()
        return document, decode_desired_state(document)
    except OSError as error:
        fail(str(error), EXIT_USAGE)
    except DesiredStateError as error:
        lines = "\n".join(f"{file}: {fault}" for fault in error.faults)
        show({"file": file, "invalid": error.faults}, json, lines)
        raise SystemExit(EXIT_USAGE) from error


def load_regions(settings: str) -> frozenset[str] | None:
    """Return the regions that a settings file names, or None without a file."""
    if not settings:
        return None
    try:
        return frozenset(load_host_settings(Path(settings)).regions.values())
    except SettingsError as error:
        fail(str(error), EXIT_USAGE)


def finding_document(finding: Finding) -> dict[str, Any]:
    """Return a finding for JSON."""
    return {
        "path": format_place(finding.place),
        "severity": finding.severity.value,
        "text": finding.text,
    }


def difference_document(difference: Difference) -> dict[str, Any]:
    """Return a difference for JSON."""
    return {
        "kind": difference.kind.value,
        "group": GROUP_NAMES[difference.group],
        "name": difference.name,
        "field": format_field(difference.field),
        "before": difference.before,
        "after": difference.after,
    }


def format_report(
    state: DesiredState,
    findings: list[Finding],
    differences: tuple[Difference, ...],
) -> str:
    """Return the report as text, one line for each finding and difference."""
    lines = [
        f"{each.severity.value}: {format_place(each.place)}: {each.text}"
        for each in findings
    ]
    lines += [format_difference(each) for each in differences]
    return "\n".join(lines or [f"version {state.version}: nothing found"])


def format_difference(difference: Difference) -> str:
    """Return a difference in one line."""
    document = difference_document(difference)
    names = (document["group"], document["name"], document["field"])
    line = f"{difference.kind.value}: {' '.join(each for each in names if each)}"
    if not difference.field:
        return line
    return f"{line}: {difference.before} -> {difference.after}"
