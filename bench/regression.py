"""Plays the deployments of regression.txt on the users' bench, and compares them with the journal.

    python3 bench/regression.py --system DIR --why TEXT [--hunt] [--full] [--only PART]

DIR is the folder of the users' pages that contains the site files. For each deployment it prints
the gate, the mean worth of the days with trouble and of the same days in the last earlier entry of
the journal, and the days that broke a rule. It exits with 1 if a gate failed, a rule was broken or
a mean fell by 0.03 or more.
"""

import argparse
import json
import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
JOURNAL = os.path.join(ROOT, "journal")
BENCH = os.path.join("bin", "fleetbench")

# A smaller difference is noise, since processor time is measured.
NOISE = 0.03


def deployments():
    """Returns the site files with their hunt days."""
    with open(os.path.join(ROOT, "bench", "regression.txt")) as file:
        lines = [line.split() for line in file if line.strip() and not line.startswith("#")]
    return [(path, int(days)) for path, days in lines]


def entries(verb, site):
    """Returns the journal entries of a verb for a site, oldest first."""
    found = []
    for name in sorted(os.listdir(JOURNAL)):
        if not name.endswith(".json"):
            continue
        with open(os.path.join(JOURNAL, name)) as file:
            entry = json.load(file)
        if entry["cmd"] == verb and entry["site"] == site and entry["ok"]:
            found.append(entry)
    return found


def trouble_worths(entry):
    """Returns the worth of each standard day with trouble. Drawn days have no worth before."""
    days = [day for day in entry["days"] if not day["name"].startswith(("quiet", "fresh"))]
    return {day["name"]: day["G"] for day in days}


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else float("nan")


def broken_days(entry):
    """Returns the days that broke a rule or had a fault."""
    return [day["name"] for day in entry["days"] if day["rules"] or day["fault"]]


def play(arguments, verb, path, *options):
    """Plays a site, and returns its journal entry; None if the bench wrote none."""
    site = os.path.basename(path).removesuffix(".toml")
    known = {entry["id"] for entry in entries(verb, site)}
    command = [os.path.join(arguments.system, BENCH), verb, os.path.join(arguments.system, path)]
    command += [*options, "--jobs", str(arguments.jobs), "--why", arguments.why]
    log = os.path.join(ROOT, "target", f"regression-{verb}-{site}.log")
    with open(log, "w") as out:
        subprocess.run(command, cwd=ROOT, stdout=out, stderr=subprocess.STDOUT, check=False)
    new = [entry for entry in entries(verb, site) if entry["id"] not in known]
    return new[-1] if new else None


def score(arguments, path):
    """Scores a site; returns its line, and whether it holds."""
    site = os.path.basename(path).removesuffix(".toml")
    earlier = entries("score", site)
    entry = play(arguments, "score", path, *([] if arguments.full else ["--quick"]))
    if entry is None:
        return f"{site}: no score, see the log in target", False
    worths = trouble_worths(entry)
    before = next(
        (
            [known[name] for name in worths]
            for known in map(trouble_worths, reversed(earlier))
            if worths.keys() <= known.keys()
        ),
        [],
    )
    change = mean(worths.values()) - mean(before) if before else 0.0
    gate = entry["figures"].get("gate") == 1.0
    broken = broken_days(entry)
    line = (
        f"{site}: gate {'passed' if gate else 'FAILED'}, worth {mean(worths.values()):.3f}, "
        f"before {mean(before):.3f}, change {change:+.3f}, broken {broken or 'none'}"
    )
    return line, gate and not broken and change > -NOISE


def hunt(arguments, path, days):
    """Hunts on a site; returns its line, and whether no rule was broken."""
    site = os.path.basename(path).removesuffix(".toml")
    entry = play(arguments, "hunt", path, "--days", str(days))
    if entry is None:
        return f"{site}: no hunt, see the log in target", False
    broken = broken_days(entry)
    gates = [day["name"] for day in entry["days"] if not day["gate"]]
    line = (
        f"{site}: {len(entry['days'])} hunt days, worth {mean(d['G'] for d in entry['days']):.3f}, "
        f"broken {broken or 'none'}, gate failed {gates or 'none'}"
    )
    return line, not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--system", required=True, help="folder with the site files")
    parser.add_argument("--why", required=True, help="line for the journal")
    parser.add_argument("--jobs", type=int, default=4, help="cores to use (default 4)")
    parser.add_argument("--hunt", action="store_true", help="hunt instead of scoring")
    parser.add_argument("--full", action="store_true", help="score all standard days")
    parser.add_argument("--only", default="", help="only site files whose path contains this")
    arguments = parser.parse_args()
    arguments.system = os.path.abspath(arguments.system)
    all_hold = True
    for path, days in deployments():
        if arguments.only not in path:
            continue
        run = hunt(arguments, path, days) if arguments.hunt else score(arguments, path)
        line, holds = run
        print(line, flush=True)
        all_hold &= holds
    sys.exit(0 if all_hold else 1)


if __name__ == "__main__":
    main()
