"""Output of a replay: progress, table, JSON and a plot."""

from pathlib import Path
from sys import stderr

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure
from msgspec.json import encode
from msgspec.json import format as format_json

from wasabiwing.outcome_checks import Verdict
from wasabiwing.outcome_checks import VerdictState
from wasabiwing.replay_records import Ending
from wasabiwing.replay_records import ReplayedRequest
from wasabiwing.replay_records import ReplayRecords
from wasabiwing.replay_run import ReplayProgress
from wasabiwing.trace_format import Trace

FIGURE_INCHES = (10.0, 7.0)
DOTS_PER_INCH = 110


def show_progress(progress: ReplayProgress) -> None:
    """Rewrites one line of a terminal; writes nothing elsewhere."""
    if not stderr.isatty():
        return
    bad = sum(item.ending is not Ending.COMPLETE for item in progress.records)
    stderr.write(
        f"\r{progress.at_s:6.1f} s  sent {progress.sent}/{progress.total}"
        f"  in flight {progress.in_flight}  not complete {bad}   "
    )
    stderr.flush()


def verdict_table(
    trace: Trace, records: ReplayRecords, verdicts: tuple[Verdict, ...]
) -> list[str]:
    """Returns the table of verdicts, with the findings below."""
    counts = {ending: 0 for ending in Ending}
    for item in records.requests:
        counts[item.ending] += 1
    late_s = max(
        (item.sent_s - item.due_s for item in records.requests), default=0.0
    )
    ended = ", ".join(
        f"{number} {ending.value}" for ending, number in counts.items()
    )
    rows = [("outcome", "stated", "seen", "verdict")]
    rows += [
        (item.outcome, item.stated, item.seen, item.state.value)
        for item in verdicts
    ]
    widths = [max(len(row[place]) for row in rows) for place in range(4)]
    lines = [
        f"trace {trace.header.name}: {len(records.requests)} requests;"
        f" {ended}",
        f"latest sending {late_s * 1000:.0f} ms after the trace's time",
    ]
    lines += [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    for verdict in verdicts:
        if verdict.state is VerdictState.MET:
            continue
        lines += [
            f"  {verdict.outcome}: {finding}" for finding in verdict.findings
        ]
    return lines


def write_output(
    folder: Path,
    trace: Trace,
    records: ReplayRecords,
    verdicts: tuple[Verdict, ...],
) -> None:
    """Writes ``NAME.json`` and ``NAME.png`` into the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    document = encode(
        {
            "trace": trace.header,
            "verdicts": verdicts,
            "events": records.events,
            "requests": records.requests,
            "backend": records.backend,
        }
    )
    name = trace.header.name
    (folder / f"{name}.json").write_bytes(format_json(document))
    plot(folder / f"{name}.png", records)


def plot(path: Path, records: ReplayRecords) -> None:
    """Draws latency and in-flight requests over time, as PNG."""
    figure = Figure(figsize=FIGURE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    above, below = figure.subplots(2, 1, sharex=True)
    classes = sorted({item.priority_class for item in records.requests})
    for number in classes:
        shown = [
            item
            for item in records.requests
            if item.priority_class == number and item.ending is Ending.COMPLETE
        ]
        above.scatter(
            [item.sent_s for item in shown],
            [item.ended_s - item.sent_s for item in shown],
            s=8,
            label=f"class {number}",
        )
    bad = [
        item for item in records.requests if item.ending is not Ending.COMPLETE
    ]
    above.scatter(
        [item.sent_s for item in bad],
        [item.ended_s - item.sent_s for item in bad],
        s=20,
        marker="x",
        color="black",
        label="not complete",
    )
    above.set_ylabel("time to the end of the answer (s)")
    times, levels = in_flight_steps(records.requests)
    below.step(times, levels, where="post")
    below.set_ylabel("requests in flight")
    below.set_xlabel("time (s)")
    for event in records.events:
        for axes in (above, below):
            axes.axvline(event.started_s, color="grey", linestyle=":")
        below.annotate(
            event.event.action.value,
            (event.started_s, max(levels, default=1)),
            rotation=90,
            fontsize=7,
            va="top",
        )
    if records.requests:
        above.legend()
    figure.savefig(path, dpi=DOTS_PER_INCH)


def in_flight_steps(
    requests: tuple[ReplayedRequest, ...],
) -> tuple[list[float], list[int]]:
    """Returns the times of change and the requests in flight after them."""
    changes = [(item.sent_s, 1) for item in requests]
    changes += [(item.ended_s, -1) for item in requests]
    times: list[float] = []
    levels: list[int] = []
    level = 0
    for at_s, change in sorted(changes):
        level += change
        times.append(at_s)
        levels.append(level)
    return times, levels
