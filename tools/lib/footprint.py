"""Measures processor time, memory and RPC bytes of every role, idle and under load, at several numbers of agents.

Processor time and memory come from /proc of the processes that this program started, bytes from their own counters.
"""

import json
import os
import shutil
import sys
import threading
import time

from environment import Environment, call, wait_until
from rpc_query import query

SIZES = (10, 50, 200)
MAX_AGENTS = 200
SETTLE_SECONDS = 5
WINDOW_SECONDS = 10
REQUEST_THREADS = 4
REQUESTS_PER_SECOND = 100
JOB_RUN_MS = 3000
JOBS_AT_ONCE = 10
REPEATS = 5
TICKS = os.sysconf("SC_CLK_TCK")

# Limits of the cost of control on each node, from section 3 of the design page.
CORE_LIMIT = 0.025
MEMORY_LIMIT = 32 * 1000 * 1000
BYTES_LIMIT = 9000
CONTROL_VM_LIMIT = 7
URGENT_START_LIMIT = 5.5
CONFIG_LIMIT = 6.0
LIMITED_ROLES = ("agent of a minion", "agent of a worker")
ROLES = ("control leader", "control follower", "entry") + LIMITED_ROLES

CONFIG = """environment: footprint
version: {version}
availability_zones:
  - name: north
    region: local
    workers: [{{count: {north}, accelerators: 8, cores: 64, memory_gib: 256, per_rack: 3}}]
  - name: south
    region: local
    workers: [{{count: {south}, accelerators: 8, cores: 64, memory_gib: 256, per_rack: 3}}]
workspaces:
  - name: rendering
    quota: {{accelerators: {accelerators}, cores: {cores}, memory_gib: {memory}}}
  - name: pricing
    quota: {{accelerators: 8, cores: 64, memory_gib: 256}}
services:
  - name: desk
    slots: 8
    connections: 64
    classes:
      - {{name: quote, urgency: working-day, deadline_ms: 2000, idempotent: true, queue_limit: 200}}
      - {{name: reorder, urgency: batch, deadline_ms: 10000, idempotent: false, queue_limit: 100}}
"""


def write_config(path, workers, version=1):
    with open(path, "w", encoding="utf-8") as file:
        file.write(CONFIG.format(version=version, north=workers - workers // 2, south=workers // 2, accelerators=8 * workers,
                                 cores=64 * workers, memory=256 * workers))


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_bytes(pid):
    """Returns resident bytes, and the part of them that is anonymous memory, without pages of mapped files."""
    found = {}
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            name, _, value = line.partition(":")
            if name in ("VmRSS", "RssAnon"):
                found[name] = int(value.split()[0]) * 1024
    return found["VmRSS"], found["RssAnon"]


def rpc_bytes(env, name):
    if name.startswith("entry-"):
        lines = call(env.entry_address(int(name.split("-")[1])), "GET", "/metrics").body.splitlines()
        return sum(float(line.split()[1]) for line in lines if line.startswith("anvil_rpc_bytes_total{"))
    arguments = env.commands[name][1]
    if name.startswith("control-"):
        address = env.control_address(int(name.split("-")[1]))
    else:
        address = arguments[arguments.index("--listen") + 1]
    counters = query(address, "footprint")
    return counters["rpc_bytes_sent"] + counters["rpc_bytes_received"]


def role_of(env, name, leader):
    if name.startswith("control-"):
        return "control leader" if name == f"control-{leader}" else "control follower"
    if name.startswith("entry-"):
        return "entry"
    if name.endswith("-agent"):
        return "agent of a worker" if "worker" in env.commands[name][1] else "agent of a minion"
    return None


def sample(env, names):
    """Returns (time, processor seconds, RPC bytes) of each process; each process is read at its own time."""
    samples = {}
    for name in names:
        bytes_now = rpc_bytes(env, name)
        samples[name] = (time.monotonic(), processor_seconds(env.processes[name].pid), bytes_now)
    return samples


def measure(env, names, roles):
    """Measures one window and returns the mean and the largest value of each role."""
    before = sample(env, names)
    time.sleep(WINDOW_SECONDS)
    after = sample(env, names)
    rows = {}
    for name in names:
        seconds = after[name][0] - before[name][0]
        resident, own = memory_bytes(env.processes[name].pid)
        rows.setdefault(roles[name], []).append({
            "core_share": (after[name][1] - before[name][1]) / seconds, "resident_bytes": resident,
            "own_bytes": own, "bytes_per_second": (after[name][2] - before[name][2]) / seconds})
    return {role: {"processes": len(each),
                   "mean": {key: sum(row[key] for row in each) / len(each) for key in each[0]},
                   "largest": {key: max(row[key] for row in each) for key in each[0]}}
            for role, each in rows.items()}


