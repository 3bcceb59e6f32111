"""Compares requests through an entry with the same requests sent to the simulated minion directly, in one run."""

import json
import os
import subprocess
import sys

from environment import Environment, wait_until

CONFIG = "samples/demo/environment.yaml"
REQUESTS = 20000


def run_load(build_dir, target, path, in_progress):
    done = subprocess.run([os.path.join(build_dir, "anvil_load"), "--target", target, "--path", path, "--requests",
                           str(REQUESTS), "--in-progress", str(in_progress)], capture_output=True, text=True,
                          timeout=120, check=True)
    return json.loads(done.stdout)


def main():
    build_dir, work_dir = sys.argv[1:3]
    with Environment(build_dir, work_dir) as env:
        env.start_controls()
        env.start_entry(1, "north")
        env.start_entry(2, "north")
        minion = env.start_minions("north", 1, "--service-time", "1ms", "--slots", "8")[0]
        env.wait_ready(1, CONFIG)
        wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 10, "a request is routed")
        print(f"{REQUESTS} requests, service time 1 ms, 8 slots")
        print("in progress  way        completed  per second  p50 us  p99 us")
        for in_progress in (1, 8):
            for way, target, path in (("direct", minion, "/quote"), ("routed", env.entry_address(1),
                                                                     "/services/desk/quote")):
                row = run_load(build_dir, target, path, in_progress)
                print(f"{in_progress:11}  {way:9}  {row['completed']:9}  {row['per_second']:10.0f}"
                      f"  {row['p50_us']:6}  {row['p99_us']:6}")


if __name__ == "__main__":
    main()
