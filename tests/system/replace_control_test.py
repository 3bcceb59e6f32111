"""Guards against the loss of accepted work or configuration, and against a group that stops serving, while a control
VM that lost its disk is replaced and a second one is lost right after the repair."""

import shutil
import sys
import time

from harness import Load, apply_version, check_at_most_once, main, start_all, submit, wait_until

NEW_REPLICA = 4
# Limit from the submission of urgent work to its start, including a failover.
URGENT_START_S = 5.5


def is_refused(env, *words):
    try:
        env.ctl(*words)
        return False
    except RuntimeError as error:
        print("refused as expected:", error)
        return "exit 1" in str(error)


def change_membership(env, *words):
    """Repeats a membership change until it is accepted."""
    def accepted():
        try:
            env.ctl("control", *words)
            return True
        except RuntimeError as error:
            print("not yet:", error)
            time.sleep(0.2)
            return False
    wait_until(accepted, 20, "control " + " ".join(map(str, words)))


def completes(env):
    return env.request(1, "quote", "quote", timeout=2).outcome == "completed"


def replace_replica(env, lost, problems):
    """Replaces the replica `lost`, whose disk is gone, with NEW_REPLICA."""
    survivors = [number for number in (1, 2, 3) if number != lost]
    members = survivors + [NEW_REPLICA]
    for number in survivors:
        env.terminate(f"control-{number}")
        env.start_control(number, members, bootstrap=False)
        wait_until(lambda: completes(env), 15, f"requests go on after control {number} was restarted")
    if not is_refused(env, "control", "promote", NEW_REPLICA):
        problems.append("a replica that is not a member was promoted")
    if not is_refused(env, "control", "add", 9):
        problems.append("a replica without an address was added")
    change_membership(env, "add", NEW_REPLICA)
    if not is_refused(env, "control", "promote", NEW_REPLICA):
        problems.append("a learner that has nothing yet was promoted")
    env.start_control(NEW_REPLICA, members, bootstrap=False)
    change_membership(env, "promote", NEW_REPLICA)
    change_membership(env, "remove", lost, "--yes")
    voters = sorted(each["replica"] for each in env.ctl_json("control", "list") if each["member"] == "voter")
    if voters != sorted(members):
        problems.append(f"the voters are {voters}, not {sorted(members)}")
    print(env.ctl("control", "list"), end="")
    return members


def test(env):
    problems = []
    minions = sum(start_all(env, minions=2).values(), [])
    with Load(env) as load:
        apply_version(env, 2)
        jobs = [submit(env, "before")]
        lost = env.leader()
        env.kill(f"control-{lost}")
        shutil.rmtree(env.data_folder(lost))
        apply_version(env, 3)
        jobs.append(submit(env, "one-lost"))
        members = replace_replica(env, lost, problems)

        # From this second loss on, the quorum needs the new replica.
        second = env.leader() if env.leader() != NEW_REPLICA else members[0]
        env.kill(f"control-{second}")
        begin = time.monotonic()
        wait_until(lambda: completes(env), 30, "requests go on after the second loss")
        elapsed = time.monotonic() - begin
        if elapsed > URGENT_START_S:
            problems.append(f"requests went on only {elapsed:.2f} s after the second loss")
        apply_version(env, 4)
        jobs.append(submit(env, "two-lost"))
        for number in (1, 2):
            env.terminate(f"entry-{number}")
            env.start_entry(number, "north", members)
            wait_until(lambda: env.request(number, "quote", "quote").outcome == "completed", 15, "the entry is back")
    print("outcomes", load.by_outcome(), f"lost {lost} then {second}, {elapsed:.2f} s")
    problems += check_at_most_once(load, minions)
    problems += [f"{key} ended {outcome}" for key, outcome in load.outcomes.items() if outcome != "completed"]
    versions = [each["version"] for each in env.ctl_json("config", "history")]
    if versions != [4, 3, 2, 1]:
        problems.append(f"the history of the configuration is {versions}")
    listed = [each["id"] for each in env.ctl_json("job", "list")["jobs"]]
    problems += [f"job {job} is lost" for job in jobs if job not in listed]
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
