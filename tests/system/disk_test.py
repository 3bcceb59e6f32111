"""Guards against a replica that does not start after an incomplete write, that starts from a damaged log, or that
shares its data directory with a second process."""

import os
import subprocess
import sys

from harness import CONFIG, apply_version, call, main, wait_until
from environment import accepts_connections

SEGMENT_HEADER = 12
BLOCK_HEADER = 24


def segments(env, number):
    """Returns the paths of the log segments, oldest first."""
    folder = env.data_folder(number)
    return [os.path.join(folder, name) for name in sorted(os.listdir(folder)) if name.startswith("log-")]


def block_offsets(content):
    """Returns the offset of each block of a segment: header with magic, payload size, number and checksum."""
    offsets = []
    offset = SEGMENT_HEADER
    while offset + BLOCK_HEADER <= len(content):
        offsets.append(offset)
        offset += BLOCK_HEADER + int.from_bytes(content[offset + 4:offset + 8], "little")
    return offsets


def read(path):
    with open(path, "rb") as file:
        return file.read()


def write(path, content):
    with open(path, "wb") as file:
        file.write(content)


def exit_code(env, name, seconds=10):
    try:
        return env.processes[name].wait(timeout=seconds)
    except subprocess.TimeoutExpired:
        return None


def check_incomplete_write(env, victim, problems):
    """Appends an incomplete block to the newest segment; the quorum then needs the repaired replica."""
    name = f"control-{victim}"
    env.kill(name)
    newest = segments(env, victim)[-1]
    content = read(newest)
    torn = content[block_offsets(content)[-1]:][:-5]
    write(newest, content + torn)
    env.restart(name)
    wait_until(lambda: f"incomplete write at the end of the log bytes={len(torn)}" in env.log(name), 10,
               f"{name} reports {len(torn)} dropped bytes")
    other = next(number for number in (1, 2, 3) if number not in (victim, env.leader()))
    env.kill(f"control-{other}")
    apply_version(env, 2)
    env.restart(f"control-{other}")
    if env.processes[name].poll() is not None:
        problems.append(f"{name} ended after its log was repaired")


def check_truncated_tail(env, victim):
    """Truncates the newest segment within its last block; the replica must start and report the dropped bytes."""
    name = f"control-{victim}"
    env.kill(name)
    newest = segments(env, victim)[-1]
    content = read(newest)
    write(newest, content[:-5])
    dropped = len(content) - 5 - block_offsets(content)[-1]
    env.restart(name)
    wait_until(lambda: f"incomplete write at the end of the log bytes={dropped}" in env.log(name), 10,
               f"{name} reports {dropped} dropped bytes")


def check_changed_byte(env, victim, problems):
    """Changes one byte in the middle of the log; the replica must report file and offset and exit with code 1."""
    name = f"control-{victim}"
    env.kill(name)
    path = max(segments(env, victim), key=os.path.getsize)
    content = read(path)
    offsets = block_offsets(content)
    block = offsets[len(offsets) // 2]
    changed = bytearray(content)
    changed[block + BLOCK_HEADER + 1] ^= 0x01
    write(path, changed)
    env.restart(name)
    code = exit_code(env, name)
    expected_text = f"{os.path.basename(path)} at offset {block}:"
    if code != 1 or expected_text not in env.log(name):
        problems.append(f"a damaged log gave exit code {code}, and the log lacks '{expected_text}'")
    print("refused:", env.log(name).splitlines()[-1])
    write(path, content)
    env.restart(name)


def check_second_process(env, victim, problems):
    program, arguments = env.commands[f"control-{victim}"]
    env.start("second", program, *arguments)
    code = exit_code(env, "second")
    if code != 1 or "can't start" not in env.log("second"):
        problems.append(f"a second process on one data folder gave exit code {code}: {env.log('second')}")
    print("refused:", env.log("second").splitlines()[-1])
    if env.processes[f"control-{victim}"].poll() is not None:
        problems.append("the first process ended too")


def test(env):
    problems = []
    env.start_controls()
    env.start_entry(1, "north")
    env.start_entry(2, "south")
    env.wait_ready(0, CONFIG)
    victim = next(number for number in (1, 2, 3) if number != env.leader())
    check_incomplete_write(env, victim, problems)
    check_changed_byte(env, victim, problems)
    # The first process must have locked its data directory before the second one starts.
    wait_until(lambda: accepts_connections(env.control_address(victim)), 15, f"control-{victim} runs again")
    wait_until(lambda: call(env.entry_address(1), "GET", "/readyz").status == 200, 15, "the group serves")
    check_second_process(env, victim, problems)
    apply_version(env, 3)
    check_truncated_tail(env, victim)
    if env.processes[f"control-{victim}"].poll() is not None:
        problems.append(f"control-{victim} ended after its log was cut short")
    versions = [each["version"] for each in env.ctl_json("config", "history")]
    if versions != [3, 2, 1]:
        problems.append(f"the history of the configuration is {versions}")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
