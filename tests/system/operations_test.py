"""Guards against a procedure of docs/OPERATIONS.md that does not work as written: promotion from a trial environment,
draining a target, adding voters and losing as many as the group tolerates, and the loss of the majority."""

import os
import signal
import sys

from harness import CONFIG, apply_version, call, main, start_all, wait_until
from environment import Environment


def is_ready(env, entry=1):
    return call(env.entry_address(entry), "GET", "/readyz").status == 200


def completes(env):
    return env.request(1, "quote", "quote", timeout=2).outcome == "completed"


def retry_until_accepted(env, *words):
    """Repeats a command until it succeeds; a learner has to catch up before it is promoted."""
    def succeeds():
        try:
            env.ctl(*words)
            return True
        except RuntimeError:
            return False
    wait_until(succeeds, 20, " ".join(map(str, words)))


def promote_config(env, problems):
    """Promotes the configuration of this environment to a second one, which must refuse one that was not tried."""
    with open(CONFIG, encoding="utf-8") as file:
        text = file.read().replace("environment: demo", "environment: production", 1)
    paths = [os.path.join(env.work_dir, name) for name in ("production.yaml", "untried.yaml")]
    for path, content in zip(paths, (text, text.replace("accelerators: 32", "accelerators: 24", 1))):
        with open(path, "w", encoding="utf-8") as file:
            file.write(content)
    trial = env.entry_address(1)
    with Environment(env.build_dir, os.path.join(env.work_dir, "production")) as production:
        production.start_controls()
        production.start_entry(1, "north")
        production.start_entry(2, "south")
        try:
            production.ctl("config", "promote", paths[1], "--trial", trial)
            problems.append("a document that the trial does not run was promoted")
        except RuntimeError as error:
            if "apply it there first" not in str(error):
                problems.append(f"the promotion was refused for another reason: {error}")
        retry_until_accepted(production, "config", "promote", paths[0], "--trial", trial)
        wait_until(lambda: is_ready(production), 15, "the entry of production is ready")
        history = production.ctl_json("config", "history")
    digest = env.ctl_json("config", "status")["digest"]
    if [each["promoted_from"] for each in history] != ["demo@" + digest]:
        problems.append(f"the history after the promotion is {history}")


def drain_target(env, problems):
    name = "north-minion-1"
    code = env.terminate(name + "-agent")
    phase = next(each["phase"] for each in env.ctl_json("targets") if each["vm"] == name)
    if code != 0 or phase == "up":
        problems.append(f"the drained agent gave exit code {code}, its target is {phase}")
    wait_until(lambda: completes(env), 10, "the other minion serves")
    env.restart(name + "-agent")
    wait_until(lambda: all(each["phase"] == "up" for each in env.ctl_json("targets")), 15, "the target is back")


def add_voters(env, old, new):
    """Adds voters from `old` to `new` in number; first restarts the old ones with the new list of replicas."""
    numbers = range(1, new + 1)
    for number in range(1, old + 1):
        env.terminate(f"control-{number}")
        env.start_control(number, numbers, bootstrap=False)
        wait_until(lambda: all(each["connected"] for each in env.ctl_json("control", "list")), 15,
                   f"control {number} is back")
    for number in range(old + 1, new + 1):
        env.ctl("control", "add", number)
        env.start_control(number, numbers, bootstrap=False)
        retry_until_accepted(env, "control", "promote", number)
    for number in (1, 2):
        env.terminate(f"entry-{number}")
        env.start_entry(number, "north", numbers)
        wait_until(lambda: is_ready(env, number), 15, f"entry {number} is back")


def kill_voters(env, count, voters, version):
    """Kills `count` voters at once; the others must accept a configuration and serve requests."""
    lost = [env.leader()]
    lost += [number for number in range(1, voters + 1) if number not in lost][:count - 1]
    for number in lost:
        env.kill(f"control-{number}")
    wait_until(lambda: completes(env), 20, f"{voters} voters tolerate the loss of {count}")
    apply_version(env, version)
    for number in lost:
        env.restart(f"control-{number}")
    wait_until(lambda: all(each["connected"] for each in env.ctl_json("control", "list")), 20,
               "the killed voters are back")


def freeze_majority(env, voters, problems):
    """Freezes a majority; the rest must refuse requests as not run, and serve again once the majority continues."""
    frozen = range(1, voters // 2 + 2)
    for number in frozen:
        env.signal(f"control-{number}", signal.SIGSTOP)
    wait_until(lambda: not is_ready(env), 10, "the entry reports that it is not ready")
    answer = env.request(1, "quote", "quote")
    if answer.status != 503 or answer.outcome != "not-run":
        problems.append(f"without a majority a request got {answer.status} {answer.outcome}")
    for number in frozen:
        env.signal(f"control-{number}", signal.SIGCONT)
    wait_until(lambda: completes(env), 20, "requests go on after the majority is back")


def test(env):
    problems = []
    start_all(env)
    promote_config(env, problems)
    drain_target(env, problems)
    add_voters(env, 3, 5)
    kill_voters(env, 2, 5, 2)
    add_voters(env, 5, 7)
    kill_voters(env, 3, 7, 3)
    freeze_majority(env, 7, problems)
    print(env.ctl("control", "list"), end="")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
