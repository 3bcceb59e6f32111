"""Guards against a request that is cut off, or runs without a response, while an entry, an agent and the leader shut
down gracefully under load."""

import sys
import time

from harness import Load, check_at_most_once, main, start_all, wait_until


def test(env):
    problems = []
    minions = sum(start_all(env, minions=2, minion_options=("--service-time", "200ms")).values(), [])
    with Load(env, threads=8) as load:
        time.sleep(1)
        for name in ("entry-1", "north-minion-1-agent", f"control-{env.leader()}"):
            code = env.terminate(name, seconds=30)
            if code != 0:
                problems.append(f"{name} ended with exit code {code}")
            time.sleep(1)
            env.restart(name)
            time.sleep(2)
        wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 15, "entry 1 is back")
    print("outcomes", load.by_outcome())
    problems += check_at_most_once(load, minions)
    problems += [f"{key} ended {outcome}" for key, outcome in load.outcomes.items() if outcome != "completed"]
    if "cut off" in env.log("entry-1") or "cut off" in env.log("north-minion-1-agent"):
        problems.append("a request was cut off")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
