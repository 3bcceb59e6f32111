"""Runs a small environment on loopback and demonstrates its behaviour.

The last line is "demo: PASS" or "demo: FAIL reason".
"""

import shutil
import sys
import time

from environment import Environment, minion_counts, wait_until

CONFIG = "samples/demo/environment.yaml"
GANG = "samples/demo/gang.json"


class Failure(Exception):
    """Raised when a step of the demo has an unexpected result."""


def expect(condition, reason):
    if not condition:
        raise Failure(reason)


def step(text):
    print("==", text, flush=True)


def submit_gang(env, key):
    return env.ctl_json("job", "submit", GANG, "--key", key)["job_id"]


def show_requests(env):
    step("sending 40 quotes through both entries")
    wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 10, "a request reaches a minion")
    outcomes = [env.request(number % 2 + 1, "quote", "quote").outcome for number in range(40)]
    print("completed", outcomes.count("completed"), "of", len(outcomes))
    expect(outcomes.count("completed") == len(outcomes), f"outcomes were {outcomes}")


def show_at_most_once(env, minions):
    step("sending one non-idempotent reorder twice, through different entries")
    answers = [env.request(entry, "reorder", "reorder", key="reorder-1") for entry in (1, 2)]
    for answer in answers:
        print(answer.status, answer.outcome, answer.body.strip())
    runs = sum(minion_counts(address)["keys"].get("reorder-1", 0) for address in minions)
    expect(runs == 1, f"the reorder ran {runs} times")
    expect(answers[0].body == answers[1].body, "the second answer differs from the first")


def show_gang(env):
    step("running a gang of 2 tasks with 8 accelerators each")
    job = submit_gang(env, "demo-gang-1")
    env.ctl("job", "wait", job, seconds=60)
    print(env.ctl("explain", "job", job), end="")


def show_zone(env, north_minions):
    step("withdrawing availability zone north while a gang runs")
    job = submit_gang(env, "demo-gang-2")
    time.sleep(1)
    env.ctl("zone", "withdraw", "north", "--yes")
    time.sleep(3)
    before = sum(minion_counts(address)["started"] for address in north_minions)
    for number in range(20):
        env.request(number % 2 + 1, "quote", "quote")
    after = sum(minion_counts(address)["started"] for address in north_minions)
    expect(before == after, f"north got {after - before} new requests after it was withdrawn")
    env.ctl("job", "wait", job, seconds=90)
    step("bringing availability zone north back")
    env.ctl("zone", "restore", "north")

    def north_serves():
        env.request(1, "quote", "quote")
        return sum(minion_counts(address)["started"] for address in north_minions) > after

    wait_until(north_serves, 15, "north gets work again")
    print(env.ctl("explain", "zone", "north"), end="")


def run(env):
    step("starting 3 controls, 2 entries, 6 workers and 2 minions in 2 availability zones")
    env.start_controls()
    env.start_entry(1, "north")
    env.start_entry(2, "south")
    minions = {}
    for zone in ("north", "south"):
        env.start_workers(zone, 3)
        minions[zone] = env.start_minions(zone, 1)
    print(env.ctl("config", "check", CONFIG), end="")
    env.wait_ready(8, CONFIG)
    print(env.ctl("targets"), end="")
    show_requests(env)
    show_at_most_once(env, minions["north"] + minions["south"])
    show_gang(env)
    show_zone(env, minions["north"])
    step("status")
    print(env.ctl("status"), end="")
    step("time line")
    print(env.ctl("timeline", "--limit", 80), end="")
    for address in minions["north"] + minions["south"]:
        expect(minion_counts(address)["overfill"] == 0, "a minion got more requests than it has slots")


def main():
    build_dir, work_dir = sys.argv[1:3]
    shutil.rmtree(work_dir, ignore_errors=True)
    with Environment(build_dir, work_dir) as env:
        try:
            run(env)
        except (Failure, TimeoutError, RuntimeError, OSError) as error:
            print("demo: FAIL", error)
            return 1
    print("demo: PASS")
    return 0


if __name__ == "__main__":
    sys.exit(main())
