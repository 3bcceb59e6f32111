"""Guards against two configurations accepted under one version, a version that goes backwards, and a configuration
that is not in force on all entries within 6 s while one control process is frozen."""

import re
import signal
import sys
import threading
import time

from harness import CONFIG, call, main, start_all, wait_until

IN_FORCE_S = 6.0


def config_text(version, quota):
    with open(CONFIG, encoding="utf-8") as file:
        text = file.read()
    text = text.replace("version: 1", f"version: {version}", 1)
    return text.replace("quota: {accelerators: 16,", f"quota: {{accelerators: {quota},", 1)


def put_config(env, entry, operator, text, results):
    answer = call(env.entry_address(entry), "PUT", "/v1/config", text, {"Anvil-Operator": operator})
    results[operator] = answer


def entry_version(env, entry):
    text = call(env.entry_address(entry), "GET", "/metrics").body
    found = re.search(r"^anvil\w*config_version\S* (\d+)", text, re.MULTILINE)
    return int(found.group(1)) if found else -1


def apply_concurrently(env, version, problems):
    """Two operators apply different documents with one version; returns the winning document."""
    texts = {"asha": config_text(version, 16 + version), "bruce": config_text(version, 8)}
    results = {}
    threads = [threading.Thread(target=put_config, args=(env, entry, name, texts[name], results))
               for entry, name in ((1, "asha"), (2, "bruce"))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [name for name, answer in results.items() if answer.status == 200]
    if len(winners) != 1:
        problems.append(f"version {version}: accepted from {winners}")
        return texts["asha"]
    loser = "bruce" if winners[0] == "asha" else "asha"
    if results[loser].status != 409 or winners[0] not in results[loser].body:
        problems.append(f"version {version}: the loser got {results[loser].status} {results[loser].body}")
    again = {}
    put_config(env, 2, winners[0], texts[winners[0]], again)
    if again[winners[0]].status != 200 or again[winners[0]].json()["index"] != results[winners[0]].json()["index"]:
        problems.append(f"version {version}: a resend got {again[winners[0]].body.strip()}, "
                        f"not the first answer {results[winners[0]].body.strip()}")
    return texts[winners[0]]


def test(env):
    problems = []
    start_all(env)
    for version in range(2, 7):
        apply_concurrently(env, version, problems)
    older = {}
    put_config(env, 1, "asha", config_text(3, 12), older)
    if older["asha"].status == 200:
        problems.append("an older version was accepted")

    frozen = "control-1" if env.leader() != 1 else "control-2"
    env.signal(frozen, signal.SIGSTOP)
    results = {}
    begin = time.monotonic()
    put_config(env, 1, "asha", config_text(10, 10), results)
    if results["asha"].status != 200:
        problems.append(f"not accepted with {frozen} frozen: {results['asha'].body}")
    wait_until(lambda: entry_version(env, 1) == 10 and entry_version(env, 2) == 10, 20, "both entries run version 10")
    elapsed = time.monotonic() - begin
    print(f"in force after {elapsed:.2f} s with {frozen} frozen")
    if elapsed > IN_FORCE_S:
        problems.append(f"in force only after {elapsed:.2f} s")
    env.signal(frozen, signal.SIGCONT)

    for number in (1, 2, 3):
        env.kill(f"control-{number}")
    for number in (1, 2, 3):
        env.restart(f"control-{number}")
    wait_until(lambda: env.ctl_json("config", "status")["version"] == 10, 20, "version 10 after all controls restarted")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
