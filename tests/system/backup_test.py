"""Guards against a backup of the data directories that does not restore the configuration, jobs and claims as they were
accepted, and against requests that fail while one replica is stopped to copy its directory."""

import os
import shutil
import sys

from harness import Load, apply_version, check_at_most_once, main, minion_counts, start_all, submit, wait_until

KEYS = [f"backup-{number}" for number in range(5)]


def send_reorders(env, entry):
    """Sends one non-idempotent request for each key; returns their outcomes and bodies."""
    answers = [env.request(entry, "reorder", "reorder", key=key) for key in KEYS]
    return [(answer.outcome, answer.body) for answer in answers]


def accepted_state(env):
    jobs = [(each["id"], each["name"], each["workspace"], each["phase"], each["submitted_at_us"])
            for each in env.ctl_json("job", "list")["jobs"]]
    return {"config": env.ctl_json("config", "status"), "history": env.ctl_json("config", "history"), "jobs": jobs}


def copy_data_of_replica(env, number):
    """Copies the data directory of one replica while it is stopped and the others serve."""
    env.terminate(f"control-{number}")
    shutil.copytree(env.data_folder(number), env.data_folder(number) + ".copy")
    if env.request(1, "quote", "quote").outcome != "completed":
        raise TimeoutError("a request failed while one replica was stopped")
    env.restart(f"control-{number}")


def restore_all_replicas(env):
    """Stops all replicas, replaces their data directories with copies and starts the group from them."""
    for number in (1, 2, 3):
        env.terminate(f"control-{number}")
    for number in (1, 2, 3):
        folder = env.data_folder(number)
        shutil.rmtree(folder + ".copy", ignore_errors=True)
        shutil.copytree(folder, folder + ".copy")
        shutil.rmtree(folder)
    for number in (1, 2, 3):
        os.rename(env.data_folder(number) + ".copy", env.data_folder(number))
        env.restart(f"control-{number}")


def test(env):
    problems = []
    minions = sum(start_all(env).values(), [])
    apply_version(env, 2)
    for name in ("first", "second", "third"):
        submit(env, name)
    env.ctl("job", "cancel", submit(env, "cancelled"))
    before = accepted_state(env)
    answers = send_reorders(env, 1)

    with Load(env) as load:
        copy_data_of_replica(env, 3 if env.leader() != 3 else 2)
        wait_until(lambda: env.request(2, "quote", "quote").outcome == "completed", 15, "requests go on")
    problems += check_at_most_once(load, minions)
    problems += [f"{key} ended {outcome}" for key, outcome in load.outcomes.items() if outcome != "completed"]

    restore_all_replicas(env)
    for entry in (1, 2):
        wait_until(lambda number=entry: env.request(number, "quote", "quote").outcome == "completed", 20,
                   f"requests go on through entry {entry} after the restore")
    after = accepted_state(env)
    problems += [f"{name} was {before[name]}, is {after[name]}" for name in before if before[name] != after[name]]
    repeated_answers = send_reorders(env, 2)
    if repeated_answers != answers or any(outcome != "completed" for outcome, _ in repeated_answers):
        problems.append(f"the claims gave {repeated_answers}, first {answers}")
    runs = {key: sum(minion_counts(each)["keys"].get(key, 0) for each in minions) for key in KEYS}
    problems += [f"{key} ran {count} times" for key, count in runs.items() if count != 1]
    apply_version(env, 3)
    print(f"{len(before['jobs'])} jobs, {len(answers)} claims, versions {[e['version'] for e in after['history']]}")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
