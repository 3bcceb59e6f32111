"""Guards against a request that is lost or run twice while processes of each role are killed or frozen under load."""

import signal
import sys
import time

from harness import Load, check_at_most_once, main, start_all, wait_until

# Limit from the submission of urgent work to its start, including a failover.
URGENT_START_S = 5.5


def recovery_time(env):
    """Returns the seconds until a new non-idempotent request completes."""
    begin = time.monotonic()
    number = 0

    def completes():
        nonlocal number
        number += 1
        key = f"probe-{begin}-{number}"
        return env.request(number % 2 + 1, "reorder", "reorder", key=key, timeout=2).outcome == "completed"

    wait_until(completes, 30, "a request completes after a fault")
    return time.monotonic() - begin


def test(env):
    problems = []
    minions = sum(start_all(env, minions=2).values(), [])
    recovery_times = {}
    with Load(env) as load:
        time.sleep(1)

        first = f"control-{env.leader()}"
        env.kill(first)
        recovery_times["leader killed"] = recovery_time(env)
        env.restart(first)
        time.sleep(2)

        second = f"control-{env.leader()}"
        env.signal(second, signal.SIGSTOP)
        recovery_times["leader frozen"] = recovery_time(env)
        time.sleep(2)
        env.signal(second, signal.SIGCONT)
        time.sleep(2)

        third = f"control-{env.leader()}"
        env.kill(third)
        recovery_times["next leader killed after the repair"] = recovery_time(env)
        env.restart(third)
        time.sleep(2)

        env.kill("entry-1")
        time.sleep(1)
        env.restart("entry-1")
        wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 15, "entry 1 is back")
    print("outcomes", load.by_outcome(), "seconds", {name: round(value, 2) for name, value in recovery_times.items()})
    problems += check_at_most_once(load, minions)
    problems += [f"{key} ended {outcome}" for key, outcome in load.outcomes.items() if outcome != "completed"]
    problems += [f"recovery took {value:.2f} s: {name}" for name, value in recovery_times.items()
                 if value > URGENT_START_S]
    if len(load.outcomes) < 50:
        problems.append(f"only {len(load.outcomes)} requests were sent")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
