#!/usr/bin/env python3
"""Judges where requests with allowed regions ran, from the logs of all VMs of a day.

    fleetbench run SITE DAY --log all > LOG
    deploy/days/check-regions.py LOG [--report REPORT] [--worst N]

With the file that fleetbench wrote for --report, attempts of VMs in touch are counted on their own.

Lines are JSON records as described in docs/OPERATIONS.md, after any prefix. A simulated time
in front of the record is preferred to its field "time", which a clock step changes.

Exit code: 1 if a request ran in a region that the version it was bound to forbids, otherwise 0.
"""

import argparse
import collections
import datetime
import json
import sys

# An attempt is also counted as forbidden by a newer version for longer than each of these times (s).
AGE_LIMITS = (0.0, 0.5, 1.0, 2.0, 3.0, 5.0, 8.0)

# Only lines with one of these are parsed.
EVENTS = tuple(f'"event":"{name}"' for name in
               ("start", "configuration", "allowed_regions_changed", "attempt", "request", "log_dropped"))


class Attempt:
    """An attempt of a request that only some regions may run."""

    def __init__(self, time, record, number):
        self.time = time
        self.id = record["id"]
        self.vm = record["vm"]
        self.region = record["region"]
        self.upstream = record["upstream"]
        self.route = record.get("route", "")
        self.allowed = regions_of(record["allowed_regions"])
        self.config = record["config"]
        self.active = record["active_config"]
        self.held_ms = record["held_ms"]
        # Position among the attempts of the request at this VM, from 1.
        self.number = number
        # Time since a VM had first applied the oldest newer version that forbids the region.
        self.forbidden_for = None
        self.forbidding_version = None
        self.first_vm = ""
        # Time since a VM had first applied any newer version.
        self.outdated_for = None
        # Whether the sending VM's active version allows the region; None if that is not known.
        self.active_allows = None
        # Whether the newest version applied by any VM allows the region; None if that is not known.
        self.newest_allows = None
        # Whether the VM was in touch; None without a report.
        self.is_in_touch = None
        # Time since the sending VM's start was logged, if it was.
        self.uptime = None


def regions_of(text):
    return frozenset(text.split())


def allows(regions, region):
    return not regions or region in regions


class Log:
    """The records of all VMs that matter for regions."""

    def __init__(self):
        self.attempts = []
        self.attempts_by_id = collections.Counter()
        # Version -> (time, VM) of its first application.
        self.first_applied = {}
        # (previous version, version) that some VM went through -> route -> (regions before, after).
        self.steps = collections.defaultdict(dict)
        self.truncated_steps = set()
        self.present = {}
        self.starts = {}
        # VM -> (time, version), in the order of application; a start is version 0.
        self.applied = collections.defaultdict(list)
        self.dropped = 0
        self.lines = 0

    def read(self, stream):
        for line in stream:
            start = line.find('{"')
            if start < 0 or not any(event in line for event in EVENTS):
                continue
            try:
                record = json.loads(line[start:])
            except ValueError:
                continue
            self.lines += 1
            self.add(time_of(line[:start], record), record)

    def add(self, time, record):
        event = record.get("event")
        vm = record.get("vm", "")
        # The record of an application may have been dropped: requests tell the version as well.
        version_in_use = record.get("active_config", record.get("config", 0))
        if version_in_use > (self.applied[vm][-1][1] if self.applied[vm] else 0):
            self.applied[vm].append((time, version_in_use))
        if event == "start":
            self.starts[vm] = time
            self.present.pop(vm, None)
            self.applied[vm].append((time, 0))
        elif event == "configuration" and record.get("outcome") == "applied":
            version = record["version"]
            if version not in self.first_applied or time < self.first_applied[version][0]:
                self.first_applied[version] = (time, vm)
            previous = record.get("present_version", 0)
            self.present[vm] = (previous, version)
            self.applied[vm].append((time, version))
            if previous:
                self.steps[(previous, version)]  # A step without a change counts as well.
        elif event == "allowed_regions_changed" and record.get("route"):
            step = self.present.get(vm)
            if step and step[0] and step[1] == record["version"]:
                self.steps[step][record["route"]] = (
                    regions_of(record["previous"]), regions_of(record["allowed"]))
                if record.get("changes", 0) > 16:
                    self.truncated_steps.add(step)
        elif event == "log_dropped":
            self.dropped += record["records"]
        elif event == "attempt":
            key = (vm, record["id"])
            self.attempts_by_id[key] += 1
            if "allowed_regions" in record:
                attempt = Attempt(time, record, self.attempts_by_id[key])
                if vm in self.starts:
                    attempt.uptime = time - self.starts[vm]
                self.attempts.append(attempt)


