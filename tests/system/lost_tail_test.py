"""Guards against a voter that silently stops counting for the quorum after its disk lost the last block, which it had
synced and acknowledged. The leader must send the lost entries again or report that it refuses the voter."""

import sys

from disk_test import check_truncated_tail
from harness import CONFIG, apply_version, main


def test(env):
    env.start_controls()
    env.start_entry(1, "north")
    env.start_entry(2, "south")
    env.wait_ready(0, CONFIG)
    leader = env.leader()
    victim, other = (number for number in (1, 2, 3) if number != leader)
    check_truncated_tail(env, victim)
    env.kill(f"control-{other}")
    apply_version(env, 2)
    return []


if __name__ == "__main__":
    sys.exit(main(test))
