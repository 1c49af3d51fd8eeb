"""Checks of rules over what the minions have seen."""


class Run:
    def __init__(self, host, start, number):
        self.host, self.start, self.number = host, start, number
        self.end = self.how = None


def runs_of(seen):
    """Returns the runs of each task in the order of their starts."""
    runs = {}
    for host, (starts, ends, _, _) in seen.items():
        of_host = {}
        for at, task, number in starts:
            run = of_host[(task, number)] = Run(host, at, number)
            runs.setdefault(task, []).append(run)
        for at, task, number, how in ends:
            if (task, number) in of_host:
                of_host[(task, number)].end, of_host[(task, number)].how = at, how
    for of_task in runs.values():
        of_task.sort(key=lambda run: run.start)
    return runs


def overlaps(runs, now):
    """Returns the tasks with two runs at the same time: task, both runs and the time for
    which both were there in milliseconds."""
    found = []
    for task, of_task in runs.items():
        for number, earlier in enumerate(of_task):
            for later in of_task[number + 1:]:
                end = min(earlier.end or now, later.end or now)
                if later.start < (earlier.end or now):
                    found.append((task, earlier, later, (end - later.start) * 1000))
    return found


def longest_idle(of_job, start, end):
    """Returns the longest time in a span in which no run of a job was there, in seconds."""
    longest, free_since = 0.0, start
    for run in sorted(of_job, key=lambda run: run.start):
        if run.start >= end:
            break
        if (run.end or end) <= free_since:
            continue
        longest = max(longest, run.start - free_since)
        free_since = run.end or end
    return max(longest, end - free_since)