class Load:
    """Sends requests through both entries at a fixed rate and keeps a number of jobs on the workers."""

    def __init__(self, env, workers):
        self.env = env
        self.jobs_at_once = min(JOBS_AT_ONCE, workers)
        self.outcomes = {}
        self.jobs = 0
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._send_requests, args=(n,)) for n in range(REQUEST_THREADS)]
        self.threads.append(threading.Thread(target=self._submit_jobs))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _send_requests(self, number):
        due, count = time.monotonic(), 0
        while not self.stopped.is_set():
            count += 1
            kind = "reorder" if count % 4 == 0 else "quote"
            try:
                outcome = self.env.request(count % 2 + 1, kind, kind, key=f"load-{number}-{count}").outcome
            except OSError:
                outcome = "no answer"
            with self.lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            due += REQUEST_THREADS / REQUESTS_PER_SECOND
            time.sleep(max(0, due - time.monotonic()))

    def _submit_jobs(self):
        pause = JOB_RUN_MS / 1000 / self.jobs_at_once
        while not self.stopped.wait(pause):
            self.jobs += 1
            job = {"workspace": "rendering", "name": f"job-{self.jobs}", "tasks": 1,
                   "per_task": {"accelerators": 8, "cores": 32, "memory_gib": 64}, "idempotent": True,
                   "urgency": "batch", "estimate_ms": JOB_RUN_MS, "payload": json.dumps({"run_ms": JOB_RUN_MS})}
            try:
                call(self.env.entry_address(1), "POST", "/v1/jobs", json.dumps(job),
                     {"Content-Type": "application/json", "Idempotency-Key": f"footprint-{self.jobs}"})
            except OSError:
                pass


