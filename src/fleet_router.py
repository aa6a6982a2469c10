"""Thin daemon: a router on the users' platform, run from a checkout."""

from __future__ import annotations

from hawthornstage.daemon import run_fleet_router

if __name__ == "__main__":
    raise SystemExit(run_fleet_router())
