"""Merges the log lines of several processes that name an id into one history, ordered by their wall clocks."""

import json
import re
import sys


def read_lines(paths):
    """Yields the JSON object of each log line; a prefix before the object is skipped."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                begin = text.find("{")
                if begin < 0:
                    continue
                try:
                    line = json.loads(text[begin:])
                except ValueError:
                    continue
                if "event" in line and "at_us" in line:
                    yield line


def mentions_id(line, wanted_id):
    """Returns whether a field of the line is the id, or a task of the job with that id."""
    return any(isinstance(value, str) and (value == wanted_id or value.startswith(wanted_id + "."))
               for value in line.values())


def select(lines, wanted_id):
    """Returns the lines that mention the id, and, in between, events of its workers, the leader, zones and the policy."""
    lines = sorted(lines, key=lambda line: line["at_us"])
    matching = [line for line in lines if mentions_id(line, wanted_id)]
    if not matching:
        return []
    first, last = matching[0]["at_us"], matching[-1]["at_us"]
    workers = {line["worker"] for line in matching if "worker" in line}
    context = {"worker-lost", "worker-registered", "leadership-begun", "leadership-ended", "leader-lost",
               "leader-regained", "zone-withdrawn", "policy-in-force"}
    return [line for line in lines
            if mentions_id(line, wanted_id)
            or (first <= line["at_us"] <= last and line["event"] in context
                and line.get("worker", next(iter(workers), None)) in workers | {None})]


def format_row(line, begin):
    """Returns one row: seconds since the first line, process, event and the other fields."""
    fields = " ".join(f"{name}={value}" for name, value in line.items()
                      if name not in ("at_us", "process", "event") and value != "")
    return f"{(line['at_us'] - begin) / 1e6:9.3f}  {line['process']:<24} {line['event']:<18} {fields}"


def main():
    if len(sys.argv) < 3 or not re.fullmatch(r"[\w.-]+", sys.argv[1]):
        print("usage: tools/trace ID LOGFILE...\n\nID is a job, a task or a request.\n"
              "Example: tools/trace 5c0e7a21d94b36f8 logs/*.log", file=sys.stderr)
        return 2
    rows = select(list(read_lines(sys.argv[2:])), sys.argv[1])
    if not rows:
        print(f"trace: no line names {sys.argv[1]}", file=sys.stderr)
        return 1
    for line in rows:
        print(format_row(line, rows[0]["at_us"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
