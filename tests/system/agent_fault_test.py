"""Guards against a request that runs twice, or is reported as not run although it ran, after an agent is killed or
frozen with requests in progress."""

import signal
import sys
import time

from harness import Load, check_at_most_once, main, minion_counts, start_all, wait_until


def test(env):
    minions = sum(start_all(env, minions=2, minion_options=("--service-time", "100ms")).values(), [])
    with Load(env, threads=8, give_up_seconds=8) as load:
        time.sleep(1)
        env.kill("north-minion-1-agent")
        time.sleep(2)
        env.signal("south-minion-1-agent", signal.SIGSTOP)
        time.sleep(4)
        env.signal("south-minion-1-agent", signal.SIGCONT)
        env.restart("north-minion-1-agent")
        time.sleep(4)
    print("outcomes", load.by_outcome())
    problems = check_at_most_once(load, minions)
    ran = {key for address in minions for key in minion_counts(address)["keys"]}
    problems += [f"{key} was refused as not run, but ran" for key, outcome in load.outcomes.items()
                 if outcome == "not-run" and key in ran]
    started = sum(minion_counts(address)["started"] for address in minions)
    wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 10, "requests go on")
    if started < 50:
        problems.append(f"only {started} requests ran")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
