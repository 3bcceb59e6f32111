"""Guards against work that starts in an availability zone more than 3 s after its withdrawal was acknowledged, even
if all control processes freeze right after the acknowledgement and the entries still have the old routes."""

import signal
import sys
import threading
import time

from harness import main, minion_counts, start_all, wait_until

WITHDRAWAL_LIMIT_S = 3.0


def send_requests(env, stop):
    number = 0
    while not stop.is_set():
        number += 1
        try:
            env.request(number % 2 + 1, "quote", "quote", timeout=3)
        except OSError:
            pass


def test(env):
    problems = []
    north = start_all(env)["north"]
    stop = threading.Event()
    threads = [threading.Thread(target=send_requests, args=(env, stop)) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    before = sum(minion_counts(address)["started"] for address in north)
    env.ctl("zone", "withdraw", "north", "--yes")
    acknowledged = time.monotonic()
    for number in (1, 2, 3):
        env.signal(f"control-{number}", signal.SIGSTOP)
    time.sleep(max(acknowledged + WITHDRAWAL_LIMIT_S - time.monotonic(), 0))
    at_bound = sum(minion_counts(address)["started"] for address in north)
    time.sleep(4)
    later = sum(minion_counts(address)["started"] for address in north)
    for number in (1, 2, 3):
        env.signal(f"control-{number}", signal.SIGCONT)
    if later != at_bound:
        problems.append(f"{later - at_bound} requests started in north more than {WITHDRAWAL_LIMIT_S} s after the "
                        "withdrawal")
    if before == 0:
        problems.append("north had no work before the withdrawal")
    wait_until(lambda: env.request(1, "quote", "quote").outcome == "completed", 15, "south serves again")
    after_thaw = sum(minion_counts(address)["started"] for address in north)
    if after_thaw != later:
        problems.append("north got work after the control processes continued")
    env.ctl("zone", "restore", "north")
    wait_until(lambda: sum(minion_counts(address)["started"] for address in north) > after_thaw, 15,
               "north gets work after it was restored")
    stop.set()
    for thread in threads:
        thread.join()
    print(f"north started {before} before, {at_bound - before} until the bound, {later - at_bound} later")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