def read_spans(path):
    """Returns VM -> times (from, to) out of touch.

    Times at which the store is unsettled count as in touch here; they are printed instead, as the bench only
    extends some bounds then.
    """
    with open(path, encoding="utf-8") as stream:
        touch = json.load(stream)["touch"]
    out = touch["out"]
    print(f"store unsettled: {touch['unsettled'] or 'never'}")
    return {vm: [tuple(float(end) for end in span.split(" to ")) for span in spans.split(", ")]
            for vm, spans in out.items()}


def is_in_touch(spans, vm, time):
    return not any(begin <= time <= end for begin, end in spans.get(vm, ()))


def set_in_touch(log, spans):
    for attempt in log.attempts:
        attempt.is_in_touch = is_in_touch(spans, attempt.vm, attempt.time)


def application_delays(log, spans):
    """Returns (delay, time, VM, version, whether the VM was in touch), the longest delay first.

    The delay is the time from the first application of a version by any VM to the moment at which this VM had
    that version or a newer one. A VM that starts in between is left out.
    """
    delays = []
    for version, (first, _) in log.first_applied.items():
        for vm, steps in log.applied.items():
            has_started = False
            for time, applied in steps:
                if time < first:
                    has_started = True
                elif applied == 0:
                    break
                elif applied >= version:
                    if has_started:
                        delays.append((time - first, time, vm, version, is_in_touch(spans, vm, time)))
                    break
    return sorted(delays, reverse=True)


def time_of(prefix, record):
    words = prefix.split()
    try:
        return float(words[0])
    except (IndexError, ValueError):
        text = record.get("time", "1970-01-01T00:00:00Z")
        return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def regions_by_version(log):
    """Returns path -> version -> regions (empty: all), where the steps of the VMs tell them."""
    paths = {path for changes in log.steps.values() for path in changes}
    result = {}
    for path in paths:
        known = {}
        for (before, after), changes in log.steps.items():
            if path in changes:
                known[before], known[after] = changes[path]
        grew = True
        while grew:
            grew = False
            for (before, after), changes in log.steps.items():
                if path in changes or (before, after) in log.truncated_steps:
                    continue
                for known_end, other in ((before, after), (after, before)):
                    if known_end in known and other not in known:
                        known[other] = known[known_end]
                        grew = True
        result[path] = known
    return result


def routes_by_name(log, by_path):
    """Returns route name -> version -> regions.

    Attempts name the route, changes its host and path: a name belongs to the paths whose regions agree with
    all attempts of that name. Versions for which these paths differ are left out.
    """
    seen = collections.defaultdict(dict)
    for attempt in log.attempts:
        seen[attempt.route][attempt.config] = attempt.allowed
    result = {}
    for name, facts in seen.items():
        candidates = [known for known in by_path.values()
                      if all(known.get(version, regions) == regions for version, regions in facts.items())]
        merged = dict(facts)
        for version in {version for known in candidates for version in known}:
            values = {known[version] for known in candidates if version in known}
            if len(values) == 1:
                merged.setdefault(version, values.pop())
        result[name] = merged
    return result


def judge(log):
    by_name = routes_by_name(log, regions_by_version(log))
    versions = sorted(log.first_applied)
    for attempt in log.attempts:
        regions = by_name[attempt.route]
        if attempt.active in regions:
            attempt.active_allows = allows(regions[attempt.active], attempt.region)
        newest = attempt.config
        for version in versions:
            applied_at, vm = log.first_applied[version]
            if version <= attempt.config or applied_at > attempt.time:
                continue
            newest = version
            age = attempt.time - applied_at
            attempt.outdated_for = max(age, attempt.outdated_for or 0.0)
            is_forbidding = version in regions and not allows(regions[version], attempt.region)
            if is_forbidding and attempt.forbidden_for is None:
                attempt.forbidden_for = age
                attempt.forbidding_version = version
                attempt.first_vm = vm
        if newest in regions:
            attempt.newest_allows = allows(regions[newest], attempt.region)


