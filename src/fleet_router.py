"""Starts a router on the users' platform from a source checkout."""

from __future__ import annotations

import argparse

from hawthornstage.fleet_daemon import run_fleet_router

if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--metrics-port", type=int, default=0)
    raise SystemExit(run_fleet_router(metrics_port=options.parse_args().metrics_port))
