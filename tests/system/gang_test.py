"""Guards against a gang that continues after it lost a member, and against a job that is lost or created twice."""

import json
import os
import sys

from harness import main, start_all, wait_until


def write_job(env, name, **fields):
    job = {"workspace": "rendering", "name": name, "tasks": 2,
           "per_task": {"accelerators": 8, "cores": 32, "memory_gib": 64}, "idempotent": True, "lease_ms": 2000,
           "payload": json.dumps({"run_ms": 4000})}
    job.update(fields)
    path = os.path.join(env.work_dir, name + ".json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(job, file)
    return path


def phase(env, job):
    return env.ctl_json("job", "show", job)["phase"]


def wait_for_phase(env, job, wanted, seconds, what):
    """Waits for a phase; the TimeoutError shows the state of the job."""
    try:
        wait_until(lambda: phase(env, job) == wanted, seconds, what)
    except TimeoutError as error:
        raise TimeoutError(f"{error}: {env.ctl('job', 'show', job)}") from error


def used_workers(env):
    return [each["vm"] for each in env.ctl_json("targets") if each["accelerators_used"] > 0]


def test(env):
    problems = []
    start_all(env, workers=3)

    path = write_job(env, "member-lost")
    job = env.ctl_json("job", "submit", path, "--key", "member-lost")["job_id"]
    again = env.ctl_json("job", "submit", path, "--key", "member-lost")["job_id"]
    if job != again:
        problems.append(f"a resent submission made a second job: {job} and {again}")
    wait_for_phase(env, job, "running", 15, "the gang runs")
    members = used_workers(env)
    if len(members) != 2:
        problems.append(f"the gang holds {members}")
    env.kill(members[0] + "-agent")
    wait_until(lambda: phase(env, job) != "running", 30, "the loss of a member ends the attempt")
    wait_for_phase(env, job, "completed", 60, "the gang completes on other workers")
    print("explanation:", env.ctl("explain", "job", job))
    env.restart(members[0] + "-agent")

    path = write_job(env, "not-idempotent", idempotent=False)
    job = env.ctl_json("job", "submit", path, "--key", "not-idempotent")["job_id"]
    wait_for_phase(env, job, "running", 30, "the second gang runs")
    env.kill(used_workers(env)[0] + "-agent")
    wait_for_phase(env, job, "outcome_unknown", 60, "a started non-idempotent job is not run again")

    path = write_job(env, "cancelled", payload=json.dumps({"run_ms": 60000}))
    job = env.ctl_json("job", "submit", path, "--key", "cancelled")["job_id"]
    wait_for_phase(env, job, "running", 30, "the third gang runs")
    env.ctl("job", "cancel", job)
    wait_for_phase(env, job, "cancelled", 30, "the cancelled gang ends")
    return problems


if __name__ == "__main__":
    sys.exit(main(test))
