"""Helpers of the system tests: an environment of two zones, a request load, and a check that each request ran once."""

import http.client
import json
import os
import shutil
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "lib"))

from environment import Environment, call, minion_counts, wait_until  # noqa: E402  pylint: disable=unused-import

CONFIG = os.path.join(ROOT, "samples", "demo", "environment.yaml")
GANG = os.path.join(ROOT, "samples", "demo", "gang.json")


def start_all(env, minions=1, workers=0, minion_options=()):
    """Starts 3 controls, 2 entries and the targets of zones north and south; returns the minions by zone."""
    env.start_controls()
    env.start_entry(1, "north")
    env.start_entry(2, "south")
    by_zone = {}
    for zone in ("north", "south"):
        if workers:
            env.start_workers(zone, workers)
        by_zone[zone] = env.start_minions(zone, minions, *minion_options)
    env.wait_ready(2 * (minions + workers), CONFIG)
    wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 10, "a request is routed")
    wait_until(lambda: env.request(2, "quote", "quote").outcome == "completed", 10, "a request is routed")
    return by_zone


def apply_version(env, version):
    """Applies the sample configuration with another version; returns once it is accepted."""
    with open(CONFIG, encoding="utf-8") as file:
        text = file.read().replace("version: 1", f"version: {version}", 1)
    path = os.path.join(env.work_dir, f"version-{version}.yaml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)

    def accepted():
        try:
            env.ctl("config", "apply", path)
            return True
        except RuntimeError:
            return False
    wait_until(accepted, 20, f"version {version} is accepted")


def submit(env, key):
    """Submits a small idempotent job; returns its number."""
    path = os.path.join(env.work_dir, key + ".json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump({"workspace": "rendering", "name": key, "tasks": 1, "per_task": {"accelerators": 1, "cores": 1},
                   "idempotent": True}, file)
    return env.ctl_json("job", "submit", path, "--key", key)["job_id"]


class Load:
    """Sends non-idempotent requests from several threads while used as a context manager.

    Each request has its own key and is repeated through the other entry until it completes or give_up_seconds
    have passed.
    """

    def __init__(self, env, threads=4, pause_seconds=0.02, give_up_seconds=20):
        self.env = env
        self.pause_seconds = pause_seconds
        self.give_up_seconds = give_up_seconds
        self.outcomes = {}
        self.stop_event = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number):
        count = 0
        while not self.stop_event.is_set():
            key = f"load-{number}-{count}"
            self.outcomes[key] = self._send(key, count)
            count += 1
            time.sleep(self.pause_seconds)

    def _send(self, key, count):
        end = time.monotonic() + self.give_up_seconds
        outcome = "none"
        attempt = count
        while time.monotonic() < end:
            attempt += 1
            try:
                outcome = self.env.request(attempt % 2 + 1, "reorder", "reorder", key=key, timeout=12).outcome
            except (OSError, http.client.HTTPException):
                outcome = "none"
            if outcome == "completed":
                return outcome
            time.sleep(0.1)
        return outcome

    def by_outcome(self):
        totals = {}
        for outcome in self.outcomes.values():
            totals[outcome] = totals.get(outcome, 0) + 1
        return totals


def check_at_most_once(load, minions):
    """Returns the violations: requests that ran twice, completed requests that did not run, overfilled minions."""
    runs = {}
    problems = []
    for address in minions:
        counts = minion_counts(address)
        if counts["overfill"]:
            problems.append(f"minion {address} was overfilled {counts['overfill']} times")
        for key, count in counts["keys"].items():
            runs[key] = runs.get(key, 0) + count
    problems += [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
    problems += [f"{key} completed but ran {runs.get(key, 0)} times" for key, outcome in load.outcomes.items()
                 if outcome == "completed" and runs.get(key, 0) != 1]
    return problems


def main(test):
    """Runs one test with the build and work directories from the command line; returns the exit code."""
    build_dir, work_dir = sys.argv[1:3]
    # Data directories of an earlier run would restore its configuration, jobs and claims.
    shutil.rmtree(work_dir, ignore_errors=True)
    with Environment(build_dir, work_dir) as env:
        problems = test(env)
    for problem in problems:
        print("FAILED:", problem)
    print("passed" if not problems else f"{len(problems)} problems; logs are in {work_dir}")
    return 1 if problems else 0