def describe(attempt):
    parts = [
        f"{attempt.time:.3f} {attempt.vm} {attempt.id}",
        f"attempt {attempt.number} held {attempt.held_ms} ms",
        f"route {attempt.route} config {attempt.config} active {attempt.active}",
        f"allowed {' '.join(sorted(attempt.allowed))} ran in {attempt.region} at {attempt.upstream}",
    ]
    if attempt.outdated_for is not None:
        parts.append(f"a newer version applied somewhere for {attempt.outdated_for:.3f} s")
    if attempt.forbidden_for is not None:
        parts.append(f"version {attempt.forbidding_version} forbids it, first applied "
                     f"{attempt.forbidden_for:.3f} s before on {attempt.first_vm}")
    if attempt.is_in_touch is not None:
        parts.append("VM in touch" if attempt.is_in_touch else "VM out of touch")
    if attempt.uptime is not None and attempt.uptime < 30:
        parts.append(f"VM started {attempt.uptime:.1f} s before")
    return "; ".join(parts)


def report(log, spans, worst):
    attempts = log.attempts
    wrong = [a for a in attempts if a.region not in a.allowed]
    later = [a for a in attempts if a.number > 1]
    held = [a for a in attempts if a.held_ms > 0]
    stale = [a for a in attempts if a.config < a.active]
    forbidden = [a for a in attempts if a.forbidden_for is not None]
    print(f"records of interest {log.lines}, records that VMs dropped {log.dropped}, versions applied {len(log.first_applied)}")
    print(f"restricted attempts {len(attempts)}: second or later {len(later)}, held {len(held)}, "
          f"routes {len({a.route for a in attempts})}")
    print(f"outside the regions of the binding version {len(wrong)}")
    print(f"binding version older than the active one of the VM {len(stale)}: "
          f"active version forbids the region {sum(a.active_allows is False for a in stale)}, "
          f"not known {sum(a.active_allows is None for a in stale)}")
    print(f"binding version older than one that any VM had applied "
          f"{sum(a.outdated_for is not None for a in attempts)}, longest "
          f"{max((a.outdated_for or 0.0 for a in attempts), default=0.0):.3f} s")
    counts = ", ".join(f">{limit:g} s: {sum(a.forbidden_for > limit for a in forbidden)}" for limit in AGE_LIMITS)
    print(f"region forbidden by a newer version that any VM had applied {len(forbidden)} ({counts})")
    if any(a.is_in_touch is not None for a in attempts):
        in_touch = [a for a in forbidden if a.is_in_touch]
        counts = ", ".join(f">{limit:g} s: {sum(a.forbidden_for > limit for a in in_touch)}" for limit in AGE_LIMITS)
        print(f"of these by VMs in touch {len(in_touch)} ({counts}), longest "
              f"{max((a.forbidden_for for a in in_touch), default=0.0):.3f} s")
    print(f"of these second or later {sum(a.number > 1 for a in forbidden)}, "
          f"held {sum(a.held_ms > 0 for a in forbidden)}, "
          f"with the active version of the VM {sum(a.config == a.active for a in forbidden)}")
    print(f"region forbidden by the newest version that any VM had applied "
          f"{sum(a.newest_allows is False for a in attempts)}, not known {sum(a.newest_allows is None for a in attempts)}")
    delays = application_delays(log, spans or {})
    for title, cases in (("all VMs", delays), ("VMs in touch", [d for d in delays if d[4]])):
        if cases and (spans is not None or title == "all VMs"):
            print(f"until a VM had a version that another had applied, {title}, longest: " + ", ".join(
                f"{delay:.3f} s ({vm} version {version} at {time:.1f})"
                for delay, time, vm, version, _ in cases[:worst]))
    for title, cases in (
            ("outside the regions of the binding version", wrong),
            ("longest after the first VM had applied a version that forbids the region",
             sorted(forbidden, key=lambda a: -a.forbidden_for))):
        if cases:
            print(f"worst: {title}")
            for attempt in cases[:worst]:
                print("  " + describe(attempt))
    return 1 if wrong else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("log", help="output of fleetbench run --log all; - for standard input")
    parser.add_argument("--report", help="file that fleetbench wrote for --report")
    parser.add_argument("--worst", type=int, default=5, help="cases to print of each kind")
    arguments = parser.parse_args()
    log = Log()
    if arguments.log == "-":
        log.read(sys.stdin)
    else:
        with open(arguments.log, encoding="utf-8", errors="replace") as stream:
            log.read(stream)
    judge(log)
    spans = read_spans(arguments.report) if arguments.report else None
    if spans is not None:
        set_in_touch(log, spans)
    return report(log, spans, arguments.worst)


if __name__ == "__main__":
    sys.exit(main())