def measure_size(build_dir, agents):
    work_dir = os.path.join(build_dir, "footprint", str(agents))
    shutil.rmtree(work_dir, ignore_errors=True)
    workers = agents // 2
    minions = agents - workers
    with Environment(build_dir, work_dir) as env:
        write_config(os.path.join(work_dir, "environment.yaml"), workers)
        env.start_controls()
        env.start_entry(1, "north")
        env.start_entry(2, "south")
        env.start_workers("north", workers - workers // 2)
        env.start_workers("south", workers // 2)
        env.start_minions("north", minions - minions // 2)
        env.start_minions("south", minions // 2)
        env.wait_ready(agents, os.path.join(work_dir, "environment.yaml"))
        time.sleep(SETTLE_SECONDS)
        leader = env.leader()
        roles = {name: role_of(env, name, leader) for name in env.processes}
        names = [name for name, role in roles.items() if role]
        result = {"agents": agents, "machine_load": os.getloadavg()[0], "idle": measure(env, names, roles)}
        with Load(env, workers) as load:
            time.sleep(SETTLE_SECONDS)
            start = time.monotonic()
            before = sum(load.outcomes.values())
            result["load"] = measure(env, names, roles)
            result["requests_per_second"] = (sum(load.outcomes.values()) - before) / (time.monotonic() - start)
        result["outcomes"] = load.outcomes
        result["jobs_submitted"] = load.jobs
        result["jobs"] = count_phases(env)
        repeats = min(REPEATS, workers)
        result["urgent_start_seconds"] = [urgent_start_seconds(env, number) for number in range(repeats)]
        result["config_seconds"] = [config_seconds(env, workers, 2 + number) for number in range(REPEATS)]
        result["leader_changed"] = env.leader() != leader
    return result


def job_phase(env, job):
    return call(env.entry_address(2), "GET", f"/v1/jobs/{job}").json()["phase"]


def urgent_start_seconds(env, number):
    """Returns the time from the submission of an urgent job until control shows it as running."""
    job = {"workspace": "rendering", "name": f"urgent-{number}", "tasks": 1,
           "per_task": {"accelerators": 8, "cores": 32, "memory_gib": 64}, "idempotent": True, "urgency": "urgent",
           "estimate_ms": 1000, "payload": json.dumps({"run_ms": 60000})}
    start = time.monotonic()
    answer = call(env.entry_address(1), "POST", "/v1/jobs", json.dumps(job),
                  {"Content-Type": "application/json", "Idempotency-Key": f"urgent-{number}"}).json()
    wait_until(lambda: job_phase(env, answer["job_id"]) == "running", 30, "the urgent job runs")
    return time.monotonic() - start


def config_seconds(env, workers, version):
    """Returns the time from the submission of a configuration until both entries report it in force."""
    path = os.path.join(env.work_dir, "environment.yaml")
    write_config(path, workers, version)
    with open(path, encoding="utf-8") as file:
        document = file.read()
    start = time.monotonic()
    call(env.entry_address(1), "PUT", "/v1/config", document, {"Anvil-Operator": "footprint"})
    for entry in (1, 2):
        wait_until(lambda: f"anvil_entry_config_version {version}\n" in
                   call(env.entry_address(entry), "GET", "/metrics").body, 30, "the configuration is in force")
    return time.monotonic() - start


def count_phases(env):
    phases = {}
    for job in json.loads(call(env.entry_address(1), "GET", "/v1/jobs").body)["jobs"]:
        phases[job["phase"]] = phases.get(job["phase"], 0) + 1
    return phases


def verdict(role, largest):
    if role not in LIMITED_ROLES:
        return "-"
    missed = [name for name, value, limit in (("core", largest["core_share"], CORE_LIMIT),
                                              ("memory", largest["resident_bytes"], MEMORY_LIMIT),
                                              ("bytes", largest["bytes_per_second"], BYTES_LIMIT)) if value > limit]
    return "missed: " + ", ".join(missed) if missed else "met"


def print_size(result):
    for state in ("idle", "load"):
        for role in ROLES:
            row = result[state].get(role)
            if not row:
                continue
            mean, largest = row["mean"], row["largest"]
            print(f"{result['agents']:>6} {state:<5} {role:<18} {row['processes']:>4}"
                  f" {100 * mean['core_share']:>7.2f} {100 * largest['core_share']:>7.2f}"
                  f" {mean['resident_bytes'] / 1e6:>7.1f} {largest['resident_bytes'] / 1e6:>7.1f}"
                  f" {mean['own_bytes'] / 1e6:>7.1f}"
                  f" {mean['bytes_per_second'] / 1e3:>8.2f} {largest['bytes_per_second'] / 1e3:>8.2f}"
                  f"  {verdict(role, largest)}", flush=True)
    print(f"       requests/s={result['requests_per_second']:.0f} outcomes={result['outcomes']} jobs={result['jobs']}"
          f" machine_load={result['machine_load']:.1f} leader_changed={result['leader_changed']}", flush=True)
    for name, limit in (("urgent_start_seconds", URGENT_START_LIMIT), ("config_seconds", CONFIG_LIMIT)):
        largest = max(result[name])
        print(f"       {name} max={largest:.2f} of {len(result[name])}, limit {limit}:"
              f" {'met' if largest <= limit else 'missed'}", flush=True)


def main():
    build_dir = sys.argv[1]
    sizes = [int(each) for each in sys.argv[2:]] or SIZES
    if min(sizes) < 4 or max(sizes) > MAX_AGENTS:
        sys.exit(f"footprint: the number of agents is from 4 to {MAX_AGENTS}")
    print(f"limits for each node: {100 * CORE_LIMIT}% of a core, {MEMORY_LIMIT // 1000000} MB resident,"
          f" {BYTES_LIMIT / 1e3} KB/s; verdicts use the largest value of a role")
    print("agents state role               proc  core_%   (max)  res_MB   (max)  own_MB     KB/s    (max)  limits")
    results = []
    for size in sizes:
        results.append(measure_size(build_dir, size))
        print_size(results[-1])
    controls = sum(row["processes"] for role, row in results[-1]["idle"].items() if role.startswith("control"))
    print(f"control VMs {controls} of at most {CONTROL_VM_LIMIT}: {'met' if controls <= CONTROL_VM_LIMIT else 'missed'}")
    with open(os.path.join(build_dir, "footprint.json"), "w", encoding="utf-8") as file:
        json.dump({"limits": {"core_share": CORE_LIMIT, "resident_bytes": MEMORY_LIMIT,
                              "bytes_per_second": BYTES_LIMIT, "control_vms": CONTROL_VM_LIMIT},
                   "control_vms": controls, "sizes": results}, file, indent=1)


if __name__ == "__main__":
    main()
